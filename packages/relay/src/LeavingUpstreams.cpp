#include "ridgeferry/relay/LeavingUpstreams.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>
#include <utility>

namespace ridgeferry::relay {

bool
LeavingUpstreams::NoteListed(const UpstreamIncarnation& aUpstream)
{
  return m_announced.emplace(aUpstream.m_id, Announcement{ aUpstream }).second;
}

bool
LeavingUpstreams::NoteFromPeer(const UpstreamIncarnation& aUpstream,
                               const UpstreamIncarnation* aListed)
{
  return aListed != nullptr &&
         Compare(aListed->m_born, aUpstream.m_born) == IncarnationOrder::Same &&
         m_announced.emplace(aUpstream.m_id, Announcement{ aUpstream }).second;
}

void
LeavingUpstreams::NoteGone(std::string_view aUpstream)
{
  const auto found = m_announced.find(aUpstream);
  if (found != m_announced.end()) {
    m_announced.erase(found);
  }
}

std::vector<UpstreamIncarnation>
LeavingUpstreams::TakeNext(std::size_t aMost)
{
  std::vector<Announcement*> turn;
  turn.reserve(m_announced.size());
  for (auto& [id, announcement] : m_announced) {
    turn.push_back(&announcement);
  }
  const std::size_t count = std::min(aMost, turn.size());
  const auto end = turn.begin() + static_cast<std::ptrdiff_t>(count);
  // Those that were taken equally often come in another order each time:
  // otherwise one receiver could always get the same ones.
  const auto rank = [](const Announcement* aItem) {
    return std::pair(
      aItem->m_taken,
      RendezvousWeight(aItem->m_taken, Hash64(aItem->m_upstream.m_id)));
  };
  std::partial_sort(turn.begin(),
                    end,
                    turn.end(),
                    [&](const Announcement* aLeft, const Announcement* aRight) {
                      return rank(aLeft) < rank(aRight);
                    });
  std::vector<UpstreamIncarnation> out;
  out.reserve(count);
  for (auto next = turn.begin(); next != end; ++next) {
    ++(*next)->m_taken;
    out.push_back((*next)->m_upstream);
  }
  return out;
}

} // namespace ridgeferry::relay
