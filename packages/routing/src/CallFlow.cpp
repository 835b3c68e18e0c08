#include "ridgeferry/routing/CallFlow.h"

#include <charconv>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::routing {

namespace {

/** Retry delay, in milliseconds, that is given to the caller of a call that no
 * upstream completed or whose deadline passed. */
constexpr Duration kFailedRetry{ 1000 };

} // namespace

std::string
EncodeStreamPosition(const StreamPosition& aPlace)
{
  return aPlace.m_engine + "/" + aPlace.m_stream + "/" +
         std::to_string(aPlace.m_offset);
}

std::optional<StreamPosition>
DecodeStreamPosition(std::string_view aText)
{
  const std::size_t first = aText.find('/');
  const std::size_t last = aText.rfind('/');
  if (first == std::string_view::npos || first == last || first == 0) {
    return std::nullopt;
  }
  StreamPosition place;
  place.m_engine = aText.substr(0, first);
  place.m_stream = aText.substr(first + 1, last - first - 1);
  const std::string_view digits = aText.substr(last + 1);
  const auto [end, error] = std::from_chars(
    digits.data(), digits.data() + digits.size(), place.m_offset);
  const bool whole = end == digits.data() + digits.size();
  if (error != std::errc{} || !whole || place.m_stream.empty()) {
    return std::nullopt;
  }
  return place;
}

CallFlow::CallFlow(CallTraits aTraits)
  : m_traits(aTraits)
  , m_nextOffset(aTraits.m_resumeFrom)
  , m_textStart(aTraits.m_resumeFrom)
{
}

std::vector<CallAction>
CallFlow::Handle(const CallEvent& aEvent)
{
  Actions actions;
  if (m_step == Step::Done) {
    ++m_dropped;
    return actions;
  }
  std::visit([&](const auto& aItem) { On(aItem, actions); }, aEvent);
  return actions;
}

bool
CallFlow::IsCurrent(AttemptId aAttempt)
{
  const bool current = m_step == Step::Sent && aAttempt == m_attempt;
  m_dropped += current ? 0 : 1;
  return current;
}

void
CallFlow::Finish(Actions& aActions, CallAction aFinal)
{
  m_step = Step::Done;
  aActions.push_back(std::move(aFinal));
}

Outcome
CallFlow::WorstOutcome() const
{
  return m_mayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun;
}

void
CallFlow::GiveUp(Problem aProblem, Actions& aActions)
{
  if (!m_claimed) {
    Finish(aActions, ReplyProblem{ std::move(aProblem) });
    return;
  }
  // The outcome is stored before it is reported. Otherwise a caller that was
  // told "not run" could find its key still claimed when it retries.
  m_step = Step::Closing;
  aActions.emplace_back(CloseClaim{ aProblem.m_outcome, 0, {}, {} });
  m_pendingProblem = std::move(aProblem);
}

void
CallFlow::Release(bool aFailed, Actions& aActions)
{
  if (!m_upstream.empty()) {
    aActions.emplace_back(ReleaseUpstream{ m_upstream, aFailed });
    m_upstream.clear();
  }
}

void
CallFlow::Choose(Actions& aActions)
{
  m_step = Step::Choosing;
  aActions.emplace_back(
    RequestUpstream{ m_wantsDecodeEngine, m_excluded, m_retries });
}

void
CallFlow::On(const CallBegan&, Actions& aActions)
{
  if (m_step != Step::New) {
    return;
  }
  if (!m_traits.m_repeatable) {
    m_step = Step::Claiming;
    aActions.emplace_back(RequestClaim{});
    return;
  }
  Choose(aActions);
}

void
CallFlow::On(const ResumeAsked& aEvent, Actions& aActions)
{
  if (m_step != Step::New) {
    return;
  }
  m_step = Step::Sent;
  m_mayHaveRun = true; // An earlier connection started this run.
  m_resumeTried = true;
  m_stream = aEvent.m_position.m_stream;
  m_upstream = aEvent.m_position.m_engine;
  m_address = aEvent.m_address;
  m_nextOffset = aEvent.m_position.m_offset;
  m_textStart = m_nextOffset;
  aActions.emplace_back(ResumeAttempt{
    ++m_attempt, m_upstream, m_address, m_stream, m_nextOffset });
}

