#include "Call.h"

#include <algorithm>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::daemon {

namespace {

constexpr int kOk = 200;
/** Bytes that a slow reader may leave unread before its stream is ended. */
constexpr std::size_t kMaxBacklog = std::size_t{ 4 } * 1024 * 1024;
constexpr Duration kStoreDownRetry{ 2000 };
constexpr Duration kClaimOpenRetry{ 5000 };

routing::CallTraits
TraitsOf(const CallRequest& aRequest)
{
  routing::CallTraits traits;
  traits.m_repeatable = aRequest.m_key.empty();
  if (const auto* call = std::get_if<GenerationCall>(&aRequest.m_what)) {
    traits.m_generation = true;
    traits.m_stream = call->m_stream;
    traits.m_resumeFrom = call->m_resume ? call->m_resume->m_offset : 0;
  }
  return traits;
}

} // namespace

Call::Call(CallContext& aContext,
           routing::CallId aId,
           CallRequest aRequest,
           std::shared_ptr<const routing::PoolSpec> aPool,
           std::shared_ptr<net::HttpExchange> aExchange)
  : m_context(aContext)
  , m_id(aId)
  , m_request(std::move(aRequest))
  , m_pool(std::move(aPool))
  , m_exchange(std::move(aExchange))
  , m_flow(TraitsOf(m_request))
  , m_arrived(aContext.m_node.Now())
  , m_deadline(m_arrived + m_request.m_deadline)
{
}

void
Call::Start()
{
  const std::weak_ptr<Call> weak = weak_from_this();
  m_exchange->SignalLeft().connect([weak] {
    if (const auto self = weak.lock()) {
      self->Handle(routing::CallerLeft{});
    }
  });
  m_deadlineTimer =
    m_context.m_node.m_loop->After(m_request.m_deadline, [weak] {
      if (const auto self = weak.lock()) {
        self->Handle(routing::DeadlinePassed{});
      }
    });
  const GenerationCall* generation = Generation();
  if (generation != nullptr && generation->m_resume) {
    const std::string address =
      m_context.m_addressOf(generation->m_resume->m_engine);
    if (!address.empty()) {
      Handle(routing::ResumeAsked{ *generation->m_resume, address });
      return;
    }
    // The engine is gone: generate again, and drop what the caller has.
  }
  Handle(routing::CallBegan{});
}

const GenerationCall*
Call::Generation() const
{
  return std::get_if<GenerationCall>(&m_request.m_what);
}

GenerationShape
Call::Shape() const
{
  const GenerationCall* call = Generation();
  return call == nullptr ? GenerationShape::Completion : call->m_shape;
}

Duration
Call::Left() const
{
  return std::max(Duration{ 1 }, m_deadline - m_context.m_node.Now());
}

void
Call::Handle(const routing::CallEvent& aEvent)
{
  const auto self = shared_from_this();
  const bool failed = std::holds_alternative<routing::AttemptBroke>(aEvent) ||
                      std::holds_alternative<routing::AttemptNotSent>(aEvent) ||
                      std::holds_alternative<routing::AttemptRefused>(aEvent);
  if (failed && !m_flow.IsDone()) {
    m_flow.SetRetryAllowed(m_context.m_takeRetry());
  }
  for (const routing::CallAction& action : m_flow.Handle(aEvent)) {
    std::visit([&](const auto& aItem) { Act(aItem); }, action);
  }
  if (m_flow.IsDone()) {
    m_deadlineTimer = {};
    m_context.m_finished(m_id);
  }
}

void
Call::Act(const routing::RequestClaim&)
{
  const std::weak_ptr<Call> weak = weak_from_this();
  m_claim =
    m_context.m_claims.Begin(m_request.m_organisation,
                             m_request.m_key,
                             m_request.m_fingerprint,
                             [weak](const claims::ClaimAction& aAction) {
                               const auto self = weak.lock();
                               if (!self || self->m_flow.IsDone()) {
                                 return false;
                               }
                               self->OnClaim(aAction);
                               return true;
                             });
}

