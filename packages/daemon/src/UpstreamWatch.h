#pragma once

#include "Node.h"

#include <map>
#include <optional>
#include <ridgeferry/platform/InstanceList.h>
#include <ridgeferry/routing/UpstreamSet.h>
#include <ridgeferry/upstream/EngineClient.h>
#include <sigc++/sigc++.h>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::daemon {

/**
 * Keeps the upstream set up to date: polls the platform's list of the hall
 * and each engine's own status.
 */
class UpstreamWatch
{
public:
  UpstreamWatch(Node& aNode,
                routing::UpstreamSet& aUpstreams,
                upstream::EngineClient& aEngines);

  void Start();
  /** A peer says that it is leaving. */
  void MarkLeaving(const std::string& aUpstream);

  /** The list was read. */
  sigc::signal<void(std::span<const platform::ListedMember>)>& SignalListed()
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
  void OnList(std::vector<platform::ListedMember> aMembers);
  void OnStatus(const std::string& aId,
                const std::optional<upstream::EngineStatus>& aStatus);

  Node& m_node;
  routing::UpstreamSet& m_upstreams;
  upstream::EngineClient& m_engines;
  bool m_listAsked = false;
  std::map<std::string, bool, std::less<>> m_statusAsked;
  net::Watch m_listTimer;
  net::Watch m_statusTimer;
  sigc::signal<void(std::span<const platform::ListedMember>)> m_listed;
  sigc::signal<void(const std::string&, const upstream::EngineStatus&)>
    m_status;
  sigc::signal<void(std::string)> m_leaving;
};

} // namespace ridgeferry::daemon