void
CallFlow::On(const ClaimWon&, Actions& aActions)
{
  if (m_step != Step::Claiming) {
    return;
  }
  m_claimed = true;
  Choose(aActions);
}

void
CallFlow::On(const ClaimRefused& aEvent, Actions& aActions)
{
  if (m_step == Step::Claiming) {
    Finish(aActions, ReplyProblem{ aEvent.m_problem });
  }
}

void
CallFlow::On(const ClaimReplayed& aEvent, Actions& aActions)
{
  if (m_step == Step::Claiming) {
    Finish(aActions,
           ReplyAnswer{
             aEvent.m_status, aEvent.m_contentType, aEvent.m_body, true });
  }
}

void
CallFlow::On(const ClaimClosed& aEvent, Actions& aActions)
{
  if (m_step != Step::Closing || !m_pendingProblem) {
    return;
  }
  Problem problem = *m_pendingProblem;
  problem.m_outcome = aEvent.m_outcome;
  Finish(aActions, ReplyProblem{ std::move(problem) });
}

void
CallFlow::On(const UpstreamGranted& aEvent, Actions& aActions)
{
  if (m_step != Step::Choosing) {
    // The call ended before the upstream was granted, so the upstream is
    // released unused.
    aActions.emplace_back(ReleaseUpstream{ aEvent.m_upstream, false });
    return;
  }
  m_step = Step::Sent;
  m_upstream = aEvent.m_upstream;
  m_address = aEvent.m_address;
  m_phase = aEvent.m_phase;
  m_stream.clear();
  m_resumeTried = false;
  const bool knowsHead = m_textStart == 0;
  aActions.emplace_back(SendAttempt{ ++m_attempt,
                                     m_upstream,
                                     m_address,
                                     m_phase,
                                     m_kvHandle,
                                     knowsHead ? m_nextOffset : 0,
                                     knowsHead ? m_text : std::string() });
}

void
CallFlow::On(const UpstreamDenied& aEvent, Actions& aActions)
{
  if (m_step == Step::Choosing) {
    GiveUp({ aEvent.m_code, WorstOutcome(), aEvent.m_retryAfter, {} },
           aActions);
  }
}

void
CallFlow::Retry(Actions& aActions, ProblemCode aCode)
{
  const bool mayRetry = m_retryAllowed && m_attempt < kMaxAttempts &&
                        (m_traits.m_repeatable || !m_mayHaveRun);
  if (!mayRetry) {
    GiveUp({ aCode, WorstOutcome(), kFailedRetry, {} }, aActions);
    return;
  }
  ++m_retries;
  Choose(aActions);
}

void
CallFlow::On(const AttemptNotSent& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  m_excluded.push_back(m_upstream);
  Release(true, aActions);
  Retry(aActions, ProblemCode::NoUpstream);
}

void
CallFlow::On(const AttemptRefused& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  m_excluded.push_back(m_upstream);
  Release(false, aActions);
  Retry(aActions, ProblemCode::Overloaded);
}

void
CallFlow::On(const StreamBegan& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  m_stream = aEvent.m_stream;
  if (m_traits.m_stream && !m_streamStarted) {
    m_streamStarted = true;
    aActions.emplace_back(StartStream{});
  }
}

void
CallFlow::On(const TokenArrived& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  if (aEvent.m_offset < m_nextOffset) {
    ++m_dropped; // The caller already has this token.
    return;
  }
  if (aEvent.m_offset > m_nextOffset) {
    // Tokens are missing. They must be read before any later token is sent to
    // the caller.
    aActions.emplace_back(CancelAttempt{ m_attempt });
    HandleBrokenAttempt(aActions);
    return;
  }
  ++m_nextOffset;
  m_resumeTried = false;
  m_text += aEvent.m_text;
  if (m_traits.m_stream) {
    aActions.emplace_back(
      ReplyToken{ { m_upstream, m_stream, m_nextOffset }, aEvent.m_text });
  }
}

