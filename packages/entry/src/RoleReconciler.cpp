#include "RoleReconciler.h"

#include <algorithm>
#include <cmath>
#include <ridgeferry/relay/DecodePoolPlanner.h>
#include <sstream>
#include <utility>

namespace ridgeferry::entry {

namespace {

/** Row of the lease's table with the hashes of the services whose decode
 * engines cannot prefill without pausing their output streams for too long, so
 * that their prefill is disaggregated. Instances that start later read this
 * row. */
constexpr const char* kDisaggregatedKey = "found/apart";
constexpr Duration kTick{ 50 };
/** Engines answer within milliseconds; later answers count as lost. */
constexpr Duration kEngineTimeout{ 600 };
/** Time constant, in milliseconds, of the exponential decay of
 * `ServicePlan::m_decodeEngineDemand`. It is about the time between two swings
 * of the traffic mix, so that engines do not change their roles at each swing.
 */
constexpr double kNeedMemoryMs = 10'000;

} // namespace

RoleReconciler::RoleReconciler(EntryNode& aNode,
                               StoreGenerations& aGenerations,
                               Peers& aPeers,
                               OrderLease& aLease,
                               StatementService& aStatements)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_calls(aNode, aGenerations, "services found to need disaggregated prefill")
  , m_peers(aPeers)
  , m_lease(aLease)
  , m_statements(aStatements)
{
}

void
RoleReconciler::Start()
{
  m_lease.SignalRow().connect([this](const relay::FollowedRow& aRow) {
    if (aRow.m_key == kDisaggregatedKey) {
      LoadDisaggregatedServices(aRow.m_value);
    }
  });
  m_generations.SignalNewGeneration().connect([this](StoreGeneration) {
    // The new generation of the store may lack the row `kDisaggregatedKey`,
    // so the lease holder writes it again.
    m_storedServices.clear();
  });
  m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
}

void
RoleReconciler::NoteGone(const std::string& aEngine)
{
  HandleRoleChangeEvent(relay::EngineGone{ aEngine });
}

void
RoleReconciler::Tick()
{
  const bool hasEngines =
    m_node.m_routes != nullptr &&
    std::any_of(m_node.m_routes->Config().m_services.begin(),
                m_node.m_routes->Config().m_services.end(),
                [](const relay::Service& aService) {
                  return aService.m_engine.has_value();
                });
  if (!hasEngines) {
    return;
  }
  const bool mayOrder = m_lease.HasAuthority();
  HandleRoleChangeEvent(relay::RoleChangeTick{ mayOrder });
  // Does not plan while listed engines are in a grace period after their rows
  // expired: a plan would replace engines that may still be running.
  if (mayOrder) {
    StoreDisaggregatedServices();
  }
  if (mayOrder && !m_node.m_fleet.HasMemberInGracePeriod()) {
    Plan();
  }
  AnnounceRoleUpdates();
}

double
RoleReconciler::UpdateDecodeEngineDemand(const relay::Service& aService,
                                         ServicePlan& aPlan)
{
  const Instant now = m_node.Now();
  const double needed =
    m_node.m_fleet.DecodeEnginesNeeded(aService.m_name, *aService.m_engine);
  const auto age = static_cast<double>((now - aPlan.m_at).count());
  aPlan.m_decodeEngineDemand = std::max(
    needed, aPlan.m_decodeEngineDemand * std::exp(-age / kNeedMemoryMs));
  aPlan.m_at = now;
  return aPlan.m_decodeEngineDemand;
}

void
RoleReconciler::PlanService(const relay::Service& aService,
                            std::vector<relay::EngineRoleChange>& aChanges)
{
  if (m_node.m_fleet.AllowsColocatedPrefill(aService.m_name)) {
    m_plans.erase(aService.m_name);
    return; // Decode engines also prefill fast enough, so roles need no plan.
  }
  ServicePlan& plan = m_plans[aService.m_name];
  const double needed = UpdateDecodeEngineDemand(aService, plan);
  std::vector<relay::PlannedEngine> engines =
    m_node.m_fleet.EnginesOf(aService.m_name);
  for (relay::PlannedEngine& engine : engines) {
    const std::optional<relay::UpstreamRole> target =
      m_roleChanges.TargetOf(engine.m_id);
    engine.m_changes =
      target.has_value() || m_roleChanges.IsLeftAlone(engine.m_id);
    engine.m_role = target.value_or(engine.m_role);
  }
  for (const relay::EngineRoleChange& change :
       plan.m_planner.Plan(engines, needed, m_node.Now())) {
    aChanges.push_back(change);
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "part-wanted",
      { { "upstream", change.m_engine },
        { "to", std::string(relay::NameOf(change.m_to)) },
        { "generatorsNeeded", needed },
        { "engines", static_cast<std::int64_t>(engines.size()) } });
  }
}

void
RoleReconciler::Plan()
{
  relay::ChangesWanted wanted;
  for (const relay::Service& service : m_node.m_routes->Config().m_services) {
    if (service.m_engine) {
      PlanService(service, wanted.m_changes);
    }
  }
  if (!wanted.m_changes.empty()) {
    HandleRoleChangeEvent(wanted);
  }
}

void
RoleReconciler::HandleRoleChangeEvent(const relay::RoleChangeEvent& aEvent)
{
  for (const relay::RoleChangeAction& action :
       m_roleChanges.Handle(aEvent, m_node.Now())) {
    std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
  }
}