void
Call::OnClaim(const claims::ClaimAction& aAction)
{
  const auto refuse = [&](routing::ProblemCode aCode,
                          Outcome aOutcome,
                          std::optional<Duration> aRetry,
                          std::string aDetail) {
    Handle(
      routing::ClaimRefused{ { aCode, aOutcome, aRetry, std::move(aDetail) } });
  };
  std::visit(
    Overloaded{
      [&](const claims::RunCall&) { Handle(routing::ClaimWon{}); },
      [&](const claims::ReplayAnswer& aReplay) {
        Handle(routing::ClaimReplayed{ aReplay.m_answer.m_status,
                                       aReplay.m_answer.m_contentType,
                                       aReplay.m_answer.m_body });
      },
      [&](const claims::OpenElsewhere&) {
        refuse(routing::ProblemCode::ClaimOpen,
               Outcome::MayHaveRun,
               kClaimOpenRetry,
               "an earlier attempt with this key runs or may have run; ask "
               "again with the same key for its answer");
      },
      [&](const claims::KeyReused&) {
        refuse(routing::ProblemCode::KeyReused,
               Outcome::NotRun,
               std::nullopt,
               "this key was used with another call; use a new key");
      },
      [&](const claims::StoreUnavailable&) {
        // Of earlier attempts with the key nothing is known, so "not run"
        // would be a guess.
        refuse(routing::ProblemCode::ClaimStoreDown,
               Outcome::MayHaveRun,
               kStoreDownRetry,
               "this attempt was not sent to any upstream; whether an earlier "
               "one with this key ran cannot be told now");
      },
      [&](const claims::ClaimSettled& aSettled) {
        Handle(routing::ClaimClosed{ aSettled.m_outcome });
      },
      [](const auto&) {} },
    aAction);
}

void
Call::Act(const routing::CloseClaim& aAction)
{
  claims::CallEnded ended;
  ended.m_outcome = aAction.m_outcome;
  ended.m_answer = {
    aAction.m_status, aAction.m_contentType, aAction.m_body, false
  };
  if (Generation() != nullptr && aAction.m_outcome == Outcome::Ran) {
    // A retry gets what a caller that does not stream would have got.
    ended.m_answer.m_contentType = "application/json";
    ended.m_answer.m_body =
      GenerationBody(Shape(),
                     m_request.m_requestId,
                     Generation()->m_model,
                     { aAction.m_body, "stop", m_flow.TokensGiven() });
  }
  // Not from inside the flow's own turn: the claim may answer at once.
  m_context.m_node.m_loop->Defer(
    [claim = m_claim, ended] { claim->Close(ended); });
}

void
Call::Act(const routing::RequestUpstream& aAction)
{
  routing::UpstreamRequest request;
  request.m_call = m_id;
  request.m_class = m_request.m_class;
  request.m_deadline = m_deadline;
  request.m_pool = m_pool;
  request.m_wantsDecodeEngine = aAction.m_wantsDecodeEngine;
  request.m_excluded = aAction.m_excluded;
  if (const GenerationCall* call = Generation()) {
    request.m_prefixHash = call->m_prefixHash;
  }
  m_context.m_requestUpstream(request, aAction.m_retry);
}

void
Call::OnDispatch(const routing::Dispatch& aDispatch)
{
  std::visit(Overloaded{ [&](const routing::Granted& aGranted) {
                          Handle(routing::UpstreamGranted{ aGranted.m_upstream,
                                                           aGranted.m_address,
                                                           aGranted.m_phase });
                        },
                         [&](const routing::Rejected& aRejected) {
                           Handle(routing::UpstreamDenied{
                             aRejected.m_code, aRejected.m_retryAfter });
                         } },
             aDispatch);
}

void
Call::Act(const routing::SendAttempt& aAction)
{
  ++m_attempts;
  m_upstream = aAction.m_upstream;
  m_address = aAction.m_address;
  m_stream.clear();
  std::visit(
    Overloaded{
      [&](const GenerationCall& aCall) { SendGeneration(aAction, aCall); },
      [&](const ServiceCall& aCall) { SendService(aAction, aCall); } },
    m_request.m_what);
}

void
Call::SendGeneration(const routing::SendAttempt& aAction,
                     const GenerationCall& aCall)
{
  upstream::GenerationRequest request;
  request.m_address = aAction.m_address;
  request.m_path = aCall.m_path;
  request.m_body = aCall.m_body;
  request.m_requestId = m_request.m_requestId;
  request.m_priority = static_cast<int>(m_request.m_class);
  request.m_prefillOnly = aAction.m_phase == routing::Phase::Prefill;
  request.m_kvHandle = aAction.m_kvHandle;
  request.m_givenTokens = aAction.m_givenTokens;
  request.m_givenText = aAction.m_givenText;
  request.m_seed = aCall.m_seed;
  request.m_timeout = Left();
  request.m_fresh = !m_request.m_key.empty();
  m_sent =
    m_context.m_engines.Generate(request, CallbacksFor(aAction.m_attempt));
}

