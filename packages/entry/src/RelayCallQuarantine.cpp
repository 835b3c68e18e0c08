// The part of `RelayCall` that works with the quarantine of calls during which
// upstreams crash: computes the digest of the call's content, checks whether
// the call is quarantined, and reports refused and broken connections.

#include "RelayCall.h"

namespace ridgeferry::entry {

const quarantine::CallDigest&
RelayCall::Digest()
{
  if (!m_digest) {
    const net::ReceivedRequest& request = m_start.m_exchange->Request();
    m_digest = quarantine::DigestOf({ m_start.m_head.m_caller,
                                      request.m_method,
                                      m_start.m_head.m_host,
                                      request.m_target,
                                      request.m_body });
  }
  return *m_digest;
}

std::optional<Duration>
RelayCall::QuarantineTimeLeft()
{
  QuarantineService& quarantine = *m_start.m_quarantine;
  if (m_isTrialRun || !quarantine.KnowsAny()) {
    return std::nullopt;
  }
  const auto held = quarantine.QuarantineTimeLeft(Digest());
  m_isTrialRun = held && quarantine.AllowTrialRun(Digest());
  return m_isTrialRun ? std::nullopt : held;
}

bool
RelayCall::MayRepeat()
{
  return !m_start.m_quarantine->KnowsAny() ||
         m_start.m_quarantine->MayRepeat(Digest());
}

void
RelayCall::LogQuarantined(Duration aFor)
{
  m_node.m_log->Write(observe::LogLevel::Info,
                      "call-held",
                      { { "id", m_start.m_head.m_id },
                        { "call", quarantine::FormatDigest(Digest()) },
                        { "forMs", aFor.count() } });
}

void
RelayCall::NoteConnection(const net::HttpResponse& aResponse)
{
  QuarantineService& quarantine = *m_start.m_quarantine;
  if (aResponse.m_refused) {
    quarantine.NoteRefused(m_attempt.m_upstream);
  } else if (HasBroken(aResponse) && !aResponse.m_silent) {
    quarantine.NoteBroken({ Digest(),
                            m_attempt.m_upstream,
                            m_start.m_head.m_id,
                            m_start.m_head.m_segments });
  }
}

} // namespace ridgeferry::entry
