#pragma once

#include <optional>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::freshness {

/** What is known of the age of a followed table. */
struct TableAge
{
  /** See `ProvenAge`; std::nullopt if nothing is proven. */
  std::optional<Duration> m_proven;
  /** For how long another instance has been known to hold a later change;
   * std::nullopt if none is known to. */
  std::optional<Duration> m_knownLag;
};

/** Proven age above which a table may be old. While the store answers, its
 * readers prove the age at least each 2.8 s, and heartbeats carry that to other
 * data centres within 2.4 s. */
inline constexpr Duration kLongestUnproven{ 6000 };

/**
 * Returns whether the table may be an older one: others are known to hold a
 * later one, or the store is not known to have held none until a short time
 * ago. A process that has only just taken the table from another one knows
 * nothing of its age. Thread-safe.
 */
bool
MayBeOld(const TableAge& aAge);

} // namespace ridgeferry::freshness
