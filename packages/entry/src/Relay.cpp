#include "Relay.h"

#include "OwnAnswer.h"

#include <algorithm>
#include <set>

namespace ridgeferry::entry {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/** Retry-After of the 503 answers that this instance gives while it starts or
 * stops. A starting instance has its routes in well under 250 ms, and callers
 * open no new connections to a stopping one. */
constexpr Duration kOtherRetryAfter{ 250 };
/** Retry-After while the store is out of reach: such outages last seconds. */
constexpr Duration kUnprovenRetryAfter{ 1000 };
/** Share of the operators' retry limits that the instances use. An instance
 * that starts again does not know the retries that it has sent before, so a
 * window may hold those of two processes. */
constexpr double kBudgetShare = 0.5;
/** Upper bound of one instance's share of the retry floor, in retries per
 * window (see `RetryBounds::m_floor`). An instance that has just started
 * does not know yet how many instances share the floor. */
constexpr double kMostFloor = 2;

/** Returns whether the caller takes up a stream that began earlier. */
bool
IsTakenUp(const CallHead& aHead, const relay::Route& aRoute)
{
  return aRoute.m_stream && aRoute.m_resumable && aHead.m_takenUp.has_value();
}

bool
HasService(const relay::Route& aRoute, std::string_view aService)
{
  return std::any_of(aRoute.m_services.begin(),
                     aRoute.m_services.end(),
                     [aService](const relay::ServiceShare& aShare) {
                       return aShare.m_service == aService;
                     });
}

/** Returns whether only callers with an organisation's key may use `aRoute`. */
bool
NeedsKey(const relay::RouteTable& aRoutes, const relay::Route& aRoute)
{
  return aRoutes.Organisations().NeedsKeys() && !aRoute.m_isPublic;
}

std::string_view
CauseOf(const keys::KeyUndecided& aVerdict)
{
  return aVerdict.m_cause == keys::KeyUndecided::Cause::UnreadableKeys
           ? "some keys of the configuration cannot be read"
           : "configuration may be out of date";
}

/** Returns what a decision rests on, for logs and metrics. */
std::string_view
NameOf(const streams::OriginDecision& aDecision)
{
  if (const auto* goOn = std::get_if<streams::GoOn>(&aDecision)) {
    return goOn->m_proof == streams::OriginProof::Record ? "record"
                                                         : "sole-version";
  }
  switch (std::get<streams::RefuseTakeUp>(aDecision).m_cause) {
    case streams::RefuseTakeUp::Cause::Ambiguous:
      return "ambiguous";
    case streams::RefuseTakeUp::Cause::Unanswered:
      return "unanswered";
    case streams::RefuseTakeUp::Cause::Unknown:
      break;
  }
  return "unknown";
}

} // namespace

Relay::Relay(EntryNode& aNode,
             QuarantineService& aQuarantine,
             ConfigFreshness& aFreshness,
             UsageService& aUsage,
             ReachService& aReach,
             const Peers& aPeers,
             StreamOriginService& aOrigins,
             StatementService& aStatements,
             CallLeaseService& aLeases)
  : m_node(aNode)
  , m_quarantine(aQuarantine)
  , m_freshness(aFreshness)
  , m_usage(aUsage)
  , m_reach(aReach)
  , m_peers(aPeers)
  , m_origins(aOrigins)
  , m_statements(aStatements)
  , m_leases(aLeases)
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
  m_server->ShareBodies(m_node.m_bodies.get());
  m_server->AskWhetherLimitsMayBeOld([this] { return LimitsMayBeOld(); });
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
Relay::EarlierWait(const AdmittedRequest& aRequest)
{
  if (aRequest.m_forwarded) {
    return aRequest.m_forwarded->m_waited;
  }
  const auto& deadline = aRequest.m_head.m_deadline;
  // Whoever takes a stream up has had its first event, and less time is left
  // only because the stream has lasted.
  if (!deadline || IsTakenUp(aRequest.m_head, *aRequest.m_route)) {
    return {};
  }
  return m_timeLimits[aRequest.m_route->m_name].Note(*deadline);
}

