#include "ridgeferry/relay/RelayFlow.h"

#include <algorithm>
#include <ridgeferry/relay/AttemptGround.h>
#include <utility>

namespace ridgeferry::relay {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

} // namespace

RelayFlow::RelayFlow(RelayTraits aTraits)
  : m_traits(aTraits)
{
}

std::vector<RelayAction>
RelayFlow::Handle(const RelayEvent& aEvent)
{
  Actions actions;
  if (m_step != Step::Done) {
    std::visit([&](const auto& aTyped) { On(aTyped, actions); }, aEvent);
  }
  return actions;
}

bool
RelayFlow::IsCurrent(AttemptId aAttempt) const
{
  return aAttempt == m_attempt &&
         (m_step == Step::Prefilling || m_step == Step::Running);
}

bool
RelayFlow::IsIdempotent() const
{
  return m_traits.m_stream ? m_traits.m_resumable
                           : m_traits.m_repeat == Repeat::Freely;
}

bool
RelayFlow::TakePermits(int aSends)
{
  const int missing = std::max(0, aSends - m_permits);
  if (missing > m_freePermits) {
    return false;
  }
  m_permits += missing;
  m_freePermits -= missing;
  return true;
}

bool
RelayFlow::MayRunAgain() const
{
  return IsIdempotent() && m_runs < m_traits.m_maxRuns && m_tries < kMaxSends;
}

bool
RelayFlow::MayProbeSameUpstream() const
{
  return m_traits.m_stream && IsIdempotent() && !m_probingSameUpstream &&
         m_tries < kMaxSends;
}

bool
RelayFlow::RepeatsBehind(const HeadArrived& aHead) const
{
  const bool isRefusedElsewhere =
    aHead.m_isFromInstance && m_runs == 0 && PromisesNotRun(aHead.m_status);
  // `m_runs` does not include the current run until its answer is complete, so
  // the current run is added here.
  return aHead.m_status >= kFirstServerError && !m_forwarded &&
         !isRefusedElsewhere && IsIdempotent() &&
         m_runs + 1 < m_traits.m_maxRuns && m_tries < kMaxSends;
}

RelayFlow::AnswerHandling
RelayFlow::HandlingOf(const HeadArrived& aHead) const
{
  const int status = aHead.m_status;
  const bool untouched = !m_forwarded && m_runs == 0;
  if (aHead.m_isFromInstance && untouched && PromisesNotRun(status)) {
    return AnswerHandling::Buffer;
  }
  if (PromisesNotRun(status)) {
    return AnswerHandling::Discard;
  }
  const bool success = status >= kFirstSuccess && status < kFirstRedirect;
  if (m_traits.m_stream && success) {
    return AnswerHandling::Stream;
  }
  // A failure cannot continue a stream of which the caller already has a part
  // from an earlier run.
  return m_forwarded ? AnswerHandling::Discard : AnswerHandling::Buffer;
}

void
RelayFlow::On(const CallBegan&, Actions& aActions)
{
  m_step = Step::Placing;
  aActions.emplace_back(FindPlace{});
}

void
RelayFlow::On(const PlaceFound& aEvent, Actions& aActions)
{
  if (m_step != Step::Placing) {
    return;
  }
  m_upstream = aEvent.m_upstream;
  m_prefillEngine = aEvent.m_prefillEngine;
  m_handle.clear();
  if (m_prefillEngine.empty()) {
    StartRun(aActions);
    return;
  }
  const bool repeat = m_prefillSends > 0;
  const int runPermits = m_sends > 0 ? 1 : 0;
  if (repeat && !TakePermits(runPermits + 1)) {
    RunWithoutPrefillEngine(aActions);
    return;
  }
  m_step = Step::Prefilling;
  ++m_prefillSends;
  UsePermit(repeat);
  aActions.emplace_back(SendPrefill{ ++m_attempt, m_prefillEngine, repeat });
}

void
RelayFlow::UsePermit(bool aIsRepeat)
{
  m_usesPermit = aIsRepeat;
  m_permits -= aIsRepeat ? 1 : 0;
}

void
RelayFlow::ReturnPermit()
{
  m_permits += std::exchange(m_usesPermit, false) ? 1 : 0;
}

