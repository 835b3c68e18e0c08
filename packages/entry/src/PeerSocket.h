#pragma once

#include "EntryNode.h"

#include <memory>
#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/net/UdpSocket.h>
#include <ridgeferry/relay/CallLease.h>
#include <ridgeferry/streams/OriginMessage.h>
#include <set>
#include <sigc++/sigc++.h>
#include <span>
#include <string>

namespace ridgeferry::entry {

/** The datagrams that instances send each other. Any may be lost. Not
 * thread-safe. */
class PeerSocket
{
public:
  /** `aNode` must outlive this object. */
  explicit PeerSocket(EntryNode& aNode);

  /** Error: the address in the settings cannot be bound. */
  tl::expected<void, net::NetError> Start();
  /** Precondition of each: `Start` has succeeded. What is no IP:PORT is left
   * out. */
  void Send(const membership::Heartbeat& aHeartbeat,
            const std::set<std::string>& aAddresses);
  void Send(const streams::OriginMessage& aMessage,
            std::span<const std::string> aAddresses);
  void Send(const relay::LeaseRenewal& aRenewal);

  sigc::signal<void(const membership::Heartbeat&)>& SignalHeartbeat()
  {
    return m_heartbeat;
  }
  sigc::signal<void(const streams::OriginMessage&)>& SignalOrigins()
  {
    return m_origins;
  }
  sigc::signal<void(std::span<const relay::PassedOnCallId>)>& SignalRenewal()
  {
    return m_renewal;
  }

private:
  void OnDatagram(std::string_view aBytes);

  EntryNode& m_node;
  std::unique_ptr<net::UdpSocket> m_socket;
  sigc::signal<void(const membership::Heartbeat&)> m_heartbeat;
  sigc::signal<void(const streams::OriginMessage&)> m_origins;
  sigc::signal<void(std::span<const relay::PassedOnCallId>)> m_renewal;
};

} // namespace ridgeferry::entry
