#include "RelayCall.h"

#include <algorithm>
#include <cmath>
#include <ridgeferry/entry/PassableHeaders.h>
#include <utility>

namespace ridgeferry::entry {

namespace {

/** HTTP status with which an upstream refuses a send that names another
 * upstream. */
constexpr int kMisdirected = 421;
constexpr int kOk = 200;
/** An upstream that has not accepted a connection within this time counts as
 * unreachable; a healthy one accepts within a few milliseconds. The targets for
 * the first byte of plain calls are about as long (100 ms and more), so another
 * upstream often can still meet them. */
constexpr Duration kConnectTimeout{ 120 };
/** Least time that a send is given for its answer, even if less is left until
 * the caller's deadline. */
constexpr Duration kLeastLeft{ 1 };
/** Longest idle time after which a connection is reused for a call that must
 * run at most once. Some upstreams drop connections that were idle for 300 ms
 * or more. If a send fails on such a connection, the sender cannot tell whether
 * the call ran. */
constexpr Duration kMaxIdleTime{ 250 };
/** Time reserved for a call's output after its first token. A call whose output
 * could not end before the deadline is not started. Outputs of present lengths
 * take 0.2 to 1 s. */
constexpr Duration kOutputTime{ 1000 };
/** The estimated prefill work of a prompt is reliable if it is at most 4/3
 * (`kSureParts` / `kParts`) of the work for the prompt's own tokens, which it
 * shares with no other prompt: then at most a quarter of it can be
 * cached on the engine without this instance knowing. */
constexpr std::int64_t kSureParts = 4;
constexpr std::int64_t kParts = 3;

relay::RelayTraits
TraitsOf(const RelayCallStart& aStart)
{
  const relay::Route& route = *aStart.m_route;
  // The instance that the caller reached counts a call that it passes on as one
  // run.
  const int maxRuns = aStart.m_forwarded ? 1 : route.m_maxRuns;
  return { route.m_repeat, route.m_stream, route.m_resumable, maxRuns };
}

} // namespace

RelayCall::RelayCall(EntryNode& aNode, RelayCallStart aStart)
  : m_node(aNode)
  , m_start(std::move(aStart))
  , m_flow(TraitsOf(m_start))
  , m_permits(*m_start.m_budget)
  , m_began(aNode.Now())
  , m_deadline(m_began + m_start.m_route->m_maxDuration)
  , m_backPressure(aNode.m_unread)
  , m_origin(m_start.m_origin)
{
  if (const auto& asked = m_start.m_head.m_deadline) {
    m_deadline = std::min(m_deadline, m_began + *asked);
  }
}

RelayCall::~RelayCall()
{
  if (m_attempt.m_http != 0) {
    m_node.m_http->Cancel(m_attempt.m_http);
  }
  EndLease();
  if (m_start.m_forwarded && m_start.m_forwarded->m_lease) {
    m_start.m_leases->Drop(m_start.m_forwarded->m_lease->m_id);
  }
  if (m_isAdmitted) {
    m_node.m_admission.NoteEnded(m_start.m_service);
  }
}

bool
RelayCall::MayBeRepeated() const
{
  const relay::Route& route = *m_start.m_route;
  return route.m_stream ? route.m_resumable
                        : route.m_repeat == relay::Repeat::Freely;
}

Duration
RelayCall::Left() const
{
  return std::max(kLeastLeft, m_deadline - m_node.Now());
}

Duration
RelayCall::TimeUntilAbandoned() const
{
  const Duration silence = m_start.m_route->m_abandonTimeout;
  const Duration spent = m_node.Now() - m_began;
  return silence == Duration::max() ? Left()
                                    : std::min(Left(), silence - spent);
}

Duration
RelayCall::LeftToFirstToken() const
{
  return std::min(Left() - kOutputTime, TimeUntilAbandoned());
}

void
RelayCall::Begin()
{
  m_start.m_exchange->SignalLeft().connect(
    [this] { Handle(relay::CallerLeft{}); });
  m_start.m_exchange->SignalRead().connect([this] {
    if (m_backPressure.IsPaused()) {
      FollowCaller();
    }
  });
  HoldLease();
  m_timer = m_node.m_loop->After(Left(), [this] { TakeDeadline(); });
  if (!m_start.m_forwarded) {
    // The instance that the caller reached counts it.
    m_start.m_budget->NoteFirstSend(m_began);
  }
  if (!m_start.m_reach->IsUnreachable(m_start.m_service)) {
    m_node.m_fleet.Limits().NoteCall(relay::Fleet::ShortHash(m_start.m_service),
                                     m_began);
  }
  if (m_start.m_head.m_prompt) {
    m_node.m_fleet.NotePrompt(
      m_start.m_service, *m_start.m_head.m_prompt, m_start.m_route->m_pause);
  }
  Handle(relay::CallBegan{});
}

bool
RelayCall::IsResumable() const
{
  return m_start.m_route->m_stream && m_start.m_route->m_resumable;
}

void
RelayCall::NoteStreamBegan()
{
  if (!IsResumable() || std::exchange(m_isOriginTold, true)) {
    return;
  }
  if (!m_origin) {
    m_origin = { m_attempt.m_service, m_attempt.m_softwareVersion };
  }
  // The instance that the caller reached makes it known.
  if (m_start.m_streamKey && !m_start.m_forwarded) {
    m_start.m_origins->NoteBegan(*m_start.m_streamKey, *m_origin);
  }
}

void
RelayCall::Handle(const relay::RelayEvent& aEvent)
{
  if (m_flow.IsDone()) {
    return;
  }
  if (const auto* notSent = std::get_if<relay::AttemptNotSent>(&aEvent)) {
    m_permits.NoteNotSent(notSent->m_attempt);
  }
  const int free = m_permits.Free(m_node.Now());
  m_flow.SetFreePermits(free > 0 && MayRepeat() ? free : 0);
  const bool left = std::holds_alternative<relay::CallerLeft>(aEvent);
  const std::vector<relay::RelayAction> actions = m_flow.Handle(aEvent);
  m_permits.Follow(m_flow.Permits());
  for (const relay::RelayAction& action : actions) {
    std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
  }
  if (left) {
    LogEnd("caller-left", 0);
  }
  // An action may have handled a further event, which ended the call. The
  // signal is still emitted only once.
  if (m_flow.IsDone() && !std::exchange(m_doneEmitted, true)) {
    m_timer = {};
    m_done.emit();
  }
}

std::int64_t
RelayCall::PromptTokens() const
{
  const auto& prompt = m_start.m_head.m_prompt;
  return prompt ? prompt->m_sharedTokens + prompt->m_ownTokens : 0;
}

void
RelayCall::NoteRepeat(relay::AttemptId aAttempt)
{
  m_permits.NoteRepeat(aAttempt, m_node.Now());
  m_node.m_metrics.Count("repeats_total");
}

void
RelayCall::Do(const relay::SendRun& aAction)
{
  if (IsInstance(aAction.m_upstream)) {
    if (aAction.m_repeat) {
      NoteRepeat(aAction.m_attempt);
    }
    SendToInstance(aAction);
    return;
  }
  // Much may have changed while another engine prefilled the prompt.
  const relay::Member* listed = m_node.m_fleet.Find(aAction.m_upstream);
  if (listed == nullptr || IsOfOtherVersion(*listed)) {
    // The upstream ended, or started again with other software.
    BeginAttempt(aAction.m_attempt, aAction.m_upstream);
    m_attempt.m_ground = relay::AttemptGround::NotListed;
    // A row that is missing does not show that its upstream has ended.
    Handle(relay::AttemptNotSent{ aAction.m_attempt, listed != nullptr });
    return;
  }
  const auto member = m_node.m_fleet.TargetFor(
    aAction.m_upstream, relay::RequestPurpose::Work, m_node.Now());
  if (!member) {
    Withhold(aAction.m_attempt, aAction.m_upstream, "it wants no new calls");
    return;
  }
  if (Hold() || !MayRunByKey()) {
    Withhold(
      aAction.m_attempt, aAction.m_upstream, "the call may not run any more");
    return;
  }
  if (aAction.m_repeat) {
    NoteRepeat(aAction.m_attempt);
  }
  SendTerms terms;
  terms.m_resumeAfter = aAction.m_resumeAfter;
  if (terms.m_resumeAfter.empty() && m_start.m_forwarded) {
    terms.m_resumeAfter = m_start.m_forwarded->m_resumeAfter;
  }
  if (!aAction.m_handle.empty()) {
    const relay::Member* reader = m_node.m_fleet.Find(aAction.m_prefillEngine);
    // Another version could not read what this one wrote.
    if (reader != nullptr &&
        reader->m_softwareVersion == (*member)->m_softwareVersion) {
      terms.m_prefillAddress = reader->m_address;
      terms.m_handle = aAction.m_handle;
    }
  }
  Send(aAction.m_attempt, *member, std::move(terms));
}

bool
RelayCall::IsOfOtherVersion(const relay::Member& aMember) const
{
  return m_origin && aMember.m_softwareVersion != m_origin->m_softwareVersion;
}

void
RelayCall::BeginAttempt(relay::AttemptId aId, const std::string& aUpstream)
{
  m_attempt = {};
  m_attempt.m_id = aId;
  m_attempt.m_upstream = aUpstream;
  m_attempt.m_sentAt = m_node.Now();
}

void
RelayCall::Withhold(relay::AttemptId aId,
                    const std::string& aUpstream,
                    std::string_view aCause)
{
  BeginAttempt(aId, aUpstream);
  m_node.m_metrics.Count("sends_withheld_total");
  m_node.m_log->Write(observe::LogLevel::Info,
                      "send-withheld",
                      { { "id", m_start.m_head.m_id },
                        { "attempt", static_cast<std::int64_t>(aId) },
                        { "upstream", aUpstream },
                        { "cause", std::string(aCause) } });
  Handle(relay::AttemptWithheld{ aId });
}

void
RelayCall::Send(relay::AttemptId aId,
                const relay::SendTarget& aTarget,
                SendTerms aTerms)
{
  const relay::Member& member = *aTarget;
  BeginAttempt(aId, member.m_id);
  m_attempt.m_born = member.m_born;
  m_attempt.m_service = m_start.m_service;
  m_attempt.m_softwareVersion = member.m_softwareVersion;
  m_attempt.m_readOnly = aTerms.m_readOnly;
  if (m_start.m_head.m_prompt && aTerms.m_handle.empty()) {
    const relay::Prompt& prompt = *m_start.m_head.m_prompt;
    const bool asPlaced = aTerms.m_readOnly && m_place.m_work > 0;
    m_attempt.m_tokens =
      asPlaced ? m_place.m_work
               : m_node.m_fleet.WorkAt(prompt, member.m_id, m_node.Now());
    const std::int64_t least = relay::Fleet::WorkOf(prompt, prompt.m_ownTokens);
    m_attempt.m_workIsSure = m_attempt.m_tokens <= least * kSureParts / kParts;
    m_node.m_fleet.NotePrefill(prompt, member.m_id, m_node.Now());
  }
  m_path += (m_path.empty() ? "" : ",") + member.m_id;
  aTerms.m_address = member.m_address;
  aTerms.m_upstream = member.m_id;
  aTerms.m_left = Left();
  aTerms.m_urgency = Urgency();
  aTerms.m_hidesCredentials = m_start.m_hidesCredentials;
  if (m_start.m_organisation != nullptr) {
    aTerms.m_organisation = m_start.m_organisation->m_name;
  }
  net::HttpRequest request =
    m_node.m_dialect.m_writeSend(m_start.m_exchange->Request(), aTerms);
  request.m_timeout = aTerms.m_left;
  request.m_connectTimeout = kConnectTimeout;
  request.m_keepIdle = m_start.m_connections.m_idle;
  if (m_start.m_route->m_repeat == relay::Repeat::Never) {
    request.m_longestRest = kMaxIdleTime;
  }
  m_attempt.m_tokensAhead = m_node.m_fleet.TokensAt(member.m_id);
  m_node.m_log->Write(observe::LogLevel::Info,
                      "attempt-sent",
                      { { "id", m_start.m_head.m_id },
                        { "attempt", static_cast<std::int64_t>(aId) },
                        { "upstream", member.m_id },
                        { "softwareVersion", member.m_softwareVersion },
                        { "resumeAfter", aTerms.m_resumeAfter },
                        { "readOnly", aTerms.m_readOnly },
                        { "handle", aTerms.m_handle },
                        { "tokens", m_attempt.m_tokens },
                        { "tokensAhead", m_attempt.m_tokensAhead },
                        { "leftMs", Left().count() } });
  if (!m_attempt.m_readOnly) {
    LogSecondSend();
  }
  UsePermit(member.m_id);
  // On the connection of an earlier attempt of this call a late answer to that
  // one would name the call as well.
  const bool wasSentThere =
    std::find(m_sentTo.begin(), m_sentTo.end(), member.m_address) !=
    m_sentTo.end();
  m_sentTo.push_back(member.m_address);
  request.m_fresh = wasSentThere || m_node.m_fleet.NeedsOwnConnection(
                                      member.m_id, m_node.Now());
  m_node.m_fleet.NoteSent(member.m_id, m_attempt.m_tokens, m_node.Now());
  m_attempt.m_wasSent = true;
  Start(request);
}

void
RelayCall::Start(const net::HttpRequest& aRequest)
{
  m_node.m_metrics.Count("sends_total");
  net::HttpCallbacks callbacks;
  const relay::AttemptId id = m_attempt.m_id;
  callbacks.m_head = [this, id](const net::HttpHead& aHead) {
    if (IsPresent(id)) {
      TakeHead(aHead);
    }
  };
  callbacks.m_chunk = [this, id](std::string_view aBytes) {
    if (IsPresent(id)) {
      TakeBytes(aBytes);
    }
  };
  callbacks.m_done = [this, id](const net::HttpResponse& aResponse) {
    if (IsPresent(id)) {
      TakeEnd(aResponse);
    }
  };
  callbacks.m_skipped = [this](std::string_view aCall,
                               const net::HttpHead& aHead) {
    NoteSkipped(aCall, aHead);
  };
  m_attempt.m_http = m_node.m_http->Send(aRequest, std::move(callbacks));
  if (m_backPressure.IsPaused()) {
    m_node.m_http->SetReading(m_attempt.m_http, false);
  }
}

void
RelayCall::NoteFirstToken()
{
  if (m_expectedMs > 0) {
    m_node.m_fleet.NoteFirstToken(m_start.m_service,
                                  *m_start.m_head.m_prompt,
                                  std::exchange(m_expectedMs, 0),
                                  m_node.Now() - m_placedAt,
                                  m_node.Now());
  }
}

void
RelayCall::NoteResponse()
{
  if (m_node.m_fleet.NoteResponse(m_attempt.m_upstream, m_attempt.m_sentAt)) {
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "upstream-answers-again",
      { { "upstream", m_attempt.m_upstream }, { "id", m_start.m_head.m_id } });
  }
}

