#include "ridgeferry/membership/Roster.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::membership {

Roster::Roster(std::string aInstance, RosterTimes aTimes, std::string aHall)
  : m_hall(std::move(aHall))
  , m_instance(std::move(aInstance))
  , m_times(aTimes)
  , m_turn(Hash64(m_instance))
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
  const bool moved = peer.m_last.m_hall != aHeartbeat.m_hall;
  if (aHeartbeat.m_incarnation < known && peer.m_alive) {
    return; // This is a delayed heartbeat of an earlier incarnation.
  }
  // A lower incarnation from a peer that counted as dead belongs to a new
  // process, whose clock was set back.
  if (known != 0 && aHeartbeat.m_incarnation > known) {
    aActions.emplace_back(IncarnationEnded{ aHeartbeat.m_instance, known });
  }
  peer.m_last = aHeartbeat;
  peer.m_heardAt = aNow;
  if (known == 0) {
    peer.m_hash = Hash64(aHeartbeat.m_instance);
  }
  if (moved || known == 0) {
    CountNear();
  }
  peer.m_alive = true;
  for (const UpstreamLife& upstream : aHeartbeat.m_leavingUpstreams) {
    aActions.emplace_back(UpstreamLeaving{ upstream });
  }
}

void
Roster::OnTick(Instant aNow, Actions& aActions)
{
  ForgetSilent(aNow);
  if (aNow < m_nextHeartbeat.value_or(aNow)) {
    return;
  }
  m_nextHeartbeat = aNow + HeartbeatInterval();
  if (TellsByHall()) {
    TellByHall(aNow, aActions);
  } else {
    TellAll(aActions);
  }
}

void
Roster::ForgetSilent(Instant aNow)
{
  const bool byHall = TellsByHall();
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    PeerView& peer = it->second;
    const Duration silence = aNow - peer.m_heardAt;
    const int missed = byHall && !IsNear(peer) ? m_times.m_farDeadAfterMissed
                                               : m_times.m_deadAfterMissed;
    if (silence >= IntervalOf(peer) * missed) {
      peer.m_alive = false;
    }
    const bool forget =
      silence >= m_times.m_forgetAfter && !m_listed.contains(it->first);
    it = forget ? m_peers.erase(it) : std::next(it);
  }
  CountNear();
}

void
Roster::TellAll(Actions& aActions)
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
Roster::TellByHall(Instant aNow, Actions& aActions)
{
  if (aNow >= m_nextFar.value_or(aNow)) {
    m_nextFar = aNow + m_times.m_farEvery;
    TellAll(aActions);
  } else {
    for (const auto& [name, peer] : m_peers) {
      if (IsNear(peer)) {
        aActions.emplace_back(SendHeartbeat{ peer.m_last.m_peerAddress });
      }
    }
  }
  TellOtherHalls(aActions);
}

void
Roster::TellOtherHalls(Actions& aActions)
{
  std::map<std::string_view, std::vector<const PeerView*>> halls;
  for (const auto& [name, peer] : m_peers) {
    if (peer.m_alive && !IsNear(peer)) {
      halls[peer.m_last.m_hall].push_back(&peer);
    }
  }
  // `m_turn` starts at the hash of the own name, so that the instances of this
  // data centre choose different recipients.
  ++m_turn;
  for (const auto& [hall, peers] : halls) {
    const PeerView& peer = *peers[m_turn % peers.size()];
    aActions.emplace_back(SendHallLoads{ peer.m_last.m_peerAddress });
  }
}

bool
Roster::IsNear(const PeerView& aPeer) const
{
  return aPeer.m_last.m_hall == m_hall;
}

void
Roster::CountNear()
{
  m_near =
    std::count_if(m_peers.begin(), m_peers.end(), [this](const auto& aEntry) {
      return IsNear(aEntry.second);
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
Roster::TellsByHall() const
{
  return TimeForAll() > m_times.m_mostToAll;
}

Duration
Roster::IntervalOf(const PeerView& aPeer) const
{
  return TellsByHall() && !IsNear(aPeer) ? m_times.m_farEvery
                                         : HeartbeatInterval();
}

Duration
Roster::HeartbeatInterval() const
{
  return std::max(m_times.m_heartbeatEvery,
                  TellsByHall() ? m_times.m_heartbeatEachPeer * m_near
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
Roster::NearAddresses() const
{
  std::set<std::string> out;
  for (const auto& [name, peer] : m_peers) {
    if (IsNear(peer)) {
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
