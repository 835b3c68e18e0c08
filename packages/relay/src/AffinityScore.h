#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::relay {

/**
 * Returns the weighted rendezvous-hashing score of a member for a key. The
 * member with the highest score is the key's affinity target. `aWeight` is the
 * member's share of keys relative to a member of weight 1.
 */
inline double
AffinityScore(std::uint64_t aKey, std::uint64_t aMember, double aWeight)
{
  const auto hash = static_cast<double>(RendezvousWeight(aKey, aMember));
  const auto range =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double unit = (hash + 1) / (range + 2);
  return -aWeight / std::log(unit);
}

} // namespace ridgeferry::relay
