#include "ridgeferry/membership/StorePollers.h"

#include <algorithm>
#include <limits>
#include <ridgeferry/base/Hash.h>
#include <vector>

namespace ridgeferry::membership {

namespace {

constexpr std::uint64_t kAnyHash = std::numeric_limits<std::uint64_t>::max();

std::uint64_t
BoundOf(const std::map<std::string_view, std::uint64_t>& aBounds,
        std::string_view aDataCentre)
{
  const auto found = aBounds.find(aDataCentre);
  return found == aBounds.end() ? kAnyHash : found->second;
}

} // namespace

StorePollers::StorePollers(const Roster& aRoster, PollerIdentity aAsker)
  : m_roster(aRoster)
  , m_asker(std::move(aAsker))
  , m_hash(Hash64(m_asker.m_instance))
{
}

StorePollers::Bounds
StorePollers::PollerBounds() const
{
  std::map<std::string_view, std::vector<std::uint64_t>> lowest;
  const auto note = [&](std::string_view aDataCentre, std::uint64_t aHash) {
    std::vector<std::uint64_t>& ofDataCentre = lowest[aDataCentre];
    ofDataCentre.insert(
      std::upper_bound(ofDataCentre.begin(), ofDataCentre.end(), aHash), aHash);
    ofDataCentre.resize(std::min(ofDataCentre.size(), kInDataCentre));
  };
  if (!m_asker.m_leaving) {
    note(m_asker.m_dataCentre, m_hash);
  }
  for (const auto& [name, peer] : m_roster.Peers()) {
    if (peer.m_alive && !peer.m_last.m_leaving) {
      note(peer.m_last.m_dataCentre, peer.m_hash);
    }
  }
  Bounds out;
  for (const auto& [dataCentre, hashes] : lowest) {
    const bool isFull = hashes.size() == kInDataCentre;
    out[dataCentre] = isFull ? hashes.back() : kAnyHash;
  }
  return out;
}

bool
StorePollers::HearsWorkingPoller(Instant aNow) const
{
  const auto& peers = m_roster.Peers();
  const Bounds bounds = PollerBounds();
  return std::any_of(peers.begin(), peers.end(), [&](const auto& aEntry) {
    const PeerView& peer = aEntry.second;
    return !peer.m_last.m_leaving && peer.m_last.m_store &&
           !peer.m_last.m_store->m_lost && IsFresh(peer, aNow) &&
           peer.m_hash <= BoundOf(bounds, peer.m_last.m_dataCentre);
  });
}

bool
StorePollers::IsFresh(const PeerView& aPeer, Instant aNow) const
{
  return aNow - aPeer.m_lastHeartbeatAt <=
         m_roster.IntervalOf(aPeer) * kFreshHeartbeats;
}

std::optional<Instant>
StorePollers::ReadsSince(std::string_view aDataCentre,
                         StoreGeneration aGeneration,
                         Instant aNow) const
{
  std::optional<Instant> since;
  for (const auto& [name, peer] : m_roster.Peers()) {
    const auto& view = peer.m_last.m_store;
    const bool reads = view && view->m_readsFor && !view->m_lost &&
                       view->m_members.m_generation >= aGeneration;
    if (!reads || peer.m_last.m_dataCentre != aDataCentre ||
        !IsFresh(peer, aNow)) {
      continue;
    }
    const Instant began = peer.m_lastHeartbeatAt - *view->m_readsFor;
    since = std::min(since.value_or(began), began);
  }
  return since;
}

bool
StorePollers::IsPoller(Instant aNow) const
{
  return IsPollerByHash() || !HearsWorkingPoller(aNow);
}

bool
StorePollers::IsPollerByHash() const
{
  return m_hash <= BoundOf(PollerBounds(), m_asker.m_dataCentre);
}

} // namespace ridgeferry::membership
