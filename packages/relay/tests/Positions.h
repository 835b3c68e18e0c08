#pragma once

#include <ridgeferry/base/StorePosition.h>

namespace ridgeferry::relay {

/** Generation of the store in tests that use only one. */
constexpr StoreGeneration kOnlyGeneration = 1;

/** Returns the position of a version in `kOnlyGeneration`. */
constexpr StorePosition
PositionAt(std::uint64_t aVersion)
{
  return { kOnlyGeneration, aVersion };
}

} // namespace ridgeferry::relay
