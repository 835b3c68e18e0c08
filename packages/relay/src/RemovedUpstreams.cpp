#include "ridgeferry/relay/RemovedUpstreams.h"

namespace ridgeferry::relay {

void
RemovedUpstreams::NoteGone(const UpstreamIncarnation& aUpstream, Instant aNow)
{
  m_gone.insert_or_assign(aUpstream.m_id, Gone{ aUpstream, aNow });
}

void
RemovedUpstreams::NoteChange(std::string_view aId)
{
  if (const auto gone = m_gone.find(aId); gone != m_gone.end()) {
    m_gone.erase(gone);
  }
  if (const auto held = m_held.find(aId); held != m_held.end()) {
    m_held.erase(held);
  }
}

bool
RemovedUpstreams::HoldBack(const Member& aMember, Instant aNow)
{
  const auto gone = m_gone.find(aMember.m_id);
  if (gone == m_gone.end()) {
    return false;
  }
  const auto born = gone->second.m_incarnation.m_born;
  if (Compare(born, aMember.m_born) == IncarnationOrder::Later) {
    return false; // This incarnation started after the one that was removed.
  }
  // If the row is already held back, a further copy does not restart the hold
  // time.
  m_held.try_emplace(aMember.m_id, Hold{ aMember, aNow + kHold });
  return true;
}

std::vector<Member>
RemovedUpstreams::Tick(Instant aNow)
{
  std::erase_if(m_gone, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_at >= kRemember &&
           !m_held.contains(aEntry.first);
  });
  std::vector<Member> out;
  std::erase_if(m_held, [&](const auto& aEntry) {
    const bool isOver = aNow >= aEntry.second.m_until;
    if (isOver) {
      out.push_back(aEntry.second.m_member);
      m_gone.erase(aEntry.first);
    }
    return isOver;
  });
  return out;
}

} // namespace ridgeferry::relay
