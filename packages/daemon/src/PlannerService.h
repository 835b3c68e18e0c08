#pragma once

#include "ConfigService.h"
#include "Node.h"

#include <map>
#include <ridgeferry/authority/Lease.h>
#include <ridgeferry/authority/OrderController.h>
#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/native/InstanceList.h>
#include <ridgeferry/roles/MixEstimator.h>
#include <ridgeferry/roles/RolePlanner.h>
#include <ridgeferry/routing/UpstreamSet.h>
#include <ridgeferry/upstream/EngineClient.h>
#include <set>
#include <span>
#include <string>

namespace ridgeferry::daemon {

/**
 * The planner of a hall: every instance runs one, only the holder of the
 * hall's lease gives orders. Turns declared intent into targets of engines
 * and the targets into orders.
 */
class PlannerService
{
public:
  PlannerService(Node& aNode,
                 const ConfigService& aConfig,
                 const membership::Roster& aRoster,
                 const routing::UpstreamSet& aUpstreams,
                 upstream::EngineClient& aEngines);

  void Start();
  /** Planned stop: gives the lease back. */
  void Resign();
  void NoteStatus(const std::string& aEngine,
                  const upstream::EngineStatus& aStatus);
  void NoteProcessEnded(const std::string& aProcess);
  /** Instances of the hall that the platform lists: a sender that is listed no
   * more has ended. */
  void NoteListed(std::span<const native::ListedMember> aMembers);
  /** Engine time that callers asked for, in seconds. */
  void NoteDemand(const std::string& aDeployment,
                  double aPrefillSeconds,
                  double aDecodeSeconds);

  /** Whether decisions on this engine wait for its reports. */
  bool IsBusyWith(const std::string& aEngine) const
  {
    return HasAuthority() && m_orderController.IsBusy(aEngine);
  }
  bool HasAuthority() const { return m_lease.HasAuthority(m_node.Now()); }
  authority::FencingNumber Fencing() const { return m_lease.Fencing(); }
  const std::string& SeenHolder() const { return m_lease.SeenHolder(); }

private:
  void Tick();
  void Plan();
  void SetTargets(const declared::Deployment& aDeployment);
  void HandleLease(const authority::LeaseEvent& aEvent);
  void HandleOrderEvent(const authority::OrderEvent& aEvent);
  void Act(const authority::LeaseAction& aAction);
  void Act(const authority::OrderAction& aAction);
  void ReadLeaseRows();
  void Send(const authority::Order& aOrder);

  Node& m_node;
  const ConfigService& m_config;
  const membership::Roster& m_roster;
  const routing::UpstreamSet& m_upstreams;
  upstream::EngineClient& m_engines;
  authority::Lease m_lease;
  authority::OrderController m_orderController;
  std::map<std::string, roles::MixEstimator, std::less<>> m_mixes;
  /** Targets held until the next plan: engine to role. */
  std::map<std::string, declared::Role, std::less<>> m_roles;
  /** Reads of the list in a row that did not name an order's sender. */
  std::map<std::string, int, std::less<>> m_unlisted;
  std::optional<Instant> m_nextPlan;
  net::Watch m_timer;
};

} // namespace ridgeferry::daemon