void
RelayFlow::StartRun(Actions& aActions)
{
  m_step = Step::Running;
  m_handling = AnswerHandling::Unknown;
  m_unframed = false;
  m_eventsBefore = m_events.Events();
  m_bufferedBody.clear();
  m_droppedBytes = 0;
  ++m_tries;
  const bool repeat = m_sends > 0;
  ++m_sends;
  UsePermit(repeat);
  aActions.emplace_back(SendRun{ ++m_attempt,
                                 m_upstream,
                                 m_prefillEngine,
                                 m_handle,
                                 m_forwarded ? m_events.LastId() : "",
                                 repeat });
}

void
RelayFlow::RunWithoutPrefillEngine(Actions& aActions)
{
  m_prefillEngine.clear();
  StartRun(aActions);
}

void
RelayFlow::RunBehindLostPrefill(Actions& aActions)
{
  // Its engine may have turned it away, so the run counts as a repeat.
  ++m_sends;
  if (TakePermits(1)) {
    RunWithoutPrefillEngine(aActions);
  } else {
    GiveUp(kRetryAfter, aActions);
  }
}

void
RelayFlow::On(const NoPlace& aEvent, Actions& aActions)
{
  if (m_step != Step::Placing) {
    return;
  }
  const bool untouched = !m_forwarded && m_runs == 0;
  if (untouched && aEvent.m_cause == NoPlace::Cause::TooLarge) {
    Finish(aActions, ReplyError{ ReplyError::Reason::TooLarge, {} });
  } else if (untouched && aEvent.m_cause == NoPlace::Cause::Quarantined) {
    Finish(aActions,
           ReplyError{ ReplyError::Reason::Quarantined, aEvent.m_retryAfter });
  } else if (untouched && aEvent.m_cause == NoPlace::Cause::VersionGone) {
    Finish(aActions,
           ReplyError{ ReplyError::Reason::VersionGone, kVersionRetryAfter });
  } else {
    GiveUp(aEvent.m_retryAfter, aActions);
  }
}

void
RelayFlow::FindAnotherPlace(Actions& aActions)
{
  m_step = Step::Placing;
  aActions.emplace_back(FindPlace{ m_excluded });
}

void
RelayFlow::FinishAttempt(AttemptEnd aEnd, Actions& aActions)
{
  aActions.emplace_back(NoteAttemptEnd{ m_attempt, aEnd });
  if (aEnd != AttemptEnd::Served && aEnd != AttemptEnd::Abandoned) {
    m_excluded.push_back(m_step == Step::Prefilling ? m_prefillEngine
                                                    : m_upstream);
  }
}

void
RelayFlow::On(const AttemptNotSent& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  FinishAttempt(AttemptEnd::Failed, aActions);
  ReturnPermit();
  if (m_step == Step::Prefilling) {
    RunWithoutPrefillEngine(aActions);
    return;
  }
  // The upstream received nothing, so `m_sends` must not include this send.
  --m_sends;
  if (m_probingSameUpstream && !aEvent.m_hasEnded) {
    // Its earlier run counts, so that no other upstream may resume the stream.
    ProbeAgain(aActions);
    return;
  }
  if (std::exchange(m_probingSameUpstream, false)) {
    --m_runs; // The run of an upstream that has ended does not count.
  }
  if (m_tries < kMaxSends) {
    FindAnotherPlace(aActions);
  } else {
    GiveUp(kRetryAfter, aActions);
  }
}

void
RelayFlow::ProbeAgain(Actions& aActions)
{
  if (m_tries < kMaxSends && TakePermits(1)) {
    StartRun(aActions);
  } else {
    GiveUp(kRetryAfter, aActions);
  }
}

void
RelayFlow::On(const AttemptWithheld& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  // Neither a send nor a failure. Each time excludes one more upstream, so the
  // call comes to an end.
  ReturnPermit();
  if (m_step == Step::Prefilling) {
    --m_prefillSends;
    m_excluded.push_back(m_prefillEngine);
    FindAnotherPlace(aActions);
    return;
  }
  --m_sends;
  --m_tries;
  m_excluded.push_back(m_upstream);
  if (m_probingSameUpstream) {
    // That upstream has not crashed, so its run counts.
    GiveUp(kRetryAfter, aActions);
    return;
  }
  if (!m_handle.empty()) {
    aActions.emplace_back(
      FreeHandle{ m_prefillEngine, std::exchange(m_handle, {}) });
  }
  m_prefillEngine.clear();
  FindAnotherPlace(aActions);
}

