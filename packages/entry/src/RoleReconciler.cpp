#include "RoleReconciler.h"

#include <algorithm>
#include <cmath>
#include <ridgeferry/relay/DecodePoolPlanner.h>
#include <sstream>
#include <utility>

namespace ridgeferry::entry {

namespace {

/** One lease covers the engines of all data centres, because a plan considers
 * them together. */
constexpr const char* kScope = "engines";
/** Row of the lease's table with the hashes of the services whose decode
 * engines cannot prefill without pausing their output streams for too long, so
 * that their prefill is disaggregated. Instances that start later read this
 * row. */
constexpr const char* kDisaggregatedKey = "found/apart";
constexpr Duration kTick{ 50 };
/** Number of instances that try to acquire a free lease. To limit the load on
 * the store, every other instance reads the rows of the lease's table only once
 * after its start and once after each new generation of the store. */
constexpr std::size_t kContenders = 2;
/** A process younger than this does not try to acquire the lease: it has not
 * yet received heartbeats from other instances, so when hundreds start at once,
 * each would count itself among the contenders. The value is twice the longest
 * time between two heartbeats of a peer in the same data centre. */
constexpr Duration kMinAgeToContend{ 500 };
constexpr Duration kStoreTimeout{ 1000 };
/** Engines answer within milliseconds; later answers count as lost. */
constexpr Duration kEngineTimeout{ 600 };
/** Time constant, in milliseconds, of the exponential decay of
 * `ServicePlan::m_decodeEngineDemand`. It is about the time between two swings
 * of the traffic mix, so that engines do not change their roles at each swing.
 */
constexpr double kNeedMemoryMs = 10'000;

authority::LeaseTimes
TimesFor(Duration aTurn)
{
  // The holder stops sending orders `m_margin` before the term of its lease
  // ends, and a successor acquires the lease only `m_margin` after that end. So
  // at least 1.4 * `aTurn` lies between the orders of two holders.
  authority::LeaseTimes out;
  out.m_term = aTurn * 5 / 3;
  out.m_margin = aTurn * 7 / 10;
  out.m_renewEvery = aTurn / 3;
  out.m_pollEvery = aTurn / 3;
  // Instances that do not try to acquire the lease read it once (see
  // `kContenders`) and do not poll it: with hundreds of instances, their polls
  // would be most of the requests that the store receives.
  out.m_idlePollFactor = 0;
  return out;
}

} // namespace

RoleReconciler::RoleReconciler(EntryNode& aNode,
                               StoreGenerations& aGenerations,
                               Peers& aPeers)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_peers(aPeers)
  , m_lease(
      kScope,
      aNode.m_settings.m_instance + "/" +
        std::to_string(net::EventLoop::WallNow().time_since_epoch().count()),
      TimesFor(aNode.m_settings.m_orderTurn))
{
}

void
RoleReconciler::Start()
{
  m_began = m_node.Now();
  m_generations.SignalNewGeneration().connect(
    [this](StoreGeneration aGeneration) {
      HandleLease(authority::LeaseGeneration{ aGeneration });
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
  const bool contends = !m_node.m_stop.HasBegun() && m_peers.HasListed() &&
                        m_node.Now() - m_began >= kMinAgeToContend &&
                        m_peers.Rank(kScope) < kContenders;
  HandleLease(authority::LeaseTick{ contends });
  const bool mayOrder =
    !m_node.m_stop.HasBegun() && m_lease.HasAuthority(m_node.Now());
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
RoleReconciler::HandleLease(const authority::LeaseEvent& aEvent)
{
  for (const authority::LeaseAction& action :
       m_lease.Handle(aEvent, m_node.Now())) {
    std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
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
RoleReconciler::Do(const authority::ReadLease&)
{
  StoreRead read;
  read.m_table = m_node.m_dialect.m_leaseTable;
  net::HttpRequest request = m_node.m_dialect.m_writeStoreRead(read);
  request.m_address = m_node.m_settings.m_store;
  request.m_timeout = kStoreTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [this](const net::HttpResponse& aResponse) {
    authority::LeaseRead event;
    event.m_generation = m_generations.Of(aResponse);
    m_generations.Note(event.m_generation, "a call for the lease");
    const bool whole = aResponse.m_end == net::HttpEnd::Complete;
    const StoreAnswer answer =
      whole ? m_node.m_dialect.m_readStoreAnswer(aResponse)
            : StoreAnswer(relay::ReadFailed{ "no complete answer" });
    if (const auto* page = std::get_if<StorePage>(&answer)) {
      event.m_lease = { table::ReadStatus::Ok,
                        { authority::LeaseKey(kScope), 0, {} } };
      event.m_fence = { table::ReadStatus::Ok,
                        { authority::FenceKey(kScope), 0, {} } };
      for (const relay::FollowedRow& row : page->m_rows) {
        if (row.m_key == kDisaggregatedKey) {
          LoadDisaggregatedServices(row.m_value);
        }
        for (table::ReadResult* wanted : { &event.m_lease, &event.m_fence }) {
          if (row.m_key == wanted->m_row.m_key) {
            wanted->m_row.m_version = row.m_version;
            wanted->m_row.m_value = row.m_value;
          }
        }
      }
    }
    HandleLease(event);
  };
  m_node.m_http->Send(request, std::move(callbacks));
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
  net::HttpRequest request = m_node.m_dialect.m_writeStoreCommit(commit);
  request.m_address = m_node.m_settings.m_store;
  request.m_timeout = kStoreTimeout;
  net::HttpCallbacks callbacks;
  m_writing = true;
  callbacks.m_done = [this, found](const net::HttpResponse& aResponse) {
    m_writing = false;
    m_generations.Note(m_generations.Of(aResponse),
                       "services found to need disaggregated prefill");
    if (m_node.m_dialect.m_readStoreCommit(aResponse) ==
        table::CommitResult::Committed) {
      m_storedServices = found;
    }
  };
  m_node.m_http->Send(request, std::move(callbacks));
}

void
RoleReconciler::Do(const authority::WriteLease& aAction)
{
  net::HttpRequest request = m_node.m_dialect.m_writeStoreCommit(
    { m_node.m_dialect.m_leaseTable, aAction.m_transaction });
  request.m_address = m_node.m_settings.m_store;
  request.m_timeout = kStoreTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done =
    [this, attempt = aAction.m_attempt](const net::HttpResponse& aResponse) {
      m_generations.Note(m_generations.Of(aResponse), "a call for the lease");
      HandleLease(authority::LeaseWritten{
        attempt, m_node.m_dialect.m_readStoreCommit(aResponse) });
    };
  m_node.m_http->Send(request, std::move(callbacks));
}

void
RoleReconciler::Do(const authority::AuthorityGained& aAction)
{
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "lease-gained",
    { { "scope", std::string(kScope) },
      { "fencing", static_cast<std::int64_t>(aAction.m_fencing) } });
}

void
RoleReconciler::Do(const authority::AuthorityLost&)
{
  m_node.m_log->Write(observe::LogLevel::Info,
                      "lease-lost",
                      { { "scope", std::string(kScope) } });
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
  net::HttpRequest request =
    m_node.m_dialect.m_writeReportAsk(member->m_address);
  request.m_timeout = kEngineTimeout;
  request.m_connectTimeout = kEngineTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [this, engine](const net::HttpResponse& aResponse) {
    HandleRoleChangeEvent(
      relay::ReportCame{ engine, m_node.m_dialect.m_readReport(aResponse) });
  };
  m_node.m_http->Send(request, std::move(callbacks));
}

void
RoleReconciler::Do(const relay::SendRoleOrder& aAction)
{
  const std::string engine = aAction.m_engine;
  const relay::Member* member = m_node.m_fleet.Find(engine);
  if (member == nullptr || !m_lease.HasAuthority(m_node.Now())) {
    m_node.m_loop->Defer([this, engine] {
      HandleRoleChangeEvent(
        relay::OrderAnswered{ engine, relay::OrderAnswer::Refused });
    });
    return;
  }
  EngineRoleOrder order;
  order.m_address = member->m_address;
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
  callbacks.m_done = [this, engine](const net::HttpResponse& aResponse) {
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