void
RelayCall::TakeHead(const net::HttpHead& aHead)
{
  if (m_attempt.m_isForwarded) {
    TakeForwardedHead(aHead);
    return;
  }
  NoteResponse();
  m_node.m_metrics.Count(observe::WithLabel(
    "upstream_answers_total", "framing", NameOf(aHead.m_framing)));
  m_start.m_statements->Take({ { m_attempt.m_upstream, m_attempt.m_born },
                               AnswerProof::ByName,
                               m_start.m_head.m_id },
                             aHead);
  m_start.m_quarantine->NoteAnswered(m_attempt.m_upstream, m_attempt.m_sentAt);
  m_attempt.m_ground =
    GroundOf(m_node.m_dialect.m_readNotRunWord(aHead, m_attempt.m_upstream));
  m_attempt.m_saidNotRun = relay::ShowsNotRun(m_attempt.m_ground);
  const bool read = aHead.m_status == kOk && !m_attempt.m_saidNotRun;
  if (m_attempt.m_tokens > 0 && read) {
    m_node.m_fleet.NoteThroughput(
      { m_attempt.m_upstream,
        m_attempt.m_tokensAhead + m_attempt.m_tokens,
        m_node.Now() - m_attempt.m_sentAt,
        m_attempt.m_tokensAhead == 0 && m_attempt.m_workIsSure,
        m_attempt.m_sentAt });
  }
  if (!m_attempt.m_readOnly && read) {
    NoteFirstToken();
  }
  m_node.m_fleet.NoteFirstByte(m_attempt.m_upstream, m_attempt.m_tokens);
  m_attempt.m_tokens = 0;
  m_attempt.m_hasHead = true;
  m_attempt.m_head = aHead;
  m_prefillAnswer.clear();
  if (!m_attempt.m_saidNotRun) {
    m_node.m_fleet.NoteAccepted(m_attempt.m_upstream, m_node.Now());
  }
  if (!m_attempt.m_saidNotRun && !m_attempt.m_readOnly) {
    NoteBegan();
    Handle(relay::HeadArrived{
      m_attempt.m_id, aHead.m_status, false, IsUnframed(aHead) });
  }
}

