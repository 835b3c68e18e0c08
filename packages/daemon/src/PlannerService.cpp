#include "PlannerService.h"

#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::daemon {

namespace {

constexpr Duration kTick{ 200 };
constexpr Duration kPlanEvery{ 2000 };
/** Members of a hall that try for a free lease; the others stay out. */
constexpr std::size_t kContenders = 2;
/** Age at which a report no longer counts for planning. */
constexpr Duration kStaleReport{ 5000 };
/** Reads of the list that must agree that an instance is gone. */
constexpr int kReadsToEnd = 5;

authority::EngineTarget
TargetFor(const declared::Deployment& aDeployment,
          declared::Role aRole,
          bool aServing)
{
  return { std::string(declared::RoleName(aRole)),
           aDeployment.m_model,
           aDeployment.m_version,
           aDeployment.m_adapter,
           aServing };
}

} // namespace

PlannerService::PlannerService(Node& aNode,
                               const ConfigService& aConfig,
                               const membership::Roster& aRoster,
                               const routing::UpstreamSet& aUpstreams,
                               upstream::EngineClient& aEngines)
  : m_node(aNode)
  , m_config(aConfig)
  , m_roster(aRoster)
  , m_upstreams(aUpstreams)
  , m_engines(aEngines)
  , m_lease(aNode.m_settings.m_dataCentre,
            aNode.m_process,
            aNode.m_settings.m_lease)
  , m_orderController(aNode.m_settings.m_dataCentre, aNode.m_process)
{
}

void
PlannerService::Start()
{
  m_timer = m_node.m_loop->Every(kTick, [this] { Tick(); });
}

void
PlannerService::Resign()
{
  HandleLease(authority::LeaseResign{});
}

void
PlannerService::Tick()
{
  const bool contends =
    m_config.IsCurrent() && m_roster.Rank("planner") < kContenders;
  HandleLease(authority::LeaseTick{ contends });
  HandleOrderEvent(authority::OrderTick{});
  const Instant now = m_node.Now();
  if (HasAuthority() && now >= m_nextPlan.value_or(now)) {
    m_nextPlan = now + kPlanEvery;
    Plan();
  }
}

void
PlannerService::HandleLease(const authority::LeaseEvent& aEvent)
{
  for (const authority::LeaseAction& action :
       m_lease.Handle(aEvent, m_node.Now())) {
    Act(action);
  }
}

void
PlannerService::HandleOrderEvent(const authority::OrderEvent& aEvent)
{
  for (const authority::OrderAction& action :
       m_orderController.Handle(aEvent, m_node.Now())) {
    Act(action);
  }
}

void
PlannerService::ReadLeaseRows()
{
  const std::string& dataCentre = m_node.m_settings.m_dataCentre;
  m_node.m_table->Read(
    authority::LeaseKey(dataCentre),
    [this, dataCentre](const table::ReadResult& aLease) {
      m_node.m_table->Read(
        authority::FenceKey(dataCentre),
        [this, aLease](const table::ReadResult& aFence) {
          HandleLease(authority::LeaseRead{ aLease, aFence });
        });
    });
}

void
PlannerService::Act(const authority::LeaseAction& aAction)
{
  std::visit(
    Overloaded{
      [&](const authority::ReadLease&) { ReadLeaseRows(); },
      [&](const authority::WriteLease& aWrite) {
        m_node.m_table->Commit(
          aWrite.m_transaction,
          [this, attempt = aWrite.m_attempt](table::CommitResult aResult) {
            HandleLease(authority::LeaseWritten{ attempt, aResult });
          });
      },
      [&](const authority::AuthorityGained& aGained) {
        m_node.m_log->Write(
          observe::LogLevel::Info,
          "lease-taken",
          { { "fencing", static_cast<std::int64_t>(aGained.m_fencing) } });
        m_node.m_metrics.Count("lease_taken_total");
        m_nextPlan.reset();
        m_roles.clear(); // Another planner may have changed roles since.
        HandleOrderEvent(authority::AuthorityChanged{
          true, aGained.m_fencing, aGained.m_fenceVersion });
      },
      [&](const authority::AuthorityLost&) {
        m_node.m_log->Write(observe::LogLevel::Info, "lease-lost");
        HandleOrderEvent(authority::AuthorityChanged{});
      } },
    aAction);
}

void
PlannerService::Act(const authority::OrderAction& aAction)
{
  const auto commit = [this](const authority::Order& aOrder,
                             const table::Transaction& aTransaction,
                             bool aSettling) {
    m_node.m_table->Commit(
      aTransaction, [this, aOrder, aSettling](table::CommitResult aResult) {
        HandleOrderEvent(authority::OrderWritten{
          aOrder.m_engine, aOrder.m_id, aSettling, aResult });
      });
  };
  std::visit(
    Overloaded{
      [&](const authority::ReadOrderRow& aRead) {
        m_node.m_table->Read(
          authority::OrderKey(m_node.m_settings.m_dataCentre, aRead.m_engine),
          [this, engine = aRead.m_engine](const table::ReadResult& aResult) {
            HandleOrderEvent(authority::OrderRowRead{ engine, aResult });
          });
      },
      [&](const authority::RecordOrder& aRecord) {
        commit(aRecord.m_order, aRecord.m_transaction, false);
      },
      [&](const authority::SendOrder& aSend) { Send(aSend.m_order); },
      [&](const authority::SettleOrder& aSettle) {
        m_node.m_log->Write(observe::LogLevel::Info,
                            "order-settled",
                            { { "order", aSettle.m_order.m_id },
                              { "upstream", aSettle.m_order.m_engine },
                              { "how", aSettle.m_order.m_how } });
        commit(aSettle.m_order, aSettle.m_transaction, true);
      } },
    aAction);
}

