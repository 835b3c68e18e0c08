// The part of `Fleet` that deals with what upstreams say about themselves.

#include "ridgeferry/relay/Fleet.h"

namespace ridgeferry::relay {

bool
Fleet::MarkLeaving(const UpstreamIncarnation& aUpstream)
{
  const bool isNew = m_notices.NoteLeaving(aUpstream);
  const auto found = m_members.find(aUpstream.m_id);
  if (found != m_members.end()) {
    Member& member = found->second.m_member;
    member.m_leaving =
      member.m_leaving || m_notices.IsLeaving(member.Incarnation());
  }
  return isNew;
}

std::optional<SendTarget>
Fleet::TargetFor(std::string_view aId, RequestPurpose aPurpose) const
{
  const auto found = m_members.find(aId);
  if (found == m_members.end()) {
    return std::nullopt;
  }
  const Member& member = found->second.m_member;
  if (member.m_leaving && aPurpose == RequestPurpose::Work) {
    return std::nullopt;
  }
  return SendTarget(member);
}

} // namespace ridgeferry::relay
