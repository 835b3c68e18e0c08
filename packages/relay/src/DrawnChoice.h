#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace ridgeferry::relay {

/**
 * The better of two drawn items. Many instances see the same loads, all of them
 * a little old: if each took the least loaded engine, that one would be the
 * most loaded next, by all short prompts of a second.
 *
 * Precondition: there is an item. `aLess`: whether the first one is better.
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
