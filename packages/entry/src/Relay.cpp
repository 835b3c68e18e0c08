#include "Relay.h"

#include "OwnAnswer.h"

#include <algorithm>
#include <set>

namespace ridgeferry::entry {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/** Retry-After of the 503 answers that this instance gives while it starts or
 * stops. A starting instance has its routes in well under 250 ms, and callers
 * open no new connections to a stopping one. */
constexpr Duration kOtherRetryAfter{ 250 };
/** Share of the operators' retry limits that the instances use. Each instance
 * counts retries in time windows of its own. The window that the operators
 * measure may begin in the middle of such a window, and can then contain the
 * retries of two of them. */
constexpr double kBudgetShare = 0.5;
/** Upper bound of one instance's share of the retry floor, in retries per
 * window (see `RetryBounds::m_floor`). An instance that has just started
 * does not know yet how many instances share the floor. */
constexpr double kMostFloor = 2;

} // namespace

Relay::Relay(EntryNode& aNode,
             QuarantineService& aQuarantine,
             const ConfigFreshness& aFreshness,
             UsageService& aUsage,
             ReachService& aReach,
             const Peers& aPeers)
  : m_node(aNode)
  , m_quarantine(aQuarantine)
  , m_freshness(aFreshness)
  , m_usage(aUsage)
  , m_reach(aReach)
  , m_peers(aPeers)
{
}

tl::expected<void, net::NetError>
Relay::Start()
{
  auto server = net::HttpServer::Listen(
    *m_node.m_loop,
    m_node.m_settings.m_callers,
    {},
    [this](const std::shared_ptr<net::HttpExchange>& aExchange) {
      HandleRequest(aExchange, std::nullopt);
    });
  if (!server) {
    return tl::unexpected(server.error());
  }
  m_server = std::move(*server);
  return {};
}

void
Relay::UseLimits()
{
  const relay::CallerLimits& limits = m_node.m_routes->Config().m_limits;
  net::HttpServerLimits out;
  out.m_maxHeaderBytes = limits.m_headBytes;
  out.m_maxBodyBytes = limits.m_bodyBytes;
  out.m_headTimeout = limits.m_headTimeout;
  out.m_idleTimeout = limits.m_idleTimeout;
  m_server->SetLimits(out);
  // Callers of a changed route may have another time limit.
  m_timeLimits.clear();
  ForgetOldRoutes();
}

void
Relay::ForgetOldRoutes()
{
  std::set<std::string_view> known;
  for (const relay::Route& route : m_node.m_routes->Config().m_routes) {
    known.insert(route.m_name);
  }
  std::erase_if(
    m_kinds, [&](const auto& aEntry) { return !known.contains(aEntry.first); });
}

std::shared_ptr<relay::CallKind>
Relay::KindOf(const std::string& aRoute,
              const std::optional<relay::Prompt>& aPrompt)
{
  if (!aPrompt) {
    return nullptr;
  }
  std::shared_ptr<relay::CallKind>& kind = m_kinds[aRoute];
  if (kind == nullptr) {
    kind = std::make_shared<relay::CallKind>();
  }
  kind->m_typical.Note(*aPrompt);
  return kind;
}

void
Relay::BeginStop()
{
  m_server->StopKeeping();
}

void
Relay::CloseResting()
{
  m_server->CloseResting();
}

relay::RetryBudget&
Relay::BudgetOf(const std::string& aService)
{
  const RetryBounds& bounds = m_node.m_settings.m_retries;
  const auto instances = static_cast<double>(m_node.m_instances);
  relay::BudgetTerms terms;
  terms.m_ratio = bounds.m_ratio * kBudgetShare;
  terms.m_floor =
    std::min(kMostFloor, bounds.m_floor * kBudgetShare / instances);
  terms.m_window = bounds.m_window;
  const auto found =
    m_budgets.try_emplace(aService, relay::RetryBudget(terms)).first;
  found->second.SetTerms(terms);
  return found->second;
}

relay::ConnectionShare
Relay::ConnectionsOf(const std::string& aService) const
{
  const relay::Service* service = m_node.m_routes->FindService(aService);
  // A route may name a service that the configuration does not describe. Each
  // instance then opens one connection to each upstream of the service.
  const std::int64_t most = service == nullptr ? 1 : service->m_maxConnections;
  return relay::ShareConnections(most, m_node.m_instances);
}

double
Relay::MovedTokensPerMs(const std::string& aService) const
{
  const relay::Service* service = m_node.m_routes->FindService(aService);
  if (service == nullptr || !service->m_engine ||
      service->m_engine->m_bytesPerToken == 0) {
    return 0;
  }
  const relay::EngineTraits& engine = *service->m_engine;
  return engine.m_transferBytesPerMs / engine.m_bytesPerToken;
}

void
Relay::HandleForwarded(const std::shared_ptr<net::HttpExchange>& aExchange,
                       const ForwardedTerms& aTerms)
{
  m_node.m_metrics.Count("calls_taken_over_total");
  HandleRequest(aExchange, aTerms);
}