void
Relay::HandleRequest(const std::shared_ptr<net::HttpExchange>& aExchange,
                     const std::optional<ForwardedTerms>& aForwarded)
{
  AdmittedRequest request;
  request.m_exchange = aExchange;
  request.m_forwarded = aForwarded;
  request.m_head = m_node.m_dialect.m_readCall(aExchange->Request());
  CallHead& head = request.m_head;
  if (aForwarded) {
    head.m_deadline = aForwarded->m_left;
    head.m_isForwarded = true;
  }
  if (!m_node.m_stop.AcceptsCalls(m_node.Now())) {
    Refuse(*aExchange, head, { kUnavailable, "stopping", kOtherRetryAfter });
    return;
  }
  if (m_node.m_routes == nullptr || !m_peers.HasHeardOthers()) {
    Refuse(*aExchange,
           head,
           { kUnavailable, "no-configuration-yet", kOtherRetryAfter });
    return;
  }
  if (IsRoutedByLaterConfig(aForwarded)) {
    m_node.m_metrics.Count("calls_by_later_configuration_total");
    Refuse(*aExchange,
           head,
           { kUnavailable, "configuration-behind", kOtherRetryAfter });
    return;
  }
  request.m_routes = m_node.m_routes;
  request.m_configAt = m_freshness.ChangedPosition();
  request.m_route = m_node.m_routes->Find(head.m_host, head.m_path);
  if (RefuseUnrouted(*aExchange, head, request.m_route)) {
    return;
  }
  if (head.m_hasSeveralCredentials &&
      NeedsKey(*request.m_routes, *request.m_route)) {
    Refuse(*aExchange, head, { kBadRequest, "several-credentials" });
    return;
  }
  const keys::KeyVerdict verdict =
    m_freshness.CheckKey(head.m_key, request.m_route->m_isPublic);
  const auto* accepted = std::get_if<keys::KeyAccepted>(&verdict);
  if (accepted == nullptr) {
    RefuseKey(*aExchange, head, verdict);
    return;
  }
  request.m_organisation = accepted->m_organisation;
  if (aForwarded && aForwarded->m_origin) {
    GoOn(request, *aForwarded->m_origin);
  } else if (IsTakenUp(head, *request.m_route)) {
    TakeUp(request);
  } else {
    StartCall(request, DrawService(*request.m_route), std::nullopt);
  }
}

bool
Relay::RefuseUnrouted(net::HttpExchange& aExchange,
                      const CallHead& aHead,
                      const relay::Route* aRoute)
{
  if (m_freshness.IsReplaced()) {
    Refuse(aExchange,
           aHead,
           { kUnavailable, "configuration-unreadable", kUnprovenRetryAfter });
    return true;
  }
  const bool hasUnknown = m_node.m_routes->Config().m_hasUnknownRoutes;
  if (aRoute == nullptr && !hasUnknown) {
    RefuseForGood(aExchange, aHead, { kNotFound, "no-route" });
    return true;
  }
  if (aRoute == nullptr || !aRoute->IsReadable()) {
    Refuse(aExchange,
           aHead,
           { kUnavailable, "route-unreadable", kUnprovenRetryAfter });
    return true;
  }
  return false;
}

bool
Relay::IsRoutedByLaterConfig(const std::optional<ForwardedTerms>& aForwarded)
{
  if (!aForwarded || !aForwarded->m_config) {
    return false;
  }
  m_freshness.NoteTold(*aForwarded->m_config);
  return !m_freshness.HasRead(*aForwarded->m_config);
}

const std::string&
Relay::DrawService(const relay::Route& aRoute)
{
  std::uniform_real_distribution<double> unit(0, 1);
  return relay::RouteTable::Draw(aRoute, unit(m_node.m_random));
}

streams::StreamKey
Relay::StreamKeyOf(const AdmittedRequest& aRequest, std::string_view aBeganAs)
{
  const keys::Organisation* organisation = aRequest.m_organisation;
  return streams::KeyOf(
    { organisation == nullptr ? std::string_view{} : organisation->m_name,
      aRequest.m_head.m_host,
      aRequest.m_head.m_path,
      aBeganAs });
}

