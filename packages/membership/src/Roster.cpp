#include "ridgeferry/membership/Roster.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::membership {

Roster::Roster(std::string aInstance,
               RosterTimes aTimes,
               std::string aDataCentre)
  : m_dataCentre(std::move(aDataCentre))
  , m_instance(std::move(aInstance))
  , m_times(aTimes)
  , m_recipientTurn(Hash64(m_instance))
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
  const bool moved = peer.m_last.m_dataCentre != aHeartbeat.m_dataCentre;
  if (aHeartbeat.m_incarnation < known && peer.m_alive) {
    return; // This is a delayed heartbeat of an earlier incarnation.
  }
  // A lower incarnation from a peer that counted as dead belongs to a new
  // process, whose clock was set back.
  if (known != 0 && aHeartbeat.m_incarnation > known) {
    aActions.emplace_back(IncarnationEnded{ aHeartbeat.m_instance, known });
  }
  peer.m_last = aHeartbeat;
  peer.m_lastHeartbeatAt = aNow;
  if (known == 0) {
    peer.m_hash = Hash64(aHeartbeat.m_instance);
  }
  if (moved || known == 0) {
    CountOwnDataCentre();
  }
  peer.m_alive = true;
  for (const UpstreamIncarnation& upstream : aHeartbeat.m_leavingUpstreams) {
    aActions.emplace_back(UpstreamLeaving{ upstream });
  }
}

void
Roster::OnTick(Instant aNow, Actions& aActions)
{
  ExpirePeers(aNow);
  if (aNow < m_nextHeartbeat.value_or(aNow)) {
    return;
  }
  m_nextHeartbeat = aNow + HeartbeatInterval();
  if (SendsLoadsPerDataCentre()) {
    TellByDataCentre(aNow, aActions);
  } else {
    SendToAll(aActions);
  }
}

void
Roster::ExpirePeers(Instant aNow)
{
  const bool byDataCentre = SendsLoadsPerDataCentre();
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    PeerView& peer = it->second;
    const Duration silence = aNow - peer.m_lastHeartbeatAt;
    const int missed = byDataCentre && !IsInOwnDataCentre(peer)
                         ? m_times.m_remoteDeadAfterMissed
                         : m_times.m_deadAfterMissed;
    if (silence >= IntervalOf(peer) * missed) {
      peer.m_alive = false;
    }
    const bool forget =
      silence >= m_times.m_forgetAfter && !m_listed.contains(it->first);
    it = forget ? m_peers.erase(it) : std::next(it);
  }
  CountOwnDataCentre();
}

void
Roster::SendToAll(Actions& aActions)
{
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

void
Roster::TellByDataCentre(Instant aNow, Actions& aActions)
{
  if (aNow >= m_nextRemoteHeartbeat.value_or(aNow)) {
    m_nextRemoteHeartbeat = aNow + m_times.m_remoteHeartbeatEvery;
    SendToAll(aActions);
  } else {
    for (const auto& [name, peer] : m_peers) {
      if (IsInOwnDataCentre(peer)) {
        aActions.emplace_back(SendHeartbeat{ peer.m_last.m_peerAddress });
      }
    }
  }
  TellOtherDataCentres(aActions);
}

void
Roster::TellOtherDataCentres(Actions& aActions)
{
  std::map<std::string_view, std::vector<const PeerView*>> dataCentres;
  for (const auto& [name, peer] : m_peers) {
    if (peer.m_alive && !IsInOwnDataCentre(peer)) {
      dataCentres[peer.m_last.m_dataCentre].push_back(&peer);
    }
  }
  // `m_recipientTurn` starts at the hash of the own name, so that the instances
  // of this data centre choose different recipients.
  ++m_recipientTurn;
  for (const auto& [dataCentre, peers] : dataCentres) {
    const PeerView& peer = *peers[m_recipientTurn % peers.size()];
    aActions.emplace_back(SendDataCentreLoads{ peer.m_last.m_peerAddress });
  }
}

bool
Roster::IsInOwnDataCentre(const PeerView& aPeer) const
{
  return aPeer.m_last.m_dataCentre == m_dataCentre;
}

void
Roster::CountOwnDataCentre()
{
  m_peersInOwnDataCentre =
    std::count_if(m_peers.begin(), m_peers.end(), [this](const auto& aEntry) {
      return IsInOwnDataCentre(aEntry.second);
    });
}

Duration
Roster::TimeForAll() const
{
  const auto peers =
    static_cast<Duration::rep>(std::max(m_peers.size(), m_listed.size()));
  return m_times.m_heartbeatEachPeer * peers;
}

bool
Roster::SendsLoadsPerDataCentre() const
{
  return TimeForAll() > m_times.m_maxRoundToAll;
}

Duration
Roster::IntervalOf(const PeerView& aPeer) const
{
  return SendsLoadsPerDataCentre() && !IsInOwnDataCentre(aPeer)
           ? m_times.m_remoteHeartbeatEvery
           : HeartbeatInterval();
}

Duration
Roster::HeartbeatInterval() const
{
  return std::max(m_times.m_heartbeatEvery,
                  SendsLoadsPerDataCentre()
                    ? m_times.m_heartbeatEachPeer * m_peersInOwnDataCentre
                    : TimeForAll());
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

std::set<std::string>
Roster::OwnDataCentreAddresses() const
{
  std::set<std::string> out;
  for (const auto& [name, peer] : m_peers) {
    if (IsInOwnDataCentre(peer)) {
      out.insert(peer.m_last.m_peerAddress);
    }
  }
  return out;
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