Duration
Relay::EarlierWait(const CallHead& aHead,
                   const relay::Route& aRoute,
                   const std::optional<ForwardedTerms>& aForwarded)
{
  if (aForwarded) {
    return aForwarded->m_waited;
  }
  return aHead.m_deadline ? m_timeLimits[aRoute.m_name].Note(*aHead.m_deadline)
                          : Duration{};
}

void
Relay::HandleRequest(const std::shared_ptr<net::HttpExchange>& aExchange,
                     const std::optional<ForwardedTerms>& aForwarded)
{
  CallHead head = m_node.m_dialect.m_readCall(aExchange->Request());
  if (aForwarded) {
    head.m_deadline = aForwarded->m_left;
    head.m_isForwarded = true;
  }
  if (!m_node.m_stop.AcceptsCalls(m_node.Now())) {
    Refuse(*aExchange, head, kUnavailable, "stopping");
    return;
  }
  if (m_node.m_routes == nullptr) {
    Refuse(*aExchange, head, kUnavailable, "no-configuration-yet");
    return;
  }
  const relay::Route* route = m_node.m_routes->Find(head.m_host, head.m_path);
  if (route == nullptr) {
    Refuse(*aExchange, head, kNotFound, "no-route");
    return;
  }
  const keys::KeyVerdict verdict =
    m_freshness.CheckKey(head.m_key, route->m_isPublic);
  const auto* accepted = std::get_if<keys::KeyAccepted>(&verdict);
  if (accepted == nullptr) {
    RefuseKey(*aExchange, head, verdict);
    return;
  }
  const bool usesKeys = !m_node.m_routes->Organisations().IsEmpty();
  std::uniform_real_distribution<double> unit(0, 1);
  const std::string& service =
    relay::RouteTable::Draw(*route, unit(m_node.m_random));
  const Duration earlierWait = EarlierWait(head, *route, aForwarded);
  auto kind = KindOf(route->m_name, head.m_prompt);
  const std::uint64_t id = ++m_lastCall;
  auto call =
    std::make_unique<RelayCall>(m_node,
                                RelayCallStart{ aExchange,
                                                std::move(head),
                                                m_node.m_routes,
                                                route,
                                                service,
                                                std::move(kind),
                                                earlierWait,
                                                MovedTokensPerMs(service),
                                                ConnectionsOf(service),
                                                &BudgetOf(service),
                                                &m_quarantine,
                                                &m_freshness,
                                                &m_usage,
                                                accepted->m_organisation,
                                                usesKeys,
                                                usesKeys && !route->m_isPublic,
                                                &m_reach,
                                                &m_peers,
                                                aForwarded });
  RelayCall& started = *call;
  m_calls.emplace(id, std::move(call));
  m_node.m_runningCalls = m_calls.size();
  started.SignalDone().connect([this, id] {
    // Deferred, since functions of the call are still on the stack.
    m_node.m_loop->Defer([this, id] { Remove(id); });
  });
  started.Begin();
}

void
Relay::Remove(std::uint64_t aCall)
{
  m_calls.erase(aCall);
  m_node.m_runningCalls = m_calls.size();
}

void
Relay::Refuse(net::HttpExchange& aExchange,
              const CallHead& aHead,
              int aStatus,
              std::string_view aCode)
{
  m_node.m_metrics.Count(observe::WithLabel("calls_total", "outcome", aCode));
  m_node.m_log->Write(observe::LogLevel::Info,
                      "call-refused",
                      { { "id", aHead.m_id },
                        { "outcome", std::string(aCode) },
                        { "status", std::int64_t{ aStatus } },
                        { "host", aHead.m_host },
                        { "path", aHead.m_path } });
  const bool helpsLater = aStatus == kUnavailable;
  SendOwnAnswer(aExchange,
                { aStatus,
                  aCode,
                  "not-run",
                  helpsLater ? kOtherRetryAfter : Duration{},
                  helpsLater && aHead.m_isForwarded });
}

void
Relay::RefuseKey(net::HttpExchange& aExchange,
                 const CallHead& aHead,
                 const keys::KeyVerdict& aVerdict)
{
  const bool isUnknown = std::holds_alternative<keys::KeyUnknown>(aVerdict);
  const std::optional<Duration> age = m_freshness.Age();
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "key-refused",
    { { "id", aHead.m_id },
      { "cause",
        isUnknown ? "unknown key" : "configuration may be out of date" },
      { "config", static_cast<std::int64_t>(m_node.m_routes->Version()) },
      { "provenAgeMs", age ? age->count() : std::int64_t{ -1 } } });
  if (isUnknown) {
    Refuse(aExchange, aHead, kUnauthorized, "unknown-key");
  } else {
    Refuse(aExchange, aHead, kUnavailable, "configuration-not-fresh");
  }
}

} // namespace ridgeferry::entry
