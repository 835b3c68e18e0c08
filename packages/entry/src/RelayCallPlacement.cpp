// The part of `RelayCall` that finds the upstream of the call, or another
// instance.

#include "RelayCall.h"

#include <ridgeferry/relay/AdmissionBound.h>

namespace ridgeferry::entry {

namespace {

/** Mean interval at which placement of a postponed call is retried. Instances
 * report their loads to each other at the same interval. */
constexpr Duration kPlaceAgain{ 40 };

relay::NoPlace::Cause
CauseOf(relay::NoPlaceCause aCause)
{
  switch (aCause) {
    case relay::NoPlaceCause::TooLarge:
      return relay::NoPlace::Cause::TooLarge;
    case relay::NoPlaceCause::VersionGone:
      return relay::NoPlace::Cause::VersionGone;
    case relay::NoPlaceCause::NoneSound:
    case relay::NoPlaceCause::Full:
    case relay::NoPlaceCause::Limited:
    case relay::NoPlaceCause::BackingOff:
      break;
  }
  return relay::NoPlace::Cause::NoRoom;
}

} // namespace

void
RelayCall::Do(const relay::FindPlace& aAction)
{
  if (const auto hold = Hold()) {
    LogQuarantined(*hold);
    Handle(relay::NoPlace{ hold->m_left, relay::NoPlace::Cause::Quarantined });
    return;
  }
  if (!MayRunByKey()) {
    Handle(relay::NoPlace{ relay::RelayFlow::kRetryAfter });
    return;
  }
  const bool isTrial =
    aAction.m_excluded.empty() &&
    m_start.m_reach->AllowTrial(m_start.m_service, MayBeRepeated());
  if (!isTrial && PassOn(aAction.m_excluded)) {
    return;
  }
  if (!Admit()) {
    return;
  }
  relay::PlaceRequest request;
  request.m_service = m_start.m_service;
  request.m_dataCentre = m_node.m_settings.m_dataCentre;
  request.m_prompt = m_start.m_head.m_prompt;
  if (m_start.m_kind != nullptr) {
    request.m_typical = m_start.m_kind->m_typical.Value();
    request.m_mayPassForItsSize = m_start.m_kind->m_allowance.MayPass();
  }
  request.m_excluded = aAction.m_excluded;
  if (m_origin) {
    request.m_softwareVersion = m_origin->m_softwareVersion;
  }
  request.m_mayProbe = MayBeRepeated();
  request.m_mostOpen = m_start.m_connections.m_open;
  request.m_yieldsToUrgent =
    Urgency() > m_start.m_routes->MostUrgent(m_start.m_service);
  request.m_random = m_node.m_random();
  // The admission bound applies to the first placement only. A call that has
  // been sent to an upstream before is continued, even if it is late, and so is
  // a stream that its caller takes up.
  const bool isFirst = aAction.m_excluded.empty();
  request.m_pause = m_start.m_route->m_pause;
  request.m_left = LeftToFirstToken();
  request.m_untilGivenUp = TimeUntilAbandoned();
  request.m_shortestAim =
    m_start.m_routes->ShortestFirstByteTarget(m_start.m_service);
  request.m_movedPerMs = m_start.m_movedTokensPerMs;
  if (isFirst && !m_start.m_origin && m_start.m_head.m_prompt &&
      m_start.m_route->m_firstByteTarget.count() > 0) {
    // What another instance needed to pass the call on is not held against it.
    const Duration earlier =
      m_start.m_forwarded ? Duration{} : m_start.m_earlierWait;
    const Duration spent = m_node.Now() - m_began;
    request.m_admissionBound =
      relay::AdmissionBoundOf(m_start.m_route->m_firstByteTarget) - spent -
      earlier;
  }
  const relay::PlaceResult result =
    m_node.m_fleet.FindPlace(request, m_node.Now());
  if (std::holds_alternative<relay::PlaceLater>(result)) {
    m_placing =
      m_node.m_loop->After(PlaceAgainIn(), [this, aAction] { Do(aAction); });
    return;
  }
  if (const auto* place = std::get_if<relay::Place>(&result)) {
    m_expectedMs = isFirst && m_start.m_head.m_prompt ? place->m_expectedMs : 0;
    m_placedAt = m_node.Now();
    m_place = *place;
    ReservePermits();
    if (isFirst && m_start.m_kind != nullptr) {
      m_start.m_kind->m_allowance.NoteAdmitted(place->m_forItsSize);
    }
    Handle(relay::PlaceFound{ place->m_upstream, place->m_prefillEngine });
  } else {
    const auto& fault = std::get<relay::PlaceFault>(result);
    m_foundNoneSound = fault.m_cause == relay::NoPlaceCause::NoneSound;
    if (PassOn(aAction.m_excluded)) {
      return;
    }
    LogNoPlace(fault);
    Handle(relay::NoPlace{ RoomIn(fault), CauseOf(fault.m_cause) });
  }
}

Duration
RelayCall::PlaceAgainIn() const
{
  // The delay is random, as calls that retry at the same moment would all be
  // placed on the same free capacity.
  std::uniform_int_distribution<Duration::rep> spread(
    kPlaceAgain.count() / 2, kPlaceAgain.count() * 3 / 2);
  return Duration(spread(m_node.m_random));
}

} // namespace ridgeferry::entry
