#include "ridgeferry/membership/StoreDuty.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::membership {

StoreDuty::StoreDuty(const Roster& aRoster, DutyAsker aAsker)
  : m_roster(aRoster)
  , m_asker(std::move(aAsker))
{
}

bool
StoreDuty::IsFirst(const std::string& aInstance, const std::string& aHall) const
{
  const std::uint64_t own = Hash64(aInstance);
  const auto isBefore = [&](const std::string& aOther,
                            const std::string& aOtherHall) {
    return aOtherHall == aHall && Hash64(aOther) < own;
  };
  std::ptrdiff_t before =
    !m_asker.m_leaving && isBefore(m_asker.m_instance, m_asker.m_hall) ? 1 : 0;
  for (const auto& [name, peer] : m_roster.Peers()) {
    if (peer.m_alive && !peer.m_last.m_leaving &&
        isBefore(name, peer.m_last.m_hall)) {
      ++before;
    }
  }
  return before < kInHall;
}

bool
StoreDuty::HearsOfStore(Instant aNow) const
{
  const auto& peers = m_roster.Peers();
  return std::any_of(peers.begin(), peers.end(), [&](const auto& aEntry) {
    const PeerView& peer = aEntry.second;
    return !peer.m_last.m_leaving && peer.m_last.m_store &&
           !peer.m_last.m_store->m_lost && IsFresh(peer, aNow) &&
           IsFirst(aEntry.first, peer.m_last.m_hall);
  });
}

bool
StoreDuty::IsFresh(const PeerView& aPeer, Instant aNow) const
{
  return aNow - aPeer.m_heardAt <= m_roster.IntervalOf(aPeer) * kFreshTalks;
}

std::optional<Instant>
StoreDuty::ReadsSince(std::string_view aHall, Instant aNow) const
{
  std::optional<Instant> since;
  for (const auto& [name, peer] : m_roster.Peers()) {
    const auto& view = peer.m_last.m_store;
    const bool reads = view && view->m_readsFor && !view->m_lost;
    if (!reads || peer.m_last.m_hall != aHall || !IsFresh(peer, aNow)) {
      continue;
    }
    const Instant began = peer.m_heardAt - *view->m_readsFor;
    since = std::min(since.value_or(began), began);
  }
  return since;
}

bool
StoreDuty::IsOnDuty(Instant aNow) const
{
  return IsOnDutyByPlace() || !HearsOfStore(aNow);
}

bool
StoreDuty::IsOnDutyByPlace() const
{
  return IsFirst(m_asker.m_instance, m_asker.m_hall);
}

} // namespace ridgeferry::membership
