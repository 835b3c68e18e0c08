#include "ridgeferry/relay/ServiceReach.h"

#include <algorithm>

namespace ridgeferry::relay {

void
ServiceReach::NoteConnected(Instant aNow)
{
  if (!m_isConnectable) {
    m_nextTrialAt = aNow;
  }
  m_isConnectable = true;
}

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
ServiceReach::AllowTrial(bool aMayRepeat, Instant aNow)
{
  const Instant from =
    aMayRepeat ? m_nextTrialAt : m_nextTrialAt + kRepeatableFirst;
  if (!m_isUnreachable || !m_isConnectable || aNow < from) {
    return false;
  }
  m_nextTrialAt = aNow + m_trialInterval;
  m_trialInterval = std::min(m_trialInterval * 2, kMaxTrialInterval);
  return true;
}

} // namespace ridgeferry::relay
