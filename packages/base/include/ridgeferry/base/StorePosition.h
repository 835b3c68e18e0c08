#pragma once

#include <cstdint>

namespace ridgeferry {

/**
 * Which history of the store something belongs to. The store may come back from
 * a copy some seconds old: what it had acknowledged since is gone, its versions
 * go on from the copy's and are given out again, and its generation rises.
 * 0: the store tells none.
 */
using StoreGeneration = std::uint64_t;

/**
 * A place in what the store has acknowledged. Versions of two generations say
 * nothing of each other, so none is compared without its generation: a number
 * alone is no position and does not become one. A plain value.
 */
struct StorePosition
{
  StoreGeneration m_generation = 0;
  std::uint64_t m_version = 0; ///< Within the generation.

  constexpr StorePosition() = default;
  constexpr StorePosition(StoreGeneration aGeneration, std::uint64_t aVersion)
    : m_generation(aGeneration)
    , m_version(aVersion)
  {
  }

  constexpr bool operator==(const StorePosition&) const = default;
  /** A later generation goes before any version. */
  constexpr bool operator<(const StorePosition& aOther) const
  {
    return m_generation == aOther.m_generation
             ? m_version < aOther.m_version
             : m_generation < aOther.m_generation;
  }
  constexpr bool operator>(const StorePosition& aOther) const
  {
    return aOther < *this;
  }
  constexpr bool operator<=(const StorePosition& aOther) const
  {
    return !(aOther < *this);
  }
  constexpr bool operator>=(const StorePosition& aOther) const
  {
    return !(*this < aOther);
  }
};

} // namespace ridgeferry
