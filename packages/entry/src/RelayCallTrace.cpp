// The part of `RelayCall` that logs where its call was placed and how its
// attempts ended.

#include "RelayCall.h"

#include <cmath>

namespace ridgeferry::entry {

namespace {

std::string_view
NameOf(relay::NoPlaceCause aCause)
{
  switch (aCause) {
    case relay::NoPlaceCause::Full:
      return "all upstreams are busy for too long";
    case relay::NoPlaceCause::TooLarge:
      return "prompt too large for the caller's time limit";
    case relay::NoPlaceCause::Limited:
      return "the limits that upstreams state are used up";
    case relay::NoPlaceCause::BackingOff:
      return "all upstreams want no requests for a while";
    case relay::NoPlaceCause::VersionGone:
      return "no upstream runs the software version that began the stream";
    case relay::NoPlaceCause::NoneSound:
      break;
  }
  return "no sound upstream is listed";
}

} // namespace

std::string_view
RelayCall::EndName(relay::AttemptEnd aEnd)
{
  switch (aEnd) {
    case relay::AttemptEnd::Served:
      return "served";
    case relay::AttemptEnd::Failed:
      return "failed";
    case relay::AttemptEnd::Declined:
      return "declined";
    case relay::AttemptEnd::Misdirected:
      return "displaced";
    case relay::AttemptEnd::Abandoned:
      break;
  }
  return "abandoned";
}

void
RelayCall::LogNoPlace(const relay::PlaceFault& aFault) const
{
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "no-place",
    { { "id", m_start.m_head.m_id },
      { "service", m_start.m_service },
      { "cause", std::string(NameOf(aFault.m_cause)) },
      { "roomInMs", aFault.m_roomIn.count() },
      { "promptTokens", PromptTokens() },
      { "waitMs", std::llround(aFault.m_expected.m_waitMs) },
      { "ownMs", std::llround(aFault.m_expected.m_ownMs) },
      { "boundMs", std::llround(aFault.m_boundMs) },
      { "listed", static_cast<std::int64_t>(m_node.m_fleet.Size()) } });
}

void
RelayCall::LogEjection(std::string_view aCause)
{
  m_node.m_metrics.Count("ejections_total");
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "upstream-ejected",
    { { "upstream", m_attempt.m_upstream },
      { "id", m_start.m_head.m_id },
      { "cause", std::string(aCause) },
      { "sentBeforeMs", (m_node.Now() - m_attempt.m_sentAt).count() } });
}

void
RelayCall::NoteTooLong()
{
  m_node.m_metrics.Count("answers_too_long_total");
  m_node.m_log->Write(
    observe::LogLevel::Warning,
    "answer-too-long",
    { { "id", m_start.m_head.m_id },
      { "attempt", static_cast<std::int64_t>(m_attempt.m_id) },
      { "upstream", m_attempt.m_upstream },
      { "status", std::int64_t{ m_attempt.m_head.m_status } },
      { "sentBeforeMs", (m_node.Now() - m_attempt.m_sentAt).count() } });
}

void
RelayCall::LogAttemptEnd(relay::AttemptEnd aEnd)
{
  const net::HttpSendRecord& sent = m_attempt.m_sent;
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "attempt-ended",
    { { "id", m_start.m_head.m_id },
      { "attempt", static_cast<std::int64_t>(m_attempt.m_id) },
      { "upstream", m_attempt.m_upstream },
      { "how", std::string(EndName(aEnd)) },
      { "ground", std::string(relay::NameOf(m_attempt.m_ground)) },
      { "status", std::int64_t{ m_attempt.m_head.m_status } },
      { "silent", m_attempt.m_hasGoneSilent },
      { "lastEvent", m_flow.LastEventId() },
      { "requestOnConnection", std::int64_t{ sent.m_requestNumber } },
      { "bytesWritten", static_cast<std::int64_t>(sent.m_bytesWritten) },
      { "answersSkipped", std::int64_t{ sent.m_answersSkipped } },
      { "tookMs", (m_node.Now() - m_attempt.m_sentAt).count() } });
}

void
RelayCall::LogSecondSend()
{
  if (!m_lastRun || MayBeRepeated()) {
    return;
  }
  m_isSentAgain = true;
  const RunEnd& last = *m_lastRun;
  const std::string ground(relay::NameOf(last.m_ground));
  m_node.m_metrics.Count(
    observe::WithLabel("second_sends_total", "ground", ground));
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "call-sent-again",
    { { "id", m_start.m_head.m_id },
      { "attempt", static_cast<std::int64_t>(m_attempt.m_id) },
      { "upstream", m_attempt.m_upstream },
      { "before", last.m_upstream },
      { "ground", ground },
      { "status", std::int64_t{ last.m_status } },
      { "requestOnConnection", std::int64_t{ last.m_sent.m_requestNumber } },
      { "bytesWritten", static_cast<std::int64_t>(last.m_sent.m_bytesWritten) },
      { "answersSkipped", std::int64_t{ last.m_sent.m_answersSkipped } },
      { "tookMs", (last.m_endedAt - last.m_sentAt).count() },
      { "passedOn", m_start.m_forwarded.has_value() } },
    observe::LogBound::Kept);
}

bool
RelayCall::IsPresent(relay::AttemptId aAttempt)
{
  if (aAttempt == m_attempt.m_id) {
    return true;
  }
  m_node.m_metrics.Count("late_attempt_events_total");
  m_node.m_log->Write(
    observe::LogLevel::Warning,
    "attempt-event-late",
    { { "id", m_start.m_head.m_id },
      { "attempt", static_cast<std::int64_t>(aAttempt) },
      { "present", static_cast<std::int64_t>(m_attempt.m_id) } },
    observe::LogBound::Kept);
  return false;
}

} // namespace ridgeferry::entry
