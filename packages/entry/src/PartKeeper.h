#pragma once

#include "EntryNode.h"
#include "Peers.h"
#include "StoreGenerations.h"

#include <map>
#include <ridgeferry/authority/Lease.h>
#include <ridgeferry/relay/PartDesk.h>

namespace ridgeferry::entry {

/**
 * Keeps engines doing what the load asks for: one instance at a time holds the
 * lease of the whole deployment, plans and orders; the others follow the news.
 * While nobody holds it, engines stay what they are. Not thread-safe.
 */
class PartKeeper
{
public:
  /** Precondition: all outlive it. */
  PartKeeper(EntryNode& aNode, StoreGenerations& aGenerations, Peers& aPeers);

  void Start();
  /** An engine has left the list. */
  void NoteGone(const std::string& aEngine);

private:
  void Tick();
  void Plan();
  void PlanService(const relay::Service& aService,
                   std::vector<relay::PartChange>& aChanges);
  /** Takes what was found before; `aServices`: the row's words. */
  void Recall(const std::string& aServices);
  /** Writes what is found now, if it has changed. */
  void KeepFound();
  /** Tells the others, if the desk's news have changed. */
  void TellNews();
  void HandleLease(const authority::LeaseEvent& aEvent);
  void HandleDesk(const relay::DeskEvent& aEvent);
  void Do(const authority::ReadLease& aAction);
  void Do(const authority::WriteLease& aAction);
  void Do(const authority::AuthorityGained& aAction);
  void Do(const authority::AuthorityLost& aAction);
  void Do(const relay::AskReport& aAction);
  void Do(const relay::SendPartOrder& aAction);
  void Do(const relay::TellNews& aAction);

  /** The parts of one service's engines. */
  struct ServicePlan
  {
    relay::PartPlanner m_planner;
    double m_held = 0; ///< Most engines that the output needed lately.
    Instant m_at;      ///< Of that.
  };

  double NeededNow(const relay::Service& aService, ServicePlan& aPlan);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  Peers& m_peers;
  authority::Lease m_lease;
  relay::PartDesk m_desk;
  std::map<std::string, ServicePlan> m_plans; ///< By service.
  std::string m_written; ///< Of what is found, as the store has it.
  bool m_writing = false;
  bool m_newsChanged = false;
  Instant m_began;
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
