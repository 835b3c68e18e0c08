#pragma once

#include <cstdint>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::routing {

/**
 * Limits retries to a fraction of the calls, so that the failure of a data
 * centre does not cause a storm of retries. Not thread-safe.
 */
class RetryBudget
{
public:
  static constexpr double kPerCall = 0.2; ///< Retries that each call adds.
  /** Maximum number of unused retries. */
  static constexpr double kMaxAvailable = 20;
  /** Maximum wait before the first retry, in milliseconds. */
  static constexpr Duration kFirstBackoff{ 20 };
  /** Upper bound of the wait before any retry, in milliseconds. */
  static constexpr Duration kLongestBackoff{ 1000 };

  /** Records a new call, which adds `kPerCall` retries to the budget. */
  void NoteCall();
  /** Takes one retry from the budget. Returns false if the budget is exhausted,
   * in which case no retry may be made. */
  bool TakeRetry();
  /**
   * Returns the wait before retry number `aRetry`, counted from 1. The maximum
   * wait doubles with each retry, from `kFirstBackoff` to `kLongestBackoff`;
   * the wait is chosen between 0 and that maximum by `aRandom` (full jitter).
   */
  static Duration Backoff(int aRetry, std::uint64_t aRandom);

private:
  double m_available = kMaxAvailable;
};

} // namespace ridgeferry::routing
