#include "ridgeferry/relay/CallerTimeLimit.h"

#include <algorithm>

namespace ridgeferry::relay {

Duration
CallerTimeLimit::Note(Duration aDeadline)
{
  if (aDeadline > m_longest + kTolerance) {
    // What was counted so far refers to another longest time.
    m_calls = 0;
    m_longestCalls = 0;
  }
  m_longest = std::max(m_longest, aDeadline);
  const Duration earlierWait = m_longest - aDeadline;
  const bool isLongest = earlierWait < kTolerance;
  const double kept = 1 - 1 / kMemoryCalls;
  m_calls = m_calls * kept + 1;
  m_longestCalls = m_longestCalls * kept + (isLongest ? 1 : 0);
  const bool areAlike =
    m_calls >= kLeastCalls && m_longestCalls >= kLeastShare * m_calls;
  return areAlike && !isLongest ? earlierWait : Duration{};
}

} // namespace ridgeferry::relay