void
Call::SendService(const routing::SendAttempt& aAction, const ServiceCall& aCall)
{
  upstream::ServiceRequest request;
  request.m_address = aAction.m_address;
  request.m_method = aCall.m_method;
  request.m_target = aCall.m_target;
  request.m_headers = aCall.m_headers;
  request.m_headers.Add("X-Request-Id", m_request.m_requestId);
  request.m_body = aCall.m_body;
  request.m_timeout = Left();
  request.m_fresh = !m_request.m_key.empty();
  const std::weak_ptr<Call> weak = weak_from_this();
  const routing::AttemptId attempt = aAction.m_attempt;
  upstream::ServiceCallbacks callbacks;
  callbacks.m_answered = [weak, attempt](const upstream::Answer& aAnswer) {
    if (const auto self = weak.lock()) {
      self->Handle(routing::AnswerArrived{ attempt,
                                           aAnswer.m_status,
                                           aAnswer.m_contentType,
                                           aAnswer.m_body,
                                           {},
                                           aAnswer.m_unframed });
    }
  };
  callbacks.m_failed = [weak, attempt](upstream::Failure aFailure) {
    if (const auto self = weak.lock()) {
      self->OnFailure(attempt, aFailure);
    }
  };
  callbacks.m_backsOff = BackOffSlot();
  m_sent = m_context.m_services.Call(request, callbacks);
}

void
Call::Act(const routing::ResumeAttempt& aAction)
{
  ++m_attempts;
  m_upstream = aAction.m_upstream;
  m_address = aAction.m_address;
  m_stream = aAction.m_stream;
  m_sent = m_context.m_engines.Resume(aAction.m_address,
                                      aAction.m_stream,
                                      aAction.m_offset,
                                      Left(),
                                      CallbacksFor(aAction.m_attempt));
}

upstream::GenerationCallbacks
Call::CallbacksFor(routing::AttemptId aAttempt)
{
  const std::weak_ptr<Call> weak = weak_from_this();
  const auto pass = [weak](const routing::CallEvent& aEvent) {
    if (const auto self = weak.lock()) {
      self->Handle(aEvent);
    }
  };
  upstream::GenerationCallbacks out;
  out.m_began = [weak, pass, aAttempt](const std::string& aStream) {
    if (const auto self = weak.lock()) {
      self->m_stream = aStream;
    }
    pass(routing::StreamBegan{ aAttempt, aStream });
  };
  out.m_token = [pass, aAttempt](std::uint64_t aOffset,
                                 const std::string& aText) {
    pass(routing::TokenArrived{ aAttempt, aOffset, aText });
  };
  out.m_ended = [pass, aAttempt](std::uint64_t aTokens,
                                 const std::string& aReason) {
    pass(routing::StreamEnded{ aAttempt, aTokens, aReason });
  };
  out.m_answered = [pass, aAttempt](const upstream::Answer& aAnswer) {
    pass(routing::AnswerArrived{ aAttempt,
                                 aAnswer.m_status,
                                 aAnswer.m_contentType,
                                 aAnswer.m_body,
                                 aAnswer.m_kvHandle,
                                 aAnswer.m_unframed });
  };
  out.m_backsOff = BackOffSlot();
  out.m_failed = [weak, aAttempt](upstream::Failure aFailure) {
    if (const auto self = weak.lock()) {
      self->OnFailure(aAttempt, aFailure);
    }
  };
  return out;
}

sigc::slot<void(Duration)>
Call::BackOffSlot()
{
  return [weak = weak_from_this(), upstream = m_upstream](Duration aFor) {
    if (const auto self = weak.lock()) {
      self->m_context.m_noteBackOff(upstream, aFor);
    }
  };
}

void
Call::OnFailure(routing::AttemptId aAttempt, upstream::Failure aFailure)
{
  switch (aFailure) {
    case upstream::Failure::NotSent:
      Handle(routing::AttemptNotSent{ aAttempt });
      return;
    case upstream::Failure::Refused:
      Handle(routing::AttemptRefused{ aAttempt });
      return;
    case upstream::Failure::Broken:
      Handle(routing::AttemptBroke{ aAttempt });
      return;
  }
}

