#include "LimitGossip.h"

#include "LimitLog.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ridgeferry::entry {

namespace {

/** Most limits in one heartbeat, the newest first, so that its datagram fits
 * into one network packet. */
constexpr std::size_t kMostLimits = 30;
constexpr double kMillis = 1000;

std::int32_t
MillisOf(double aValue)
{
  constexpr double kMost = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(
    std::llround(std::clamp(aValue * kMillis, 0.0, kMost)));
}

} // namespace

LimitGossip::LimitGossip(EntryNode& aNode)
  : m_node(aNode)
{
  const std::string& name = aNode.m_settings.m_instance;
  aNode.m_fleet.Limits().SetSeed(relay::Fleet::ShortHash(name));
}

void
LimitGossip::AddTo(membership::Heartbeat& aHeartbeat) const
{
  const limits::UpstreamLimits& limits = m_node.m_fleet.Limits();
  if (limits.IsEmpty()) {
    return;
  }
  for (const limits::LimitReport& report : limits.Reports(m_node.Now())) {
    if (aHeartbeat.m_limits.size() == kMostLimits) {
      break;
    }
    membership::LimitDigest digest;
    digest.m_upstream = report.m_upstream;
    if (report.m_perSecond) {
      digest.m_millisPerSecond = MillisOf(*report.m_perSecond);
    }
    digest.m_ageMs = static_cast<std::int32_t>(report.m_age.count());
    aHeartbeat.m_limits.push_back(digest);
  }
  for (const limits::ServiceDemand& demand : limits.Demands(m_node.Now())) {
    aHeartbeat.m_demands.push_back(
      { demand.m_service, MillisOf(demand.m_perSecond) });
  }
}

void
LimitGossip::Take(const membership::Heartbeat& aHeartbeat)
{
  relay::Fleet& fleet = m_node.m_fleet;
  for (const membership::LimitDigest& digest : aHeartbeat.m_limits) {
    limits::LimitReport report{ digest.m_upstream,
                                std::nullopt,
                                Duration{ digest.m_ageMs } };
    if (digest.m_millisPerSecond) {
      report.m_perSecond = *digest.m_millisPerSecond / kMillis;
    }
    const limits::LimitChange change =
      fleet.NotePeerLimit(report, m_node.Now());
    LogLimitChange(m_node,
                   { fleet.IdOf(digest.m_upstream),
                     report.m_perSecond,
                     change,
                     aHeartbeat.m_instance });
  }
  std::vector<limits::ServiceDemand> demands;
  for (const membership::DemandDigest& digest : aHeartbeat.m_demands) {
    demands.push_back({ digest.m_service, digest.m_millisPerSecond / kMillis });
  }
  fleet.Limits().SetPeer(aHeartbeat.m_instance, std::move(demands));
}

void
LimitGossip::ForgetPeer(const std::string& aPeer)
{
  m_node.m_fleet.Limits().SetPeer(aPeer, {});
}

void
LimitGossip::Tick(std::size_t aInstances)
{
  m_node.m_fleet.Limits().Tick(aInstances, m_node.Now());
}

} // namespace ridgeferry::entry
