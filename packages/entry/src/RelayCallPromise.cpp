// The part of `RelayCall` that records what a promise to a caller rests on:
// that its call has not run and never will.

#include "RelayCall.h"

namespace ridgeferry::entry {

relay::AttemptGround
RelayCall::GroundOf(NotRunWord aWord)
{
  switch (aWord) {
    case NotRunWord::Mark:
      return relay::AttemptGround::Marked;
    case NotRunWord::Misdirected:
      return relay::AttemptGround::Misdirected;
    case NotRunWord::Contradicted:
      return relay::AttemptGround::Contradicted;
    case NotRunWord::None:
      break;
  }
  return relay::AttemptGround::Answered;
}

void
RelayCall::NotePromise(std::string_view aCode, int aStatus)
{
  if (m_attempt.m_id == 0 || MayBeRepeated()) {
    return; // Nothing was sent, or a run would do no harm.
  }
  m_node.m_promises.Note(m_start.m_head.m_id, m_node.Now());
  const std::string ground(relay::NameOf(m_attempt.m_ground));
  m_node.m_metrics.Count(
    observe::WithLabel("not_run_promises_total", "ground", ground));
  const net::HttpSendRecord& sent = m_attempt.m_sent;
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "not-run-promised",
    { { "id", m_start.m_head.m_id },
      { "outcome", std::string(aCode) },
      { "status", std::int64_t{ aStatus } },
      { "attempt", static_cast<std::int64_t>(m_attempt.m_id) },
      { "upstream", m_attempt.m_upstream },
      { "readOnly", m_attempt.m_readOnly },
      { "ground", ground },
      { "prefill", std::string(relay::NameOf(m_prefillGround)) },
      { "upstreamStatus", std::int64_t{ m_attempt.m_head.m_status } },
      { "requestOnConnection", std::int64_t{ sent.m_requestNumber } },
      { "bytesWritten", static_cast<std::int64_t>(sent.m_bytesWritten) },
      { "answersSkipped", std::int64_t{ sent.m_answersSkipped } },
      { "passedOn", m_start.m_forwarded.has_value() } },
    observe::LogBound::Kept);
}

void
RelayCall::NoteSkipped(std::string_view aCall, const net::HttpHead& aHead)
{
  const bool isOfARun =
    GroundOf(m_node.m_dialect.m_readNotRunWord(aHead, m_attempt.m_upstream)) ==
    relay::AttemptGround::Answered;
  if (!isOfARun || !m_node.m_promises.Has(aCall, m_node.Now())) {
    return;
  }
  m_node.m_metrics.Count("not_run_promises_broken_total");
  m_node.m_log->Write(observe::LogLevel::Error,
                      "refused-call-has-run",
                      { { "id", std::string(aCall) },
                        { "upstream", m_attempt.m_upstream },
                        { "status", std::int64_t{ aHead.m_status } } },
                      observe::LogBound::Kept);
}

} // namespace ridgeferry::entry