void
RoleReconciler::LoadDisaggregatedServices(const std::string& aServices)
{
  if (aServices == m_storedServices) {
    return;
  }
  m_storedServices = aServices;
  std::vector<std::uint32_t> out;
  std::istringstream text(aServices);
  for (std::uint32_t service = 0; text >> service;) {
    out.push_back(service);
  }
  m_node.m_fleet.RestoreDisaggregatedServices(out);
  m_node.m_log->Write(observe::LogLevel::Info,
                      "engines-recalled",
                      { { "servicesApart", aServices } });
}

void
RoleReconciler::StoreDisaggregatedServices()
{
  std::string found;
  for (const relay::Service& service : m_node.m_routes->Config().m_services) {
    if (!m_node.m_fleet.AllowsColocatedPrefill(service.m_name)) {
      found += std::to_string(relay::Fleet::ShortHash(service.m_name)) + " ";
    }
  }
  if (found == m_storedServices || m_writing) {
    return;
  }
  StoreCommit commit;
  commit.m_table = m_node.m_dialect.m_leaseTable;
  commit.m_transaction.m_puts.push_back({ kDisaggregatedKey, found });
  m_writing = true;
  m_calls.Commit(commit, [this, found](table::CommitResult aResult) {
    m_writing = false;
    if (aResult == table::CommitResult::Committed) {
      m_storedServices = found;
    }
  });
}

void
RoleReconciler::TakeStatement(const StatementSource& aSource,
                              const net::HttpResponse& aResponse)
{
  if (net::HasAnswer(aResponse)) {
    m_statements.Take(aSource, aResponse.m_head);
  }
}

void
RoleReconciler::Do(const relay::AskReport& aAction)
{
  const std::string engine = aAction.m_engine;
  const relay::Member* member = m_node.m_fleet.Find(engine);
  if (member == nullptr) {
    m_node.m_loop->Defer(
      [this, engine] { HandleRoleChangeEvent(relay::EngineGone{ engine }); });
    return;
  }
  const auto target = m_node.m_fleet.TargetFor(
    engine, relay::RequestPurpose::Upkeep, m_node.Now());
  if (!target) {
    m_node.m_loop->Defer([this, engine] {
      HandleRoleChangeEvent(relay::ReportCame{ engine, std::nullopt });
    });
    return;
  }
  net::HttpRequest request =
    m_node.m_dialect.m_writeReportAsk((*target)->m_address);
  request.m_timeout = kEngineTimeout;
  request.m_connectTimeout = kEngineTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [this, engine, upstream = (*target)->Incarnation()](
                       const net::HttpResponse& aResponse) {
    TakeStatement({ upstream, AnswerProof::ByAddress, "report" }, aResponse);
    HandleRoleChangeEvent(
      relay::ReportCame{ engine, m_node.m_dialect.m_readReport(aResponse) });
  };
  m_node.m_http->Send(request, std::move(callbacks));
}

void
RoleReconciler::Do(const relay::SendRoleOrder& aAction)
{
  const std::string engine = aAction.m_engine;
  const auto member =
    m_node.m_fleet.TargetFor(engine, relay::RequestPurpose::Work, m_node.Now());
  if (!member || !m_lease.HasAuthority()) {
    m_node.m_loop->Defer([this, engine] {
      HandleRoleChangeEvent(
        relay::OrderAnswered{ engine, relay::OrderAnswer::Refused });
    });
    return;
  }
  EngineRoleOrder order;
  order.m_address = (*member)->m_address;
  order.m_engine = engine;
  order.m_to = aAction.m_to;
  order.m_expectedOrders = aAction.m_expectedOrders;
  order.m_holder = m_node.m_settings.m_instance;
  order.m_fencing = m_lease.Fencing();
  net::HttpRequest request = m_node.m_dialect.m_writeRoleOrder(order);
  // A fresh connection avoids an order that waits on an unresponsive connection
  // and goes out later.
  request.m_fresh = true;
  request.m_timeout = kEngineTimeout;
  request.m_connectTimeout = kEngineTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [this, engine, upstream = (*member)->Incarnation()](
                       const net::HttpResponse& aResponse) {
    TakeStatement({ upstream, AnswerProof::ByName, "order" }, aResponse);
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "order-answered",
      { { "upstream", engine },
        { "status", std::int64_t{ aResponse.m_head.m_status } } });
    HandleRoleChangeEvent(relay::OrderAnswered{
      engine, m_node.m_dialect.m_readOrderAnswer(aResponse) });
  };
  m_node.m_metrics.Count("orders_total");
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "order-sent",
    { { "upstream", engine },
      { "to", std::string(relay::NameOf(aAction.m_to)) },
      { "expectedOrders", aAction.m_expectedOrders },
      { "fencing", static_cast<std::int64_t>(order.m_fencing) } });
  m_node.m_http->Send(request, std::move(callbacks));
}

void
RoleReconciler::Do(const relay::AnnounceRoleUpdates&)
{
  // Updates are sent once per tick, because a message to all instances costs a
  // millisecond.
  m_newsChanged = true;
}

void
RoleReconciler::AnnounceRoleUpdates()
{
  if (!std::exchange(m_newsChanged, false)) {
    return;
  }
  const std::vector<relay::RoleUpdate> news = m_roleChanges.RoleUpdates();
  std::vector<relay::MemberRoleUpdate> own;
  own.reserve(news.size());
  for (const relay::RoleUpdate& item : news) {
    own.push_back({ relay::Fleet::ShortHash(item.m_engine), item.m_role });
  }
  m_node.m_fleet.SetRoleUpdates(m_node.m_settings.m_instance, std::move(own));
  m_peers.PublishRoleUpdates(news);
}

} // namespace ridgeferry::entry
