#include "ridgeferry/relay/LeavingUpstreams.h"

namespace ridgeferry::relay {

bool
LeavingUpstreams::NoteListed(const UpstreamIncarnation& aUpstream)
{
  return m_announced.emplace(aUpstream.m_id, aUpstream).second;
}

bool
LeavingUpstreams::NoteFromPeer(const UpstreamIncarnation& aUpstream,
                               const UpstreamIncarnation* aListed)
{
  return aListed != nullptr &&
         Compare(aListed->m_born, aUpstream.m_born) == IncarnationOrder::Same &&
         m_announced.emplace(aUpstream.m_id, aUpstream).second;
}

void
LeavingUpstreams::NoteGone(std::string_view aUpstream)
{
  const auto found = m_announced.find(aUpstream);
  if (found != m_announced.end()) {
    m_announced.erase(found);
  }
}

} // namespace ridgeferry::relay
