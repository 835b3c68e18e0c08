#pragma once

#include <ridgeferry/base/StorePosition.h>

namespace ridgeferry::relay {

/** Generation of the store in tests that have one only. */
constexpr StoreGeneration kOnlyGeneration = 1;

/** A version of that generation. */
constexpr StorePosition
PositionAt(std::uint64_t aVersion)
{
  return { kOnlyGeneration, aVersion };
}

} // namespace ridgeferry::relay
