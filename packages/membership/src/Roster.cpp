#include "ridgeferry/membership/Roster.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::membership {

Roster::Roster(std::string aInstance, RosterTimes aTimes)
  : m_instance(std::move(aInstance))
  , m_times(aTimes)
{
}

std::vector<RosterAction>
Roster::Handle(const RosterEvent& aEvent, Instant aNow)
{
  Actions actions;
  std::visit(Overloaded{ [&](const HeartbeatArrived& aArrived) {
                          OnHeartbeat(aArrived.m_heartbeat, aNow, actions);
                        },
                         [&](const InstancesListed& aListed) {
                           m_listed.clear();
                           for (const ListedInstance& item :
                                aListed.m_instances) {
                             m_listed[item.m_instance] = item.m_peerAddress;
                           }
                         },
                         [&](const RosterTick&) { OnTick(aNow, actions); } },
             aEvent);
  return actions;
}

void
Roster::OnHeartbeat(const Heartbeat& aHeartbeat,
                    Instant aNow,
                    Actions& aActions)
{
  if (aHeartbeat.m_instance == m_instance) {
    return;
  }
  PeerView& peer = m_peers[aHeartbeat.m_instance];
  const std::uint64_t known = peer.m_last.m_incarnation;
  if (aHeartbeat.m_incarnation < known && peer.m_alive) {
    return; // Late news of an earlier life.
  }
  // From one that was silent it is a new life whose clock was set back.
  if (known != 0 && aHeartbeat.m_incarnation > known) {
    aActions.emplace_back(IncarnationEnded{ aHeartbeat.m_instance, known });
  }
  peer.m_last = aHeartbeat;
  peer.m_heardAt = aNow;
  peer.m_alive = true;
  for (const std::string& upstream : aHeartbeat.m_leavingUpstreams) {
    aActions.emplace_back(UpstreamLeaving{ upstream });
  }
}

void
Roster::OnTick(Instant aNow, Actions& aActions)
{
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    PeerView& peer = it->second;
    const Duration silence = aNow - peer.m_heardAt;
    if (silence >= HeartbeatInterval() * m_times.m_deadAfterMissed) {
      peer.m_alive = false;
    }
    const bool forget =
      silence >= m_times.m_forgetAfter && !m_listed.contains(it->first);
    it = forget ? m_peers.erase(it) : std::next(it);
  }
  if (aNow < m_nextHeartbeat.value_or(aNow)) {
    return;
  }
  m_nextHeartbeat = aNow + HeartbeatInterval();
  std::set<std::string> addresses;
  for (const auto& [name, address] : m_listed) {
    addresses.insert(address);
  }
  for (const auto& [name, peer] : m_peers) {
    addresses.insert(peer.m_last.m_peerAddress);
  }
  for (const std::string& address : addresses) {
    aActions.emplace_back(SendHeartbeat{ address });
  }
}

Duration
Roster::HeartbeatInterval() const
{
  const auto peers =
    static_cast<Duration::rep>(std::max(m_peers.size(), m_listed.size()));
  return std::max(m_times.m_heartbeatEvery,
                  m_times.m_heartbeatEachPeer * peers);
}

std::size_t
Roster::LiveCount() const
{
  std::size_t count = 1;
  for (const auto& [name, peer] : m_peers) {
    count += peer.m_alive && !peer.m_last.m_leaving ? 1 : 0;
  }
  return count;
}

std::size_t
Roster::Rank(std::string_view aTopic) const
{
  const std::uint64_t topic = Hash64(aTopic);
  const std::uint64_t own = RendezvousWeight(topic, Hash64(m_instance));
  std::size_t rank = 0;
  for (const auto& [name, peer] : m_peers) {
    const bool counts = peer.m_alive && !peer.m_last.m_leaving;
    if (counts && RendezvousWeight(topic, Hash64(name)) > own) {
      ++rank;
    }
  }
  return rank;
}

std::vector<std::string>
Roster::LiveAddresses() const
{
  std::vector<std::string> out;
  for (const auto& [name, peer] : m_peers) {
    if (peer.m_alive && !peer.m_last.m_leaving) {
      out.push_back(peer.m_last.m_peerAddress);
    }
  }
  return out;
}

} // namespace ridgeferry::membership
