#pragma once

#include <cmath>
#include <cstdint>
#include <limits>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::relay {

/** Weighted rendezvous: the higher, the nearer; `aWeight` members' worth. */
inline double
HomeScore(std::uint64_t aKey, std::uint64_t aMember, double aWeight)
{
  const auto hash = static_cast<double>(RendezvousWeight(aKey, aMember));
  const auto range =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double unit = (hash + 1) / (range + 2);
  return -aWeight / std::log(unit);
}

} // namespace ridgeferry::relay