void
PlannerService::Send(const authority::Order& aOrder)
{
  const auto answer = [this, aOrder](authority::SendResult aResult) {
    HandleOrderEvent(
      authority::OrderAnswered{ aOrder.m_engine, aOrder.m_id, aResult });
  };
  const auto index = m_upstreams.Find(aOrder.m_engine);
  // Asked again right here: the record's answer may have come after a pause.
  if (!index || !m_lease.HasAuthority(m_node.Now())) {
    m_node.m_loop->Defer([answer] { answer(authority::SendResult::NotSent); });
    return;
  }
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "order-sent",
    { { "order", aOrder.m_id },
      { "upstream", aOrder.m_engine },
      { "kind", std::string(authority::OrderKindName(aOrder.m_kind)) },
      { "fencing", static_cast<std::int64_t>(aOrder.m_fencing) } });
  m_node.m_metrics.Count(observe::WithLabel(
    "orders_sent_total", "kind", authority::OrderKindName(aOrder.m_kind)));
  m_engines.SendOrder(
    m_upstreams.At(*index).m_listed.m_address, aOrder, answer);
}

void
PlannerService::NoteStatus(const std::string& aEngine,
                           const upstream::EngineStatus& aStatus)
{
  HandleOrderEvent(authority::StateReported{ aEngine, aStatus.m_state });
}

void
PlannerService::NoteProcessEnded(const std::string& aProcess)
{
  HandleOrderEvent(authority::SenderEnded{ aProcess });
}

void
PlannerService::NoteListed(std::span<const native::ListedMember> aMembers)
{
  std::set<std::string, std::less<>> listed = { m_node.m_settings.m_instance };
  for (const native::ListedMember& member : aMembers) {
    if (member.m_kind == native::ListedKind::Instance) {
      listed.insert(member.m_id);
    }
  }
  for (const routing::Upstream& upstream : m_upstreams.All()) {
    const auto order = m_orderController.OpenOrder(upstream.m_listed.m_id);
    if (!order) {
      continue;
    }
    const std::string& sender = order->m_sender;
    if (listed.contains(sender.substr(0, sender.find('@')))) {
      m_unlisted.erase(sender);
    } else if (++m_unlisted[sender] >= kReadsToEnd) {
      NoteProcessEnded(sender);
    }
  }
}

void
PlannerService::NoteDemand(const std::string& aDeployment,
                           double aPrefillSeconds,
                           double aDecodeSeconds)
{
  m_mixes[aDeployment].NoteDemand(
    aPrefillSeconds, aDecodeSeconds, m_node.Now());
}

void
PlannerService::Plan()
{
  for (const declared::Deployment* deployment :
       m_config.Catalog().Deployments()) {
    SetTargets(*deployment);
  }
}

void
PlannerService::SetTargets(const declared::Deployment& aDeployment)
{
  const Instant now = m_node.Now();
  std::vector<roles::EngineView> engines;
  for (const routing::Upstream& upstream : m_upstreams.All()) {
    const routing::ListedUpstream& listed = upstream.m_listed;
    if (listed.m_kind != routing::UpstreamKind::Engine ||
        !aDeployment.m_engines.Matches(listed.m_labels) || !upstream.m_report) {
      continue;
    }
    const auto held = m_roles.find(listed.m_id);
    const declared::Role role =
      held == m_roles.end() ? upstream.m_report->m_role : held->second;
    const bool fresh = now - upstream.m_reportedAt < kStaleReport;
    engines.push_back({ listed.m_id, role, fresh && !upstream.m_leaving });
  }
  const std::vector<const declared::Event*> events =
    m_config.Catalog().Events();
  const roles::PlannerTimes times;
  const auto forecast =
    roles::ForecastFor(aDeployment,
                       events,
                       m_mixes[aDeployment.m_name].PrefillShare(now),
                       net::EventLoop::WallNow(),
                       times);
  std::vector<roles::RoleChange> changes;
  if (forecast) {
    changes = roles::PlanRoles(aDeployment, engines, *forecast, times);
  }
  for (const roles::RoleChange& change : changes) {
    m_roles[change.m_engine] = change.m_role;
    m_node.m_metrics.Count("role_changes_planned_total");
  }
  for (const roles::EngineView& engine : engines) {
    const auto held = m_roles.find(engine.m_id);
    const declared::Role role =
      held == m_roles.end() ? engine.m_role : held->second;
    const auto index = m_upstreams.Find(engine.m_id);
    const bool leaving = !index || m_upstreams.At(*index).m_leaving;
    HandleOrderEvent(
      authority::TargetSet{ engine.m_id,
                            TargetFor(aDeployment, role, !leaving),
                            aDeployment.m_checksFencing });
  }
}

} // namespace ridgeferry::daemon
