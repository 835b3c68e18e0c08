#pragma once

#include <optional>
#include <ridgeferry/base/StorePosition.h>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::freshness {

/**
 * Knows for how long other instances have been known to hold a later change of
 * a table than this instance does.
 *
 * Pure, not thread-safe.
 */
class KnownLag
{
public:
  /**
   * Records that another instance holds a change at `aTold`. `aHeld` is the
   * position up to which this instance holds the table.
   */
  void NoteTold(const StorePosition& aTold,
                const StorePosition& aHeld,
                Instant aNow);
  /**
   * Returns the time since this instance first heard of a change that it does
   * not hold; std::nullopt if it holds all that it has heard of.
   */
  std::optional<Duration> At(const StorePosition& aHeld, Instant aNow) const;

private:
  StorePosition m_told; ///< Latest change that was told of.
  /** When the first change was told of that was missing then. */
  Instant m_since;
};

} // namespace ridgeferry::freshness
