// The part of `Fleet` that deals with the limits that upstreams state.

#include "ridgeferry/relay/Fleet.h"

namespace ridgeferry::relay {

limits::LimitChange
Fleet::NoteStatedLimit(std::string_view aId,
                       std::optional<double> aPerSecond,
                       Instant aNow)
{
  const Member* member = Find(aId);
  if (member == nullptr) {
    return limits::LimitChange::None;
  }
  return m_limits.Note({ ShortHash(aId), ShortHash(member->m_service) },
                       { aPerSecond, aNow },
                       limits::StatedTo::ThisInstance,
                       aNow);
}

limits::LimitChange
Fleet::NotePeerLimit(const limits::LimitReport& aReport, Instant aNow)
{
  const Member* member = Find(IdOf(aReport.m_upstream));
  if (member == nullptr) {
    return limits::LimitChange::None;
  }
  return m_limits.Note({ aReport.m_upstream, ShortHash(member->m_service) },
                       { aReport.m_perSecond, aNow - aReport.m_age },
                       limits::StatedTo::APeer,
                       aNow);
}

void
Fleet::TakePermit(std::string_view aId, Instant aNow)
{
  if (!m_limits.IsEmpty()) {
    m_limits.Take(ShortHash(aId), aNow);
  }
}

Duration
Fleet::RoomUnderLimit(const State& aState,
                      const PlaceRequest& aRequest,
                      Instant aNow) const
{
  if (m_limits.IsEmpty()) {
    return {};
  }
  return m_limits.RoomIn(static_cast<limits::UpstreamHash>(aState.m_hash),
                         aRequest.m_yieldsToUrgent,
                         aNow);
}

} // namespace ridgeferry::relay
