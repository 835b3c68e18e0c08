// The part of `RelayCall` that works with the quarantine of what upstreams
// crash under: names the suspects of the call, checks whether one of them is
// quarantined, and reports how the call's connections ended.

#include "RelayCall.h"

namespace ridgeferry::entry {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

} // namespace

const std::vector<quarantine::NamedSuspect>&
RelayCall::Suspects()
{
  if (m_suspects.empty()) {
    const net::ReceivedRequest& request = m_start.m_exchange->Request();
    m_suspects.push_back({ quarantine::DigestOf({ m_start.m_head.m_caller,
                                                  request.m_method,
                                                  m_start.m_head.m_host,
                                                  request.m_target,
                                                  request.m_body }),
                           quarantine::kCallDepth });
    const auto& segments = m_start.m_head.m_segments;
    for (std::size_t depth = segments.size(); depth-- > 0;) {
      m_suspects.push_back(
        { segments[depth], static_cast<quarantine::Depth>(depth) });
    }
  }
  return m_suspects;
}

std::optional<QuarantineHold>
RelayCall::Hold()
{
  QuarantineService& quarantine = *m_start.m_quarantine;
  if (m_isTrialRun || !quarantine.KnowsAny()) {
    return std::nullopt;
  }
  const auto hold = quarantine.HoldOf(Suspects());
  m_isTrialRun = hold && quarantine.AllowTrialRun(Suspects());
  return m_isTrialRun ? std::nullopt : hold;
}

bool
RelayCall::MayRepeat()
{
  return !m_start.m_quarantine->KnowsAny() ||
         m_start.m_quarantine->MayRepeat(Suspects());
}

void
RelayCall::LogQuarantined(const QuarantineHold& aHold)
{
  const quarantine::Suspect& heldFor = aHold.m_heldFor.m_suspect;
  std::vector<observe::LogField> fields{
    { "id", m_start.m_head.m_id },
    { "call", quarantine::FormatSuspect(Suspects().front().m_suspect) },
    { "forMs", aHold.m_left.count() }
  };
  if (quarantine::IsSegment(heldFor)) {
    fields.push_back({ "segment", quarantine::FormatSuspect(heldFor) });
    fields.push_back({ "depth", std::int64_t{ aHold.m_heldFor.m_depth } });
  }
  m_node.m_log->Write(observe::LogLevel::Info, "call-held", fields);
}

void
RelayCall::NoteConnection(const net::HttpResponse& aResponse)
{
  QuarantineService& quarantine = *m_start.m_quarantine;
  if (aResponse.m_refused) {
    quarantine.NoteRefused(m_attempt.m_upstream);
  } else if (HasBroken(aResponse) && !aResponse.m_silent) {
    quarantine.NoteBroken(
      { Suspects(), m_attempt.m_upstream, m_start.m_head.m_id });
  }
}

void
RelayCall::NoteServed()
{
  const int status = m_attempt.m_head.m_status;
  if (m_attempt.m_readOnly || m_attempt.m_isForwarded ||
      status < kFirstSuccess || status >= kFirstRedirect) {
    return; // Nothing shows that the upstream ran the call to its end.
  }
  QuarantineService& quarantine = *m_start.m_quarantine;
  if (quarantine.KnowsAny()) {
    quarantine.NoteServed(
      { Suspects(), m_attempt.m_upstream, m_start.m_head.m_id });
  } else {
    quarantine.NoteServed(m_start.m_head.m_segments);
  }
}

} // namespace ridgeferry::entry