void
RelayFlow::On(const AttemptRefused& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  FinishAttempt(aEvent.m_misdirected ? AttemptEnd::Misdirected
                                     : AttemptEnd::Declined,
                aActions);
  if (m_step == Step::Prefilling) {
    // A declined prefill counts as a send, so that the next send counts against
    // the retry budget.
    ++m_sends;
  }
  if (m_probingSameUpstream) {
    // The upstream answered, so it has not crashed: its earlier run still
    // counts against `m_maxRuns`, and no other upstream may resume the stream.
    GiveUp(kRetryAfter, aActions);
    return;
  }
  m_prefillEngine.clear();
  if (m_tries < kMaxSends && TakePermits(1)) {
    FindAnotherPlace(aActions);
  } else {
    GiveUp(aEvent.m_roomIn.value_or(kRetryAfter), aActions);
  }
}

void
RelayFlow::On(const PrefillCompleted& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt) || m_step != Step::Prefilling) {
    return;
  }
  aActions.emplace_back(NoteAttemptEnd{ m_attempt, AttemptEnd::Served });
  m_handle = aEvent.m_handle;
  StartRun(aActions);
}

void
RelayFlow::On(const PrefillRan& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt) || m_step != Step::Prefilling) {
    return;
  }
  FinishAttempt(AttemptEnd::Failed, aActions);
  ++m_runs;
  if (MayRunAgain()) {
    RunBehindLostPrefill(aActions);
  } else {
    GiveUp(kRetryAfter, aActions);
  }
}

void
RelayFlow::On(const HeadArrived& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt) || m_step != Step::Running) {
    return;
  }
  const bool repeats = RepeatsBehind(aEvent) && TakePermits(1);
  m_handling = repeats ? AnswerHandling::Repeat : HandlingOf(aEvent);
  m_unframed = aEvent.m_unframed;
  if (m_handling == AnswerHandling::Stream && !m_forwarded) {
    ForwardHeadTo(aActions);
  }
}

void
RelayFlow::ForwardHeadTo(Actions& aActions)
{
  m_forwarded = true;
  m_forwardedUnframed = m_unframed;
  aActions.emplace_back(ForwardHead{ m_unframed });
}

void
RelayFlow::On(const BytesArrived& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt) || m_step != Step::Running) {
    return;
  }
  if (m_handling == AnswerHandling::Stream) {
    if (std::string whole = m_events.Add(aEvent.m_bytes); !whole.empty()) {
      aActions.emplace_back(ForwardBytes{ std::move(whole) });
    }
    if (m_events.Unfinished() > kMaxEventBytes) {
      aActions.emplace_back(CancelAttempt{ m_attempt, true });
      HandleBrokenRun(aActions);
    }
  } else if (m_handling == AnswerHandling::PassThrough) {
    aActions.emplace_back(ForwardBytes{ aEvent.m_bytes });
  } else if (m_handling == AnswerHandling::Buffer) {
    m_bufferedBody += aEvent.m_bytes;
    if (m_bufferedBody.size() > kMaxBufferedBytes) {
      m_handling = AnswerHandling::PassThrough;
      ForwardHeadTo(aActions);
      aActions.emplace_back(ForwardBytes{ std::move(m_bufferedBody) });
    }
  } else {
    Drop(aEvent.m_bytes.size(), aActions);
  }
}

void
RelayFlow::Drop(std::size_t aBytes, Actions& aActions)
{
  m_droppedBytes += aBytes;
  if (m_droppedBytes > kMaxDroppedBytes) {
    aActions.emplace_back(CancelAttempt{ m_attempt, true });
    FinishAnswer(aActions);
  }
}

void
RelayFlow::On(const AnswerEnded& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  if (m_step == Step::Prefilling) {
    // The answer of the prefill engine has no handle, so its KV cache cannot be
    // used.
    FinishAttempt(AttemptEnd::Failed, aActions);
    RunWithoutPrefillEngine(aActions);
    return;
  }
  FinishAnswer(aActions);
}

bool
RelayFlow::IsBrokenByClose() const
{
  return m_step == Step::Running && m_handling == AnswerHandling::Stream &&
         (m_events.Events() == m_eventsBefore || m_events.IsInsideEvent());
}

void
RelayFlow::On(const ConnectionClosed& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  if (m_step == Step::Prefilling) {
    On(AnswerEnded{ aEvent.m_attempt }, aActions);
    return;
  }
  if (IsBrokenByClose()) {
    HandleBrokenRun(aActions);
    return;
  }
  const bool callerExpectsProof = m_forwarded && !m_forwardedUnframed;
  if (m_handling == AnswerHandling::Stream && callerExpectsProof) {
    ++m_runs;
    FinishAttempt(AttemptEnd::Served, aActions);
    Finish(aActions, AbortConnection{});
    return;
  }
  FinishAnswer(aActions);
}

