// The part of `RelayCall` that deals with what upstreams state in their answers
// about the calls that they accept.

#include "RelayCall.h"

#include <algorithm>

namespace ridgeferry::entry {

namespace {

/** Time over which callers that are refused together come back. */
constexpr Duration kReturnSpread{ 500 };

} // namespace

void
RelayCall::ReservePermits()
{
  if (m_node.m_fleet.Limits().IsEmpty()) {
    return;
  }
  m_reservedPermits.clear();
  for (const std::string& upstream :
       { m_place.m_upstream, m_place.m_prefillEngine }) {
    if (!upstream.empty()) {
      m_node.m_fleet.TakePermit(upstream, m_node.Now());
      m_reservedPermits.push_back(upstream);
    }
  }
}

void
RelayCall::UsePermit(const std::string& aUpstream)
{
  const auto reserved =
    std::find(m_reservedPermits.begin(), m_reservedPermits.end(), aUpstream);
  if (reserved == m_reservedPermits.end()) {
    m_node.m_fleet.TakePermit(aUpstream, m_node.Now());
  } else {
    m_reservedPermits.erase(reserved);
  }
}

Duration
RelayCall::RoomIn(const relay::PlaceFault& aFault)
{
  switch (aFault.m_cause) {
    case relay::NoPlaceCause::Full:
      return aFault.m_roomIn;
    case relay::NoPlaceCause::Limited:
      m_node.m_metrics.Count("limited_refusals_total");
      return m_node.m_fleet.Limits().PromiseRoom(
        relay::Fleet::ShortHash(m_start.m_service),
        aFault.m_roomIn,
        m_node.Now());
    case relay::NoPlaceCause::BackingOff:
      m_node.m_metrics.Count("back_off_refusals_total");
      return SpreadOver(aFault.m_roomIn);
    case relay::NoPlaceCause::NoneSound:
    case relay::NoPlaceCause::TooLarge:
    case relay::NoPlaceCause::VersionGone:
      break;
  }
  return relay::RelayFlow::kRetryAfter;
}

Duration
RelayCall::SpreadOver(Duration aTime) const
{
  std::uniform_int_distribution<Duration::rep> spread(0, kReturnSpread.count());
  return aTime + Duration(spread(m_node.m_random));
}

std::optional<Duration>
RelayCall::RoomBehindBackOffs() const
{
  const auto left = m_node.m_fleet.BackOffOf(m_start.m_service, m_node.Now());
  return left ? std::optional(SpreadOver(*left)) : std::nullopt;
}

} // namespace ridgeferry::entry
