#include "ridgeferry/relay/ServiceReach.h"

#include <algorithm>

namespace ridgeferry::relay {

bool
ServiceReach::NoteResponsive(bool aAny, Instant aNow)
{
  if (aAny != m_isUnreachable) {
    return false;
  }
  m_isUnreachable = !aAny;
  m_isConnectable = false;
  m_since = aNow;
  m_nextTrialAt = aNow;
  m_trialInterval = kFirstTrialInterval;
  return true;
}

bool
ServiceReach::AllowTrial(Instant aNow)
{
  if (!m_isUnreachable || !m_isConnectable || aNow < m_nextTrialAt) {
    return false;
  }
  m_nextTrialAt = aNow + m_trialInterval;
  m_trialInterval = std::min(m_trialInterval * 2, kMaxTrialInterval);
  return true;
}

} // namespace ridgeferry::relay
