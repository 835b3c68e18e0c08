#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace ridgeferry::relay {

/**
 * Returns the better of two randomly drawn items. Many instances see the same,
 * slightly outdated loads. If each chose the least loaded engine, that engine
 * would get all short prompts of a second and become the most loaded one.
 *
 * Precondition: `aItems` is not empty. `aLess` returns whether its first
 * argument is the better one.
 */
template<typename Item, typename Less>
const Item&
BetterOfTwo(std::span<const Item> aItems, std::uint64_t aRandom, Less aLess)
{
  const std::size_t count = aItems.size();
  const Item& one = aItems[aRandom % count];
  const Item& other = aItems[aRandom / count % count];
  return aLess(other, one) ? other : one;
}

} // namespace ridgeferry::relay