void
RelayCall::NotePause()
{
  const Duration most = m_start.m_route->m_pause;
  if (!m_start.m_head.m_prompt || m_attempt.m_readOnly ||
      m_attempt.m_isForwarded || most.count() == 0) {
    return;
  }
  const Instant now = m_node.Now();
  const auto last = std::exchange(m_attempt.m_lastBytes, now);
  if (last && now - *last > most && !std::exchange(m_hadLongPause, true)) {
    m_node.m_fleet.NoteStream(m_start.m_service, true);
  }
}

void
RelayCall::TakeBytes(std::string_view aBytes)
{
  NoteResponse();
  NotePause();
  if (m_attempt.m_saidNotRun) {
    TakeRefusalBytes(aBytes);
  } else if (m_attempt.m_readOnly) {
    TakePrefillBytes(aBytes);
  } else {
    Handle(relay::BytesArrived{ m_attempt.m_id, std::string(aBytes) });
  }
}

void
RelayCall::TakeRefusalBytes(std::string_view aBytes)
{
  m_attempt.m_droppedBytes += aBytes.size();
  if (m_attempt.m_droppedBytes > relay::RelayFlow::kMaxDroppedBytes) {
    Do(relay::CancelAttempt{ m_attempt.m_id, true });
    NoteRefused();
  }
}

