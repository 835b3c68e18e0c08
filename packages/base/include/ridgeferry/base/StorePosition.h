#pragma once

#include <cstdint>

namespace ridgeferry {

/**
 * Number of the store's history to which a row or version belongs. The store
 * may be restored from a copy that is some seconds old. The writes that it had
 * acknowledged since the copy are then lost, it assigns the versions after the
 * copy's version a second time, and its generation rises. 0: the store reports
 * no generation.
 */
using StoreGeneration = std::uint64_t;

/**
 * A position in the sequence of writes that the store has acknowledged.
 * Versions of two generations cannot be compared, so a version is compared only
 * together with its generation. For the same reason there is no conversion from
 * a single number to a position. A plain value.
 */
struct StorePosition
{
  StoreGeneration m_generation = 0;
  std::uint64_t m_version = 0; ///< Version within the generation.

  constexpr StorePosition() = default;
  constexpr StorePosition(StoreGeneration aGeneration, std::uint64_t aVersion)
    : m_generation(aGeneration)
    , m_version(aVersion)
  {
  }

  constexpr bool operator==(const StorePosition&) const = default;
  /** Compares the generations first, and the versions only if these are equal.
   */
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
