#include "LimitDigests.h"

#include <algorithm>

namespace ridgeferry::protocol {

namespace {

constexpr std::int32_t kNoLimit = -1;

} // namespace

void
SetLimits(wire::Heartbeat& aOut, const membership::Heartbeat& aMessage)
{
  if (!aMessage.m_limits.empty()) {
    std::vector<std::int32_t> upstreams;
    std::vector<std::int32_t> limits;
    std::vector<std::int32_t> ages;
    for (const membership::LimitDigest& digest : aMessage.m_limits) {
      upstreams.push_back(static_cast<std::int32_t>(digest.m_upstream));
      limits.push_back(digest.m_millisPerSecond.value_or(kNoLimit));
      ages.push_back(digest.m_ageMs);
    }
    aOut.__set_limitedUpstreams(upstreams);
    aOut.__set_limits(limits);
    aOut.__set_limitAges(ages);
  }
  if (!aMessage.m_demands.empty()) {
    std::vector<std::int32_t> services;
    std::vector<std::int32_t> demands;
    for (const membership::DemandDigest& digest : aMessage.m_demands) {
      services.push_back(static_cast<std::int32_t>(digest.m_service));
      demands.push_back(digest.m_millisPerSecond);
    }
    aOut.__set_demandedServices(services);
    aOut.__set_demands(demands);
  }
}

bool
TakeLimits(const wire::Heartbeat& aIn, membership::Heartbeat& aOut)
{
  const std::size_t limits = aIn.limits.size();
  if (aIn.limitedUpstreams.size() != limits || aIn.limitAges.size() != limits ||
      aIn.demandedServices.size() != aIn.demands.size()) {
    return false;
  }
  for (std::size_t i = 0; i < limits; ++i) {
    const std::int32_t limit = aIn.limits[i];
    aOut.m_limits.push_back(
      { static_cast<std::uint32_t>(aIn.limitedUpstreams[i]),
        limit < 0 ? std::nullopt : std::optional(limit),
        std::max(0, aIn.limitAges[i]) });
  }
  for (std::size_t i = 0; i < aIn.demands.size(); ++i) {
    aOut.m_demands.push_back(
      { static_cast<std::uint32_t>(aIn.demandedServices[i]),
        std::max(0, aIn.demands[i]) });
  }
  return true;
}

} // namespace ridgeferry::protocol
