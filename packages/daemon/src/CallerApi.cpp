#include "CallerApi.h"

#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::daemon {

namespace {

constexpr Duration kPumpTick{ 20 };
constexpr Duration kStoppingRetry{ 1000 };
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
/** Rough costs of a token, in engine-seconds: only their ratio matters. */
constexpr double kPrefillSecondsPerToken = 0.0001;
constexpr double kDecodeSecondsPerToken = 0.002;

} // namespace

CallerApi::CallerApi(Node& aNode,
                     ConfigService& aConfig,
                     const membership::Roster& aRoster,
                     routing::UpstreamSet& aUpstreams,
                     PlannerService& aPlanner,
                     ClaimService& aClaims,
                     upstream::EngineClient& aEngines)
  : m_node(aNode)
  , m_config(aConfig)
  , m_roster(aRoster)
  , m_upstreams(aUpstreams)
  , m_planner(aPlanner)
  , m_services(*aNode.m_http)
  , m_context{ aNode, aClaims, aEngines, m_services, {}, {}, {}, {}, {}, {} }
  , m_dispatcher(aUpstreams, routing::BoundedAffinity{})
{
  m_context.m_requestUpstream = [this](routing::UpstreamRequest aRequest,
                                       int aRetry) {
    Schedule(std::move(aRequest), aRetry);
  };
  m_context.m_releaseUpstream = [this](const std::string& aUpstream,
                                       bool aFailed) {
    m_dispatcher.Ended(aUpstream, aFailed, m_node.Now());
    PlanPump();
  };
  m_context.m_noteBackOff = [this](const std::string& aUpstream,
                                   Duration aFor) {
    if (!m_upstreams.NoteBackOff(aUpstream, aFor, m_node.Now())) {
      return;
    }
    m_node.m_metrics.Count("upstream_back_offs_total");
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "upstream-backs-off",
      { { "upstream", aUpstream }, { "forMs", aFor.count() } });
  };
  m_context.m_addressOf = [this](const std::string& aUpstream) {
    return AddressOf(aUpstream);
  };
  m_context.m_takeRetry = [this] { return m_retries.TakeRetry(); };
  m_context.m_finished = [this](routing::CallId aCall) { Finished(aCall); };
  m_config.SignalApplied().connect([this] {
    m_pools.clear();
    m_upstreams.DiscardPools();
    PlanPump();
  });
}

tl::expected<void, net::NetError>
CallerApi::Start()
{
  net::HttpServerLimits limits;
  limits.m_maxBodyBytes = m_node.m_settings.m_maxBodyBytes;
  auto server = net::HttpServer::Listen(
    *m_node.m_loop,
    m_node.m_settings.m_listen.m_callers,
    limits,
    [this](const std::shared_ptr<net::HttpExchange>& aExchange) {
      OnExchange(aExchange);
    });
  if (!server) {
    return tl::unexpected(server.error());
  }
  m_server = std::move(*server);
  m_timer = m_node.m_loop->Every(kPumpTick, [this] { Pump(); });
  return {};
}

void
CallerApi::OnExchange(const std::shared_ptr<net::HttpExchange>& aExchange)
{
  const std::string& path = aExchange->Path();
  if (path == "/healthz") {
    ReplyJson(*aExchange, kOk, R"({"alive":true})");
    return;
  }
  if (path == "/readyz") {
    const bool ready = m_ready && !m_draining;
    ReplyJson(*aExchange,
              ready ? kOk : kUnavailable,
              ready ? R"({"ready":true})" : R"({"ready":false})");
    return;
  }
  Accept(aExchange);
}

void
CallerApi::Accept(const std::shared_ptr<net::HttpExchange>& aExchange)
{
  std::string requestId(aExchange->Headers().Find("X-Request-Id").value_or(""));
  if (requestId.empty()) {
    requestId = m_node.NewId();
  }
  if (m_draining || !m_ready) {
    const auto code = m_draining ? routing::ProblemCode::Stopping
                                 : routing::ProblemCode::NotReady;
    ReplyProblem(
      *aExchange,
      { code, Outcome::NotRun, kStoppingRetry, "ask another instance" },
      requestId);
    return;
  }
  auto request = ReadCallRequest(
    *aExchange, m_config.Catalog(), requestId, net::EventLoop::WallNow());
  if (!request) {
    m_node.m_metrics.Count(observe::WithLabel(
      "calls_total",
      "result",
      routing::ProblemCodeName(request.error().m_problem.m_code)));
    if (request.error().m_faults.empty()) {
      ReplyProblem(*aExchange, request.error().m_problem, requestId);
    } else {
      ReplyFaults(*aExchange, request.error().m_faults, requestId);
    }
    return;
  }
  NoteDemand(*request);
  if (!Admit(*aExchange, *request)) {
    return;
  }
  m_retries.NoteCall();
  const auto pool = PoolFor(request->m_pool);
  const routing::CallId id = ++m_lastCall;
  const auto call =
    std::make_shared<Call>(m_context, id, std::move(*request), pool, aExchange);
  m_calls.emplace(id, call);
  m_node.m_metrics.Set("calls_running", static_cast<double>(m_calls.size()));
  call->Start();
}

