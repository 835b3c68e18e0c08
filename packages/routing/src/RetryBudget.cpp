#include "ridgeferry/routing/RetryBudget.h"

#include <algorithm>

namespace ridgeferry::routing {

void
RetryBudget::NoteCall()
{
  m_available = std::min(kMaxAvailable, m_available + kPerCall);
}

bool
RetryBudget::TakeRetry()
{
  if (m_available < 1) {
    return false;
  }
  m_available -= 1;
  return true;
}

Duration
RetryBudget::Backoff(int aRetry, std::uint64_t aRandom)
{
  constexpr int kMostDoublings = 10;
  const int doublings = std::clamp(aRetry - 1, 0, kMostDoublings);
  const Duration most =
    std::min(kLongestBackoff, Duration(kFirstBackoff.count() << doublings));
  return Duration(static_cast<Duration::rep>(aRandom % (most.count() + 1)));
}

} // namespace ridgeferry::routing
