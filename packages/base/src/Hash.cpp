#include "ridgeferry/base/Hash.h"

#include <xxhash.h>

namespace ridgeferry {

std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t
RendezvousWeight(std::uint64_t aKey, std::uint64_t aMember)
{
  // The finalizer of SplitMix64: full avalanche on a 64-bit word, a few
  // nanoseconds, so that a choice among 300 members stays within microseconds.
  std::uint64_t x = aKey ^ (aMember * 0x9E3779B97F4A7C15ULL);
  x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27U)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31U);
}

} // namespace ridgeferry
