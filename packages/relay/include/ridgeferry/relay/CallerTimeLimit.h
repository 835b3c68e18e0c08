#pragma once

#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/**
 * Tells, from the deadlines of a route's calls, how long a caller has waited in
 * earlier attempts of its call.
 *
 * If all callers of a route wait equally long, a call that arrives with less
 * time left was sent before. If callers differ, the time left says nothing
 * about earlier attempts. The class finds out which of the two holds: whether
 * many calls arrive with the longest time of all.
 *
 * Pure, not thread-safe.
 */
class CallerTimeLimit
{
public:
  /**
   * Smallest difference between two deadlines that counts as time spent in an
   * earlier attempt. Smaller ones come from the network and the clocks.
   */
  static constexpr Duration kTolerance{ 50 };
  /** Least number of calls from which the callers are judged. */
  static constexpr double kLeastCalls = 10;
  /**
   * Least share of calls with the longest time for which callers count as
   * alike. In the heaviest overloads, more than half of the calls are later
   * attempts.
   */
  static constexpr double kLeastShare = 0.2;
  /** Number of calls over which the share is taken. */
  static constexpr double kMemoryCalls = 200;

  /**
   * Records the deadline of a call. Returns how long its caller has waited in
   * earlier attempts; 0 if that is negligible or cannot be told.
   */
  Duration Note(Duration aDeadline);

private:
  Duration m_longest{};
  double m_calls = 0;        ///< Smoothed over `kMemoryCalls`.
  double m_longestCalls = 0; ///< Those of them with the longest time.
};

} // namespace ridgeferry::relay
