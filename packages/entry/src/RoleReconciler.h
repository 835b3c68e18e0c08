#pragma once

#include "EntryNode.h"
#include "OrderLease.h"
#include "Peers.h"
#include "StatementService.h"
#include "StoreCalls.h"

#include <map>
#include <ridgeferry/relay/RoleChangeController.h>

namespace ridgeferry::entry {

/** Reconciles the roles of engines with the load. One instance at a time holds
 * the lease of the whole deployment, plans roles and sends orders to engines;
 * the others apply the role updates that it announces. While no instance holds
 * the lease, engines keep their roles. Not thread-safe. */
class RoleReconciler
{
public:
  /** The arguments must outlive this object. */
  RoleReconciler(EntryNode& aNode,
                 StoreGenerations& aGenerations,
                 Peers& aPeers,
                 OrderLease& aLease,
                 StatementService& aStatements);

  void Start();
  /** Notes that an engine has been removed from the list of upstreams. */
  void NoteGone(const std::string& aEngine);

private:
  void Tick();
  void Plan();
  void PlanService(const relay::Service& aService,
                   std::vector<relay::EngineRoleChange>& aChanges);
  /** Restores the services that need disaggregated prefill. `aServices` is the
   * value of the store's row for them: the hashes of their names, separated by
   * blanks. */
  void LoadDisaggregatedServices(const std::string& aServices);
  /** Writes the services that need disaggregated prefill to the store, if they
   * have changed. */
  void StoreDisaggregatedServices();
  /** Sends the role updates to the other instances, if they have changed since
   * they were last sent. */
  void AnnounceRoleUpdates();
  /** Takes what an engine says about itself, if it answered. */
  void TakeStatement(const StatementSource& aSource,
                     const net::HttpResponse& aResponse);
  void HandleRoleChangeEvent(const relay::RoleChangeEvent& aEvent);
  void Do(const relay::AskReport& aAction);
  void Do(const relay::SendRoleOrder& aAction);
  void Do(const relay::AnnounceRoleUpdates& aAction);

  /** Plan of roles for the engines of one service. */
  struct ServicePlan
  {
    relay::DecodePoolPlanner m_planner;
    /** Decaying maximum of the number of decode engines needed. */
    double m_decodeEngineDemand = 0;
    Instant m_at; ///< When `m_decodeEngineDemand` was last updated.
  };

  double UpdateDecodeEngineDemand(const relay::Service& aService,
                                  ServicePlan& aPlan);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  StoreCalls m_calls;
  Peers& m_peers;
  OrderLease& m_lease;
  StatementService& m_statements;
  relay::RoleChangeController m_roleChanges;
  std::map<std::string, ServicePlan> m_plans; ///< Plans by name of service.
  /** Last known value of the store's row of services that need disaggregated
   * prefill. */
  std::string m_storedServices;
  bool m_writing = false;
  bool m_newsChanged = false;
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
