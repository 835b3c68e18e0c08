#pragma once

#include "Node.h"

#include <map>
#include <optional>
#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/native/InstanceList.h>
#include <ridgeferry/routing/UpstreamSet.h>
#include <ridgeferry/upstream/EngineClient.h>
#include <set>
#include <sigc++/sigc++.h>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::daemon {

/**
 * Keeps the upstream set up to date from the platform's list of the hall and
 * from the engines' own status. Each engine is polled by its observers only, a
 * few instances by rendezvous rank; the others hear its load from their
 * heartbeats, and ask it themselves when its state is not the one they hold,
 * or when they have heard nothing of it for a while. The planner asks the
 * engines that it is busy with: its decisions need more than a load.
 */
class UpstreamWatch
{
public:
  UpstreamWatch(Node& aNode,
                const membership::Roster& aRoster,
                routing::UpstreamSet& aUpstreams,
                upstream::EngineClient& aEngines);

  void Start();
  /** What a peer observes of engines. */
  void NoteDigests(std::span<const membership::EngineDigest> aDigests);
  /** What this process observes of engines. */
  std::vector<membership::EngineDigest> OwnDigests() const;
  /** Says which engines the planner of this process is busy with. */
  void SetPlannerInterest(sigc::slot<bool(const std::string&)> aInterest)
  {
    m_plannerInterest = std::move(aInterest);
  }
  /** A peer says that it is leaving. */
  void MarkLeaving(const std::string& aUpstream);

  /** The list was read. */
  sigc::signal<void(std::span<const native::ListedMember>)>& SignalListed()
  {
    return m_listed;
  }
  /** An engine's status came. */
  sigc::signal<void(const std::string&, const upstream::EngineStatus&)>&
  SignalStatus()
  {
    return m_status;
  }
  /** This process itself learned that an upstream leaves. */
  sigc::signal<void(std::string)>& SignalLeaving() { return m_leaving; }

private:
  void PollList();
  void PollStatus();
  void Ask(const routing::ListedUpstream& aEngine);
  bool Observes(const std::string& aEngine) const;
  void OnList(std::vector<native::ListedMember> aMembers);
  void OnStatus(const std::string& aId,
                const std::optional<upstream::EngineStatus>& aStatus);

  Node& m_node;
  const membership::Roster& m_roster;
  routing::UpstreamSet& m_upstreams;
  upstream::EngineClient& m_engines;
  bool m_listAsked = false;
  std::set<std::string, std::less<>> m_statusAsked;
  /** Hashes of the state that this process holds of each engine. */
  std::map<std::string, std::uint32_t, std::less<>> m_states;
  std::map<std::uint32_t, std::string> m_byHash;
  sigc::slot<bool(const std::string&)> m_plannerInterest;
  net::Watch m_listTimer;
  net::Watch m_statusTimer;
  sigc::signal<void(std::span<const native::ListedMember>)> m_listed;
  sigc::signal<void(const std::string&, const upstream::EngineStatus&)>
    m_status;
  sigc::signal<void(std::string)> m_leaving;
};

} // namespace ridgeferry::daemon