void
Call::Act(const routing::CancelAttempt&)
{
  if (Generation() != nullptr) {
    m_context.m_engines.Cancel(m_sent, m_address, m_stream);
  } else {
    m_context.m_services.Cancel(m_sent);
  }
}

void
Call::Act(const routing::ReleaseUpstream& aAction)
{
  m_context.m_releaseUpstream(aAction.m_upstream, aAction.m_failed);
}

void
Call::Act(const routing::StartStream&)
{
  m_streaming = true;
  net::HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("Cache-Control", "no-store");
  headers.Add("X-Request-Id", m_request.m_requestId);
  m_exchange->StartStream(kOk, headers);
}

void
Call::Act(const routing::ReplyToken& aAction)
{
  if (!m_firstToken) {
    m_firstToken = m_context.m_node.Now() - m_arrived;
  }
  m_exchange->SendChunk(
    TokenEvent(Shape(), m_request.m_requestId, Generation()->m_model, aAction));
  if (m_exchange->Backlog() > kMaxBacklog) {
    const std::weak_ptr<Call> weak = weak_from_this();
    m_context.m_node.m_loop->Defer([weak] {
      if (const auto self = weak.lock()) {
        self->Handle(routing::DeadlinePassed{});
      }
    });
  }
}

void
Call::Act(const routing::EndStream& aAction)
{
  m_exchange->SendChunk(
    EndEvents(Shape(), m_request.m_requestId, Generation()->m_model, aAction));
  m_exchange->EndStream();
  Account("ran", kOk);
}

void
Call::Act(const routing::ReplyGeneration& aAction)
{
  net::HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  headers.Add("X-Request-Id", m_request.m_requestId);
  m_exchange->Reply(
    kOk,
    headers,
    GenerationBody(
      Shape(), m_request.m_requestId, Generation()->m_model, aAction));
  Account("ran", kOk);
}

void
Call::Act(const routing::ReplyAnswer& aAction)
{
  net::HttpHeaders headers;
  if (!aAction.m_contentType.empty()) {
    headers.Add("Content-Type", aAction.m_contentType);
  }
  headers.Add("X-Request-Id", m_request.m_requestId);
  if (aAction.m_replayed) {
    headers.Add("X-Ridgeferry-Replayed", "true");
  }
  if (aAction.m_unframed) {
    m_exchange->ReplyUnframed(aAction.m_status, headers, aAction.m_body);
  } else {
    m_exchange->Reply(aAction.m_status, headers, aAction.m_body);
  }
  Account("ran", aAction.m_status);
}

void
Call::Act(const routing::ReplyProblem& aAction)
{
  const routing::Problem& problem = aAction.m_problem;
  if (m_streaming) {
    m_exchange->SendChunk(ProblemEvent(problem, m_request.m_requestId));
    m_exchange->EndStream();
  } else {
    ReplyProblem(*m_exchange, problem, m_request.m_requestId);
  }
  Account(routing::ProblemCodeName(problem.m_code),
          routing::ProblemStatus(problem.m_code));
}

void
Call::Account(std::string_view aResult, int aStatus)
{
  const Duration took = m_context.m_node.Now() - m_arrived;
  const std::string_view className =
    declared::TrafficClassName(m_request.m_class);
  observe::Metrics& metrics = m_context.m_node.m_metrics;
  metrics.Count(observe::WithLabel("calls_total", "result", aResult));
  metrics.Observe(observe::WithLabel("call_seconds", "class", className),
                  std::chrono::duration<double>(took).count());
  if (m_firstToken) {
    metrics.Observe(
      observe::WithLabel("first_token_seconds", "class", className),
      std::chrono::duration<double>(*m_firstToken).count());
  }
  m_context.m_node.m_log->Write(
    observe::LogLevel::Info,
    "call-ended",
    { { "request", m_request.m_requestId },
      { "team", m_request.m_organisation },
      { "class", std::string(className) },
      { "route", m_request.m_route },
      { "declaredEvent", m_request.m_event },
      { "pool", m_pool->m_key },
      { "upstream", m_upstream },
      { "result", std::string(aResult) },
      { "status", static_cast<std::int64_t>(aStatus) },
      { "attempts", static_cast<std::int64_t>(m_attempts) },
      { "tokens", static_cast<std::int64_t>(m_flow.TokensGiven()) },
      { "ms", static_cast<std::int64_t>(took.count()) } });
}

} // namespace ridgeferry::daemon
