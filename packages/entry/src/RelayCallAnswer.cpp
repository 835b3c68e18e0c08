// The part of `RelayCall` that sends the answer to the caller and logs the end
// of the call.

#include "OwnAnswer.h"
#include "RelayCall.h"

#include <cmath>
#include <ridgeferry/entry/PassableHeaders.h>

namespace ridgeferry::entry {

namespace {

constexpr std::string_view kServed = "served";
/** The other instance, to which the call was passed on, refused it. */
constexpr std::string_view kRefusedElsewhere = "refused-elsewhere";
constexpr std::string_view kOverloaded = "overloaded";
constexpr std::string_view kTooLarge = "too-large";
constexpr std::string_view kQuarantined = "upstreams-end-under-it";
constexpr std::string_view kVersionGone = "software-version-gone";
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/** Interval at which a paused answer is looked at, as a caller that reads
 * nothing gives no sign. */
constexpr Duration kLookAtPaused{ 250 };

OwnAnswer
AnswerOf(const relay::ReplyError& aReply)
{
  using Reason = relay::ReplyError::Reason;
  switch (aReply.m_reason) {
    case Reason::NoRoom:
      return { kUnavailable, kOverloaded, "not-run", aReply.m_retryAfter };
    case Reason::TooLarge:
      return { kUnavailable, kTooLarge, "not-run", {} };
    case Reason::Quarantined:
      return { kUnavailable, kQuarantined, "not-run", aReply.m_retryAfter };
    case Reason::VersionGone:
      return { kUnavailable, kVersionGone, "not-run", aReply.m_retryAfter };
    case Reason::NoAnswer:
      return {
        kBadGateway, "answer-lost", "may-have-run", aReply.m_retryAfter
      };
    case Reason::TooLate:
      break;
  }
  return { kGatewayTimeout, "deadline", "may-have-run", aReply.m_retryAfter };
}

} // namespace

void
RelayCall::Do(const relay::ForwardHead& aAction)
{
  m_answeredAt = m_node.Now();
  net::HttpHeaders headers = PassableHeaders(m_attempt.m_head.m_headers);
  if (m_start.m_forwarded && IsResumable()) {
    // What the head says holds from here on, whichever run brings the first
    // event.
    NoteStreamBegan();
    AddOrigin(headers, *m_origin);
  }
  m_start.m_exchange->StartStream(
    m_attempt.m_head.m_status,
    headers,
    aAction.m_unframed ? net::BodyFraming::Close : net::BodyFraming::Chunks);
}

void
RelayCall::Do(const relay::ForwardBytes& aAction)
{
  NoteStreamBegan();
  m_start.m_exchange->SendChunk(aAction.m_bytes);
  FollowCaller();
}

void
RelayCall::FollowCaller()
{
  const bool wasPaused = m_backPressure.IsPaused();
  const auto exchange = m_start.m_exchange;
  const std::size_t unread = exchange->Backlog();
  const relay::Reading reading = m_backPressure.Note(unread, m_node.Now());
  if (reading == relay::Reading::On) {
    m_lookAtPaused.reset();
    if (wasPaused) {
      m_node.m_http->SetReading(m_attempt.m_http, true);
      if (m_attempt.m_lastBytes) {
        // The caller made this pause, not the upstream.
        m_attempt.m_lastBytes = m_node.Now();
      }
    }
    return;
  }
  if (reading == relay::Reading::GivenUp) {
    m_lookAtPaused.reset();
    m_node.m_metrics.Count("slow_callers_total");
    m_node.m_log->Write(observe::LogLevel::Warning,
                        "caller-reads-too-slowly",
                        { { "id", m_start.m_head.m_id },
                          { "unread", static_cast<std::int64_t>(unread) } });
    // Deferred: aborting the exchange raises `CallerLeft`, which must not reach
    // the flow while it still handles the present event.
    m_node.m_loop->Defer([exchange] { exchange->Abort(); });
    return;
  }
  if (!wasPaused) {
    m_node.m_metrics.Count("answers_paused_total");
    m_node.m_http->SetReading(m_attempt.m_http, false);
  }
  m_lookAtPaused =
    m_node.m_loop->After(kLookAtPaused, [this] { FollowCaller(); });
}

void
RelayCall::Do(const relay::ForwardEnd&)
{
  LogEnd(kServed, m_attempt.m_head.m_status);
  if (m_isOriginTold && m_start.m_streamKey && !m_start.m_forwarded) {
    m_start.m_origins->NoteWhole(*m_start.m_streamKey);
  }
  m_start.m_exchange->EndStream();
}

void
RelayCall::Do(const relay::ForwardCompleteAnswer& aAction)
{
  m_answeredAt = m_node.Now();
  const bool isRefusal =
    m_attempt.m_isForwarded && m_attempt.m_head.m_status == kUnavailable;
  LogEnd(isRefusal ? kRefusedElsewhere : kServed, m_attempt.m_head.m_status);
  if (relay::PromisesNotRun(m_attempt.m_head.m_status)) {
    NotePromise(kRefusedElsewhere, m_attempt.m_head.m_status);
  }
  const net::HttpHeaders headers = PassableHeaders(m_attempt.m_head.m_headers);
  if (aAction.m_unframed) {
    m_start.m_exchange->ReplyUnframed(
      m_attempt.m_head.m_status, headers, aAction.m_body);
  } else {
    m_start.m_exchange->Reply(
      m_attempt.m_head.m_status, headers, aAction.m_body);
  }
}

void
RelayCall::Do(const relay::AbortConnection&)
{
  LogEnd("broken-off", m_attempt.m_head.m_status);
  m_start.m_exchange->Abort();
}

void
RelayCall::Do(const relay::ReplyError& aAction)
{
  OwnAnswer answer = AnswerOf(aAction);
  answer.m_declined =
    m_start.m_forwarded && m_foundNoneSound && answer.m_status == kUnavailable;
  LogEnd(answer.m_code, answer.m_status);
  if (relay::PromisesNotRun(answer.m_status)) {
    NotePromise(answer.m_code, answer.m_status);
  }
  SendOwnAnswer(*m_start.m_exchange, answer);
}

PromptOutcome
RelayCall::OutcomeFor(std::string_view aOutcome) const
{
  if (aOutcome == kOverloaded || aOutcome == kTooLarge ||
      aOutcome == kQuarantined || aOutcome == kVersionGone ||
      aOutcome == kRefusedElsewhere) {
    return PromptOutcome::Refused;
  }
  if (aOutcome != kServed || !m_answeredAt) {
    return PromptOutcome::Failed;
  }
  const Duration took = *m_answeredAt - m_began + m_start.m_earlierWait;
  return took <= m_start.m_route->m_firstByteTarget && !m_hadLongPause
           ? PromptOutcome::InAim
           : PromptOutcome::Late;
}

void
RelayCall::CountPrompt(std::string_view aOutcome)
{
  m_node.m_metrics.Count(
    observe::WithLabels("prompts_total",
                        { { "service", m_start.m_service },
                          { "tokens", SizeBandOf(PromptTokens()) },
                          { "outcome", NameOf(OutcomeFor(aOutcome)) } }));
}

void
RelayCall::LogEnd(std::string_view aOutcome, int aStatus)
{
  const Duration took = m_node.Now() - m_began;
  m_node.m_metrics.Count(
    observe::WithLabel("calls_total", "outcome", aOutcome));
  m_node.m_metrics.Observe("call_ms", static_cast<double>(took.count()));
  if (m_start.m_head.m_prompt) {
    CountPrompt(aOutcome);
  }
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "call-ended",
    { { "id", m_start.m_head.m_id },
      { "outcome", std::string(aOutcome) },
      { "status", std::int64_t{ aStatus } },
      { "route", m_start.m_route->m_name },
      { "service", m_start.m_service },
      { "organisation",
        m_start.m_organisation == nullptr ? std::string()
                                          : m_start.m_organisation->m_name },
      { "tried", m_path },
      { "runs", std::int64_t{ m_flow.Runs() } },
      { "lastEvent", m_flow.LastEventId() },
      { "framing", std::string(NameOf(m_attempt.m_head.m_framing)) },
      { "unfinishedBytes", static_cast<std::int64_t>(m_unfinishedBytes) },
      { "promptTokens", PromptTokens() },
      { "expectedMs", std::llround(m_place.m_expectedMs) },
      { "answeredMs",
        m_answeredAt ? (*m_answeredAt - m_began).count() : std::int64_t{ -1 } },
      { "tookMs", took.count() },
      { "repeatable", MayBeRepeated() },
      { "passedOn", m_start.m_forwarded.has_value() },
      { "config", static_cast<std::int64_t>(m_start.m_routes->Version()) } },
    m_isSentAgain ? observe::LogBound::Kept : observe::LogBound::Common);
}

} // namespace ridgeferry::entry
