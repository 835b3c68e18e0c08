#include "ridgeferry/relay/BackPressure.h"

#include <algorithm>

namespace ridgeferry::relay {

BackPressure::~BackPressure()
{
  m_all.m_total -= m_unread;
}

Reading
BackPressure::Note(std::size_t aUnread, Instant aNow)
{
  const bool hasRead = aUnread < m_unread;
  m_all.m_total = m_all.m_total - m_unread + aUnread;
  m_unread = aUnread;
  const bool isMuch = m_all.m_total > kMuchInAll;
  const std::size_t most = isMuch ? kLeastShare : kPauseAbove;
  const std::size_t resume = std::min(most, kResumeBelow);
  if (!m_isPaused && aUnread <= most) {
    return Reading::On;
  }
  if (!m_isPaused || hasRead) {
    m_readAt = aNow;
  }
  m_isPaused = aUnread >= resume;
  if (!m_isPaused) {
    return Reading::On;
  }
  return aNow - m_readAt >= kLongestStall ? Reading::GivenUp : Reading::Paused;
}

} // namespace ridgeferry::relay
