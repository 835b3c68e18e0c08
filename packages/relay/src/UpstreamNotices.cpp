#include "ridgeferry/relay/UpstreamNotices.h"

#include <algorithm>
#include <utility>

namespace ridgeferry::relay {

void
UpstreamNotices::DropOldest()
{
  const auto oldest =
    std::min_element(m_notices.begin(),
                     m_notices.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.m_heardAt < aRight.second.m_heardAt;
                     });
  if (oldest != m_notices.end()) {
    m_notices.erase(oldest);
  }
}

UpstreamNotices::Notice*
UpstreamNotices::Open(const UpstreamIncarnation& aUpstream)
{
  const auto known = m_notices.find(aUpstream.m_id);
  if (known == m_notices.end()) {
    if (m_notices.size() == kMostUpstreams) {
      DropOldest();
    }
    Notice& notice = m_notices[aUpstream.m_id];
    notice = { aUpstream, ++m_heard };
    return &notice;
  }
  Notice& notice = known->second;
  switch (Compare(notice.m_upstream.m_born, aUpstream.m_born)) {
    case IncarnationOrder::Earlier:
      return nullptr;
    case IncarnationOrder::Later:
      notice = { aUpstream };
      break;
    case IncarnationOrder::Same:
      if (aUpstream.m_born) {
        notice.m_upstream.m_born = aUpstream.m_born;
      }
      break;
  }
  notice.m_heardAt = ++m_heard;
  return &notice;
}

bool
UpstreamNotices::NoteLeaving(const UpstreamIncarnation& aUpstream)
{
  Notice* notice = Open(aUpstream);
  return notice != nullptr && !std::exchange(notice->m_leaves, true);
}

bool
UpstreamNotices::IsLeaving(const UpstreamIncarnation& aUpstream) const
{
  const auto known = m_notices.find(aUpstream.m_id);
  if (known == m_notices.end()) {
    return false;
  }
  switch (Compare(known->second.m_upstream.m_born, aUpstream.m_born)) {
    case IncarnationOrder::Earlier:
      return true;
    case IncarnationOrder::Later:
      return false;
    case IncarnationOrder::Same:
      break;
  }
  return known->second.m_leaves;
}

bool
UpstreamNotices::NoteBackOff(const UpstreamIncarnation& aUpstream,
                             Duration aFor,
                             Instant aNow)
{
  Notice* notice = Open(aUpstream);
  if (notice == nullptr) {
    return false;
  }
  const Instant until = aNow + std::min(aFor, kMaxBackOff);
  const std::optional<Instant> before = notice->m_backOffUntil;
  notice->m_backOffUntil = std::max(before.value_or(until), until);
  return !before || *before <= aNow;
}

std::optional<Instant>
UpstreamNotices::BackOffUntil(const UpstreamIncarnation& aUpstream) const
{
  const auto known = m_notices.find(aUpstream.m_id);
  const bool isSame = known != m_notices.end() &&
                      Compare(known->second.m_upstream.m_born,
                              aUpstream.m_born) == IncarnationOrder::Same;
  return isSame ? known->second.m_backOffUntil : std::nullopt;
}

} // namespace ridgeferry::relay