void
Relay::TakeUp(const AdmittedRequest& aRequest)
{
  const Instant since = m_node.Now();
  ++m_takeUps;
  const std::string& beganAs = aRequest.m_head.m_takenUp->m_beganAs;
  m_origins.Find(
    { StreamKeyOf(aRequest, beganAs),
      !beganAs.empty(),
      DrawService(*aRequest.m_route) },
    [this, aRequest, since](const streams::OriginDecision& aDecision) {
      --m_takeUps;
      DecideTakeUp(aRequest, since, aDecision);
    });
}

void
Relay::DecideTakeUp(const AdmittedRequest& aRequest,
                    Instant aSince,
                    const streams::OriginDecision& aDecision)
{
  const TakenUpStream& stream = *aRequest.m_head.m_takenUp;
  const auto* goOn = std::get_if<streams::GoOn>(&aDecision);
  m_node.m_metrics.Count(
    observe::WithLabel("streams_taken_up_total", "origin", NameOf(aDecision)));
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "stream-taken-up",
    { { "id", aRequest.m_head.m_id },
      { "beganAs", stream.m_beganAs },
      { "afterEvent", stream.m_afterEvent },
      { "origin", std::string(NameOf(aDecision)) },
      { "service", goOn ? goOn->m_origin.m_service : "" },
      { "softwareVersion", goOn ? goOn->m_origin.m_softwareVersion : "" },
      { "tookMs", (m_node.Now() - aSince).count() } });
  if (!aRequest.m_exchange->IsOpen()) {
    return; // Its caller has left.
  }
  if (goOn == nullptr) {
    const auto& refusal = std::get<streams::RefuseTakeUp>(aDecision);
    Refuse(*aRequest.m_exchange,
           aRequest.m_head,
           { kUnavailable, "stream-origin-unknown", refusal.m_retryAfter });
    return;
  }
  GoOn(aRequest, goOn->m_origin);
}

void
Relay::GoOn(const AdmittedRequest& aRequest,
            const streams::StreamOrigin& aOrigin)
{
  if (HasService(*aRequest.m_route, aOrigin.m_service)) {
    StartCall(aRequest, aOrigin.m_service, aOrigin);
  } else {
    Refuse(*aRequest.m_exchange,
           aRequest.m_head,
           { kUnavailable,
             "stream-service-gone",
             relay::RelayFlow::kVersionRetryAfter });
  }
}

void
Relay::StartCall(const AdmittedRequest& aRequest,
                 const std::string& aService,
                 const std::optional<streams::StreamOrigin>& aOrigin)
{
  const relay::Route& route = *aRequest.m_route;
  RelayCallStart start;
  start.m_exchange = aRequest.m_exchange;
  start.m_head = aRequest.m_head;
  start.m_routes = aRequest.m_routes;
  start.m_route = aRequest.m_route;
  start.m_configAt = aRequest.m_configAt;
  start.m_service = aService;
  if (!m_node.m_fleet.RunsEngines(aService)) {
    start.m_head.m_prompt.reset();
  }
  start.m_kind = KindOf(route.m_name, start.m_head.m_prompt);
  start.m_earlierWait = EarlierWait(aRequest);
  start.m_movedTokensPerMs = MovedTokensPerMs(aService);
  start.m_connections = ConnectionsOf(aService);
  start.m_budget = &BudgetOf(aService);
  start.m_quarantine = &m_quarantine;
  start.m_freshness = &m_freshness;
  start.m_usage = &m_usage;
  start.m_organisation = aRequest.m_organisation;
  start.m_hidesCredentials = aRequest.m_routes->Organisations().NeedsKeys();
  start.m_presentsKey = !route.m_isPublic && !aRequest.m_head.m_key.empty();
  start.m_reach = &m_reach;
  start.m_peers = &m_peers;
  start.m_forwarded = aRequest.m_forwarded;
  start.m_origins = &m_origins;
  start.m_statements = &m_statements;
  start.m_leases = &m_leases;
  start.m_origin = aOrigin;
  const std::string& beganAs = aOrigin && aRequest.m_head.m_takenUp
                                 ? aRequest.m_head.m_takenUp->m_beganAs
                                 : aRequest.m_head.m_id;
  if (!beganAs.empty()) {
    start.m_streamKey = StreamKeyOf(aRequest, beganAs);
  }
  const std::uint64_t id = ++m_lastCall;
  auto call = std::make_unique<RelayCall>(m_node, std::move(start));
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

std::int64_t
Relay::ConfigVersion() const
{
  return m_node.m_routes == nullptr
           ? 0
           : static_cast<std::int64_t>(m_node.m_routes->Version());
}

void
Relay::Refuse(net::HttpExchange& aExchange,
              const CallHead& aHead,
              const Refusal& aRefusal)
{
  m_node.m_metrics.Count(
    observe::WithLabel("calls_total", "outcome", aRefusal.m_code));
  const std::optional<Duration> age = m_freshness.Age();
  const std::optional<Duration> lag = m_freshness.KnownLag();
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "call-refused",
    { { "id", aHead.m_id },
      { "outcome", std::string(aRefusal.m_code) },
      { "status", std::int64_t{ aRefusal.m_status } },
      { "host", aHead.m_host },
      { "path", aHead.m_path },
      { "passedOn", aHead.m_isForwarded },
      { "config", ConfigVersion() },
      { "provenAgeMs", age ? age->count() : std::int64_t{ -1 } },
      { "knownLagMs", lag ? lag->count() : std::int64_t{ -1 } } });
  const bool helpsElsewhere =
    aRefusal.m_status == kUnavailable && aHead.m_isForwarded;
  SendOwnAnswer(aExchange,
                { aRefusal.m_status,
                  aRefusal.m_code,
                  "not-run",
                  aRefusal.m_retryAfter,
                  helpsElsewhere });
}

