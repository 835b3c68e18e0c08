#include "ridgeferry/relay/LeavingNews.h"

namespace ridgeferry::relay {

bool
LeavingNews::NoteListed(const UpstreamLife& aUpstream)
{
  return m_told.emplace(aUpstream.m_id, aUpstream).second;
}

bool
LeavingNews::NoteFromPeer(const UpstreamLife& aUpstream,
                          const UpstreamLife* aListed)
{
  return aListed != nullptr &&
         Compare(aListed->m_born, aUpstream.m_born) == LifeOrder::Same &&
         m_told.emplace(aUpstream.m_id, aUpstream).second;
}

void
LeavingNews::NoteGone(std::string_view aUpstream)
{
  const auto found = m_told.find(aUpstream);
  if (found != m_told.end()) {
    m_told.erase(found);
  }
}

} // namespace ridgeferry::relay
