#include "ridgeferry/relay/PlannedStop.h"

namespace ridgeferry::relay {

void
PlannedStop::Begin(Duration aGrace, Instant aNow)
{
  if (!m_began) {
    m_began = aNow;
    m_grace = aGrace;
  }
}

bool
PlannedStop::AcceptsCalls(Instant aNow) const
{
  return !m_began || Since(aNow) < kAcceptCallsFor;
}

bool
PlannedStop::ClosesIdleConnections(Instant aNow) const
{
  return m_began && Since(aNow) >= kKeepIdleConnectionsFor;
}

bool
PlannedStop::MayEnd(std::size_t aOpen, Instant aNow) const
{
  if (!m_began || Since(aNow) < kAcceptConnectionsFor) {
    return false;
  }
  return aOpen == 0 || Since(aNow) >= m_grace - kMargin;
}

} // namespace ridgeferry::relay