bool
CallerApi::Admit(net::HttpExchange& aExchange, const CallRequest& aRequest)
{
  const declared::Organisation* organisation =
    m_config.Catalog().FindOrganisation(aRequest.m_organisation);
  const auto wait =
    m_limiter.Take(*organisation, m_roster.LiveCount(), m_node.Now());
  if (!wait) {
    return true;
  }
  m_node.m_metrics.Count(
    observe::WithLabel("calls_total", "result", "team-limit"));
  ReplyProblem(aExchange,
               { routing::ProblemCode::OrganisationLimit,
                 Outcome::NotRun,
                 *wait,
                 "the limit declared for team " + aRequest.m_organisation +
                   " is used up" },
               aRequest.m_requestId);
  return false;
}

void
CallerApi::NoteDemand(const CallRequest& aRequest)
{
  const auto* call = std::get_if<GenerationCall>(&aRequest.m_what);
  if (call == nullptr || call->m_resume) {
    return;
  }
  m_planner.NoteDemand(
    call->m_deployment,
    static_cast<double>(call->m_promptTokens) * kPrefillSecondsPerToken,
    static_cast<double>(call->m_maxTokens) * kDecodeSecondsPerToken);
}

std::shared_ptr<const routing::PoolSpec>
CallerApi::PoolFor(const routing::PoolSpec& aSpec)
{
  const auto it = m_pools.find(aSpec.m_key);
  if (it != m_pools.end()) {
    return it->second;
  }
  auto pool = std::make_shared<const routing::PoolSpec>(aSpec);
  m_pools.emplace(aSpec.m_key, pool);
  return pool;
}

std::string
CallerApi::AddressOf(const std::string& aUpstream) const
{
  const auto index = m_upstreams.Find(aUpstream);
  return index ? m_upstreams.At(*index).m_listed.m_address : std::string();
}

void
CallerApi::Schedule(routing::UpstreamRequest aRequest, int aRetry)
{
  if (aRetry == 0) {
    Enqueue(std::move(aRequest));
    return;
  }
  m_node.m_metrics.Count("retries_total");
  const Duration wait =
    routing::RetryBudget::Backoff(aRetry, m_node.m_random());
  // The watch lives in its own callback: it is dropped after it has fired.
  auto watch = std::make_shared<net::Watch>();
  *watch = m_node.m_loop->After(
    wait, [this, watch, request = std::move(aRequest)]() mutable {
      Enqueue(std::move(request));
      m_node.m_loop->Defer([watch] { *watch = {}; });
    });
}

void
CallerApi::Enqueue(routing::UpstreamRequest aRequest)
{
  const auto call = m_calls.find(aRequest.m_call);
  if (call == m_calls.end()) {
    return;
  }
  const auto rejected = m_dispatcher.Offer(std::move(aRequest), m_node.Now());
  if (rejected) {
    // Not inside the flow's own turn.
    m_node.m_loop->Defer(
      [call = call->second, rejected] { call->OnDispatch(*rejected); });
    return;
  }
  PlanPump();
}

void
CallerApi::PlanPump()
{
  if (m_pumpPlanned) {
    return;
  }
  m_pumpPlanned = true;
  m_node.m_loop->Defer([this] {
    m_pumpPlanned = false;
    Pump();
  });
}

void
CallerApi::Pump()
{
  const std::vector<routing::Dispatch> dispatches = m_dispatcher.Pump(
    m_node.Now(), m_roster.LiveCount(), [this] { return m_node.m_random(); });
  for (const routing::Dispatch& dispatch : dispatches) {
    Deliver(dispatch);
  }
  m_node.m_metrics.Set("calls_queued",
                       static_cast<double>(m_dispatcher.Queued()));
}

void
CallerApi::Deliver(const routing::Dispatch& aDispatch)
{
  const routing::CallId id =
    std::visit([](const auto& aItem) { return aItem.m_call; }, aDispatch);
  const auto it = m_calls.find(id);
  if (it != m_calls.end()) {
    const std::shared_ptr<Call> call = it->second;
    call->OnDispatch(aDispatch);
    return;
  }
  if (const auto* granted = std::get_if<routing::Granted>(&aDispatch)) {
    m_dispatcher.Ended(granted->m_upstream, false, m_node.Now());
  }
}

void
CallerApi::Finished(routing::CallId aCall)
{
  const auto it = m_calls.find(aCall);
  if (it == m_calls.end()) {
    return;
  }
  m_dispatcher.Withdraw(aCall);
  m_limiter.Release(it->second->Request().m_organisation);
  m_calls.erase(it);
  m_node.m_metrics.Set("calls_running", static_cast<double>(m_calls.size()));
}

} // namespace ridgeferry::daemon
