#pragma once

#include "ConfigService.h"
#include "Node.h"

#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/native/InstanceList.h>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/net/UdpSocket.h>
#include <set>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::daemon {

/**
 * Talk between the instances of a hall: heartbeats as UDP datagrams, and the
 * passing on of configuration changes over TCP, both on the peers' address.
 */
class PeerService
{
public:
  PeerService(Node& aNode, membership::Roster& aRoster, ConfigService& aConfig);

  tl::expected<void, net::NetError> Start();
  void SetState(bool aReady, bool aLeaving);
  void NoteListed(std::span<const native::ListedMember> aMembers);
  /** This process learned that an upstream leaves: tell the peers. */
  void NoteUpstreamLeaving(const std::string& aUpstream);
  /** What this process observes of engines, asked before each heartbeat. */
  void SetDigestSource(
    sigc::slot<std::vector<membership::EngineDigest>()> aSource);
  /** Tells the peers at once, not at the next heartbeat. */
  void SendNow();

  sigc::signal<void(std::string)>& SignalUpstreamLeaving()
  {
    return m_upstreamLeaving;
  }
  sigc::signal<void(std::span<const membership::EngineDigest>)>& SignalDigests()
  {
    return m_digests;
  }
  /** A process has ended for sure: its instance runs a later one. */
  sigc::signal<void(std::string)>& SignalProcessEnded()
  {
    return m_processEnded;
  }

private:
  void Handle(const membership::RosterEvent& aEvent);
  void OnDatagram(std::string_view aBytes);
  void OnRequest(const std::shared_ptr<net::HttpExchange>& aExchange);
  void SendTo(std::span<const std::string> aAddresses);
  membership::Heartbeat Own() const;

  Node& m_node;
  membership::Roster& m_roster;
  ConfigService& m_config;
  bool m_ready = false;
  bool m_leaving = false;
  std::set<std::string> m_leavingUpstreams;
  std::unique_ptr<net::UdpSocket> m_socket;
  std::unique_ptr<net::HttpServer> m_server;
  net::Watch m_timer;
  sigc::signal<void(std::string)> m_upstreamLeaving;
  sigc::signal<void(std::string)> m_processEnded;
  sigc::signal<void(std::span<const membership::EngineDigest>)> m_digests;
  sigc::slot<std::vector<membership::EngineDigest>()> m_digestSource;
};

/** `INSTANCE@INCARNATION`: one life of an instance. */
std::string
ProcessId(std::string_view aInstance, std::uint64_t aIncarnation);

} // namespace ridgeferry::daemon