void
RelayCall::NoteRefused()
{
  const bool displaced = m_attempt.m_head.m_status == kMisdirected;
  Handle(
    relay::AttemptRefused{ m_attempt.m_id, displaced, RoomBehindBackOffs() });
}

void
RelayCall::NoteReach(const net::HttpResponse& aResponse)
{
  if (aResponse.m_silent || aResponse.m_end == net::HttpEnd::NotSent) {
    m_node.m_fleet.NoteUnreachable(m_attempt.m_upstream, m_node.Now());
    LogEjection("upstream cannot be reached");
  }
}

bool
RelayCall::HasBroken(const net::HttpResponse& aResponse) const
{
  const bool closed = aResponse.m_end == net::HttpEnd::Closed;
  return aResponse.m_end == net::HttpEnd::Broken ||
         (closed && !m_attempt.m_saidNotRun && m_flow.IsBrokenByClose());
}

void
RelayCall::TakeEnd(const net::HttpResponse& aResponse)
{
  m_attempt.m_http = 0;
  m_attempt.m_sent = aResponse.m_sent;
  m_attempt.m_hasGoneSilent = aResponse.m_silent;
  if (aResponse.m_end == net::HttpEnd::NotSent) {
    m_attempt.m_ground = aResponse.m_refused
                           ? relay::AttemptGround::Refused
                           : relay::AttemptGround::NotConnected;
  } else if (!m_attempt.m_hasHead) {
    m_attempt.m_ground = relay::AttemptGround::NoAnswer;
  }
  m_unfinishedBytes = m_flow.UnfinishedBytes();
  if (aResponse.m_tooLong) {
    NoteTooLong();
  }
  if (aResponse.m_end != net::HttpEnd::NotSent) {
    m_hasBrokenSilently = aResponse.m_silent;
  }
  if (!m_attempt.m_isForwarded) {
    NoteConnection(aResponse);
    NoteReach(aResponse);
    m_unsentInRow =
      aResponse.m_end == net::HttpEnd::NotSent ? m_unsentInRow + 1 : 0;
  }
  const relay::AttemptId id = m_attempt.m_id;
  const bool closed = aResponse.m_end == net::HttpEnd::Closed;
  const Duration mayRunFor = EndLease();
  if (aResponse.m_end == net::HttpEnd::NotSent) {
    const bool hasEnded = aResponse.m_refused || m_hasBrokenSilently;
    Handle(relay::AttemptNotSent{ id, !m_attempt.m_isForwarded && hasEnded });
  } else if (m_attempt.m_hasHead && m_attempt.m_saidNotRun) {
    NoteRefused();
  } else if (aResponse.m_end == net::HttpEnd::Broken && aResponse.m_silent &&
             mayRunFor.count() > 0) {
    GoOnBehindLease(mayRunFor);
  } else if (aResponse.m_end == net::HttpEnd::Broken) {
    TakeBreak();
  } else if (m_attempt.m_readOnly) {
    TakePrefillEnd(id);
  } else if (closed) {
    Handle(relay::ConnectionClosed{ id });
  } else {
    Handle(relay::AnswerEnded{ id });
  }
}