void
Relay::RefuseForGood(net::HttpExchange& aExchange,
                     const CallHead& aHead,
                     const Refusal& aRefusal)
{
  if (!m_freshness.MayBeOld()) {
    Refuse(aExchange, aHead, aRefusal);
    return;
  }
  m_node.m_metrics.Count("refusals_by_old_configuration_total");
  const bool isElsewhere = m_freshness.KnownLag().has_value();
  Refuse(aExchange,
         aHead,
         { kUnavailable,
           "configuration-may-be-old",
           isElsewhere ? kOtherRetryAfter : kUnprovenRetryAfter });
}

void
Relay::RefuseKey(net::HttpExchange& aExchange,
                 const CallHead& aHead,
                 const keys::KeyVerdict& aVerdict)
{
  const auto* undecided = std::get_if<keys::KeyUndecided>(&aVerdict);
  const std::optional<Duration> age = m_freshness.Age();
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "key-refused",
    { { "id", aHead.m_id },
      { "cause", std::string(undecided ? CauseOf(*undecided) : "unknown key") },
      { "config", static_cast<std::int64_t>(m_node.m_routes->Version()) },
      { "provenAgeMs", age ? age->count() : std::int64_t{ -1 } } });
  if (undecided == nullptr) {
    RefuseForGood(aExchange, aHead, { kUnauthorized, "unknown-key" });
    return;
  }
  const bool isUnreadable =
    undecided->m_cause == keys::KeyUndecided::Cause::UnreadableKeys;
  Refuse(
    aExchange,
    aHead,
    isUnreadable
      ? Refusal{ kUnavailable, "keys-unreadable", kUnprovenRetryAfter }
      : Refusal{ kUnavailable, "configuration-not-fresh", kOtherRetryAfter });
}

bool
Relay::LimitsMayBeOld()
{
  if (m_node.m_routes != nullptr && !m_freshness.MayBeOld()) {
    return false;
  }
  const std::optional<Duration> age = m_freshness.Age();
  const std::optional<Duration> lag = m_freshness.KnownLag();
  m_node.m_metrics.Count("refusals_by_old_configuration_total");
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "request-above-old-limits",
    { { "config", ConfigVersion() },
      { "provenAgeMs", age ? age->count() : std::int64_t{ -1 } },
      { "knownLagMs", lag ? lag->count() : std::int64_t{ -1 } } });
  return true;
}

} // namespace ridgeferry::entry