void
RelayFlow::FinishAnswer(Actions& aActions)
{
  ++m_runs;
  const bool failed = m_handling == AnswerHandling::Repeat ||
                      m_handling == AnswerHandling::Discard;
  FinishAttempt(failed ? AttemptEnd::Failed : AttemptEnd::Served, aActions);
  switch (m_handling) {
    case AnswerHandling::Repeat:
      FindAnotherPlace(aActions);
      return;
    case AnswerHandling::Unknown:
    case AnswerHandling::Discard:
      GiveUp(kRetryAfter, aActions);
      return;
    case AnswerHandling::Stream:
      if (std::string rest = m_events.TakeRest(); !rest.empty()) {
        aActions.emplace_back(ForwardBytes{ std::move(rest) });
      }
      Finish(aActions, ForwardEnd{});
      return;
    case AnswerHandling::PassThrough:
      Finish(aActions, ForwardEnd{});
      return;
    case AnswerHandling::Buffer:
      Finish(aActions,
             ForwardCompleteAnswer{ std::move(m_bufferedBody), m_unframed });
      return;
  }
}

void
RelayFlow::On(const AttemptBroke& aEvent, Actions& aActions)
{
  if (!IsCurrent(aEvent.m_attempt)) {
    return;
  }
  if (m_step == Step::Prefilling) {
    FinishAttempt(AttemptEnd::Failed, aActions);
    RunBehindLostPrefill(aActions);
    return;
  }
  HandleBrokenRun(aActions);
}

void
RelayFlow::HandleBrokenRun(Actions& aActions)
{
  FinishAttempt(AttemptEnd::Failed, aActions);
  ++m_runs;
  m_events.TakeRest();
  const bool mayGoOn = !m_forwarded || m_handling == AnswerHandling::Stream;
  if (mayGoOn && MayRunAgain() && TakePermits(1)) {
    FindAnotherPlace(aActions);
    return;
  }
  if (mayGoOn && MayProbeSameUpstream() && TakePermits(1)) {
    m_probingSameUpstream = true;
    m_handle.clear();
    RunWithoutPrefillEngine(aActions);
    return;
  }
  GiveUp(kRetryAfter, aActions);
}

void
RelayFlow::On(const DeadlinePassed& aEvent, Actions& aActions)
{
  const bool running = m_step == Step::Running && aEvent.m_mayHaveLeft;
  if (m_step == Step::Running || m_step == Step::Prefilling) {
    aActions.emplace_back(CancelAttempt{ m_attempt });
    FinishAttempt(AttemptEnd::Abandoned, aActions);
  }
  if (m_forwarded) {
    Finish(aActions, AbortConnection{});
  } else if (running || m_runs > 0) {
    Finish(aActions, ReplyError{ ReplyError::Reason::TooLate, {} });
  } else {
    Finish(aActions, ReplyError{ ReplyError::Reason::NoRoom, kRetryAfter });
  }
}

void
RelayFlow::On(const CallerLeft&, Actions& aActions)
{
  if (m_step == Step::Running || m_step == Step::Prefilling) {
    aActions.emplace_back(CancelAttempt{ m_attempt });
    FinishAttempt(AttemptEnd::Abandoned, aActions);
  }
  // Without an answer, the upstream may not have taken the KV cache over from
  // the prefill engine, which would then hold it until the handle expires.
  const bool untaken =
    m_step == Step::Running && m_handling == AnswerHandling::Unknown;
  if (untaken && !m_handle.empty()) {
    aActions.emplace_back(FreeHandle{ m_prefillEngine, m_handle });
  }
  End();
}

void
RelayFlow::End()
{
  m_step = Step::Done;
  m_permits = 0;
}

void
RelayFlow::GiveUp(Duration aRetryAfter, Actions& aActions)
{
  if (m_forwarded) {
    Finish(aActions, AbortConnection{});
  } else if (m_runs > 0) {
    Finish(aActions, ReplyError{ ReplyError::Reason::NoAnswer, {} });
  } else {
    Finish(aActions, ReplyError{ ReplyError::Reason::NoRoom, aRetryAfter });
  }
}

void
RelayFlow::Finish(Actions& aActions, RelayAction aFinal)
{
  End();
  aActions.push_back(std::move(aFinal));
}

} // namespace ridgeferry::relay