void
RelayCall::TakeDeadline()
{
  if (HasRunForPrefill()) {
    Do(relay::CancelAttempt{ m_attempt.m_id });
    TakeBreak();
  }
  const net::HttpCallId sent = m_attempt.m_http;
  Handle(
    relay::DeadlinePassed{ sent == 0 || m_node.m_http->MayHaveLeft(sent) });
}

void
RelayCall::TakeBreak()
{
  if (HasRunForPrefill()) {
    m_attempt.m_ground = relay::AttemptGround::RanForPrefill;
    Handle(relay::PrefillRan{ m_attempt.m_id });
  } else {
    Handle(relay::AttemptBroke{ m_attempt.m_id });
  }
}

void
RelayCall::Do(const relay::CancelAttempt& aAction)
{
  if (aAction.m_tooLong) {
    NoteTooLong();
  }
  if (m_attempt.m_http != 0) {
    m_node.m_http->Cancel(m_attempt.m_http);
    m_attempt.m_http = 0;
  }
  EndLease();
}

void
RelayCall::Do(const relay::NoteAttemptEnd& aAction)
{
  if (aAction.m_end != relay::AttemptEnd::Served) {
    LogAttemptEnd(aAction.m_end);
  }
  if (m_attempt.m_readOnly) {
    m_prefillGround = m_attempt.m_ground;
  } else {
    m_lastRun = { m_attempt.m_upstream,      m_attempt.m_ground,
                  m_attempt.m_head.m_status, m_attempt.m_sent,
                  m_attempt.m_sentAt,        m_node.Now() };
  }
  if (aAction.m_end == relay::AttemptEnd::Served && m_attempt.m_lastBytes &&
      !m_hadLongPause) {
    m_node.m_fleet.NoteStream(m_start.m_service, false);
  }
  if (aAction.m_end == relay::AttemptEnd::Served) {
    NoteServed();
  }
  const Duration waited = m_node.Now() - m_placedAt;
  const bool late = static_cast<double>(waited.count()) > m_expectedMs;
  if (aAction.m_end == relay::AttemptEnd::Abandoned && late) {
    // The first token would have come later still, so the time until now is a
    // lower bound that already shows the estimate to be too low.
    NoteFirstToken();
  }
  if (!m_attempt.m_wasSent) {
    return;
  }
  NoteAdmissionAnswer(aAction.m_end);
  const bool isEjected =
    m_node.m_fleet.NoteEnded(m_attempt.m_upstream,
                             m_attempt.m_tokens,
                             aAction.m_end,
                             m_node.Now() - m_attempt.m_sentAt,
                             m_node.Now());
  if (isEjected) {
    LogEjection(EndName(aAction.m_end));
  }
  m_attempt.m_tokens = 0;
}

} // namespace ridgeferry::entry