void
CallFlow::On(const StreamEnded& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  if (aEvent.m_tokens != m_nextOffset) {
    // Tokens are missing, so the output is incomplete.
    HandleBrokenAttempt(aActions);
    return;
  }
  Release(false, aActions);
  if (m_claimed) {
    // The answer does not wait until the outcome is stored.
    aActions.emplace_back(
      CloseClaim{ Outcome::Ran, 200, "text/plain; charset=utf-8", m_text });
  }
  if (m_traits.m_stream) {
    Finish(aActions, EndStream{ aEvent.m_reason, m_nextOffset });
    return;
  }
  Finish(aActions, ReplyGeneration{ m_text, aEvent.m_reason, m_nextOffset });
}

void
CallFlow::On(const AnswerArrived& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  Release(false, aActions);
  if (m_phase == Phase::Prefill && !aEvent.m_kvHandle.empty()) {
    m_kvHandle = aEvent.m_kvHandle;
    m_wantsDecodeEngine = true;
    Choose(aActions);
    return;
  }
  if (m_claimed) {
    // An answer that may have been cut is not kept for later callers.
    aActions.emplace_back(aEvent.m_unframed ? CloseClaim{}
                                            : CloseClaim{ Outcome::Ran,
                                                          aEvent.m_status,
                                                          aEvent.m_contentType,
                                                          aEvent.m_body });
  }
  Finish(aActions,
         ReplyAnswer{ aEvent.m_status,
                      aEvent.m_contentType,
                      aEvent.m_body,
                      false,
                      aEvent.m_unframed });
}

void
CallFlow::On(const AttemptBroke& aEvent, Actions& aActions)
{
  if (IsCurrent(aEvent.m_attempt)) {
    HandleBrokenAttempt(aActions);
  }
}

void
CallFlow::HandleBrokenAttempt(Actions& aActions)
{
  m_mayHaveRun = true;
  const bool canResume = m_traits.m_generation && !m_stream.empty() &&
                         !m_resumeTried && m_attempt < kMaxAttempts;
  if (canResume) {
    // Possibly only the connection was lost and the engine still produces the
    // stream. Reading that stream again spares another engine the same work.
    m_resumeTried = true;
    aActions.emplace_back(ResumeAttempt{
      ++m_attempt, m_upstream, m_address, m_stream, m_nextOffset });
    return;
  }
  m_excluded.push_back(m_upstream);
  Release(true, aActions);
  // The KV handle may refer to the failed engine, so the call starts again with
  // the prefill.
  m_kvHandle.clear();
  m_wantsDecodeEngine = false;
  Retry(aActions, ProblemCode::UpstreamFailed);
}

void
CallFlow::On(const DeadlinePassed&, Actions& aActions)
{
  if (m_step == Step::Closing || m_step == Step::New) {
    return;
  }
  if (m_step == Step::Claiming) {
    // It is unknown whether the claim is in the table. The call was not sent
    // and will not be sent any more.
    Finish(aActions,
           ReplyProblem{ { ProblemCode::DeadlineExceeded,
                           Outcome::MayHaveRun,
                           kFailedRetry,
                           "the call was not sent, but its key may be "
                           "claimed" } });
    return;
  }
  if (m_step == Step::Sent) {
    m_mayHaveRun = true;
    aActions.emplace_back(CancelAttempt{ m_attempt });
    Release(false, aActions);
  }
  GiveUp({ ProblemCode::DeadlineExceeded, WorstOutcome(), kFailedRetry, {} },
         aActions);
}

void
CallFlow::On(const CallerLeft&, Actions& aActions)
{
  if (m_step == Step::Sent && m_traits.m_repeatable) {
    aActions.emplace_back(CancelAttempt{ m_attempt });
    Release(false, aActions);
    m_step = Step::Done;
    return;
  }
  if (m_step == Step::Choosing && !m_claimed) {
    m_step = Step::Done;
    return;
  }
  // A call that must not be repeated continues without its caller, so that a
  // retry with the same key gets the recorded outcome.
}

} // namespace ridgeferry::routing
