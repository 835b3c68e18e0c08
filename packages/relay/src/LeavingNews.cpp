#include "ridgeferry/relay/LeavingNews.h"

namespace ridgeferry::relay {

bool
LeavingNews::NoteListed(std::string_view aUpstream)
{
  return m_told.emplace(aUpstream).second;
}

bool
LeavingNews::NoteFromPeer(std::string_view aUpstream, bool aIsListed)
{
  return aIsListed && m_told.emplace(aUpstream).second;
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
