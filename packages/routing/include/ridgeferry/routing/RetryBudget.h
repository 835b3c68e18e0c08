#pragma once

#include <cstdint>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::routing {

/**
 * Bounds retries to a share of the first attempts, so that a failing hall is
 * not met by a storm. Not thread-safe.
 */
class RetryBudget
{
public:
  static constexpr double kPerCall = 0.2; ///< Retries earned by a call.
  static constexpr double kMost = 20;     ///< Retries saved up at the most.
  static constexpr Duration kFirstBackoff{ 20 };
  static constexpr Duration kLongestBackoff{ 1000 };

  void NoteCall();
  /** Whether a retry may be made; it is paid for if so. */
  bool TakeRetry();
  /**
   * Wait before retry number `aRetry` (from 1): doubled each time, and with
   * full jitter from `aRandom`.
   */
  static Duration Backoff(int aRetry, std::uint64_t aRandom);

private:
  double m_saved = kMost;
};

} // namespace ridgeferry::routing
