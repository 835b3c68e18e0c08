#include "ridgeferry/routing/OrganisationLimiter.h"

#include <algorithm>
#include <cmath>

namespace ridgeferry::routing {

namespace {

/** Retry delay, in milliseconds, if too many calls are in flight. */
constexpr Duration kInFlightRetry{ 1000 };

} // namespace

std::optional<Duration>
OrganisationLimiter::Take(const declared::Organisation& aOrganisation,
                          std::size_t aLiveInstances,
                          Instant aNow)
{
  const auto instances =
    static_cast<double>(std::max<std::size_t>(1, aLiveInstances));
  Usage& usage = m_usage[aOrganisation.m_name];
  const declared::OrganisationLimits& limits = aOrganisation.m_limits;
  if (limits.m_inFlight > 0) {
    // The share is rounded up, so that a small limit does not become 0.
    const auto share = static_cast<std::int64_t>(
      std::ceil(static_cast<double>(limits.m_inFlight) / instances));
    if (usage.m_inFlight >= share) {
      return kInFlightRetry;
    }
  }
  if (limits.m_requestsPerSecond > 0) {
    const double rate = limits.m_requestsPerSecond / instances;
    const double most = std::max(1.0, rate * kBurstSeconds);
    const double elapsed =
      usage.m_filledAt
        ? std::chrono::duration<double>(aNow - *usage.m_filledAt).count()
        : kBurstSeconds + 1 / rate;
    usage.m_tokens = std::min(most, usage.m_tokens + rate * elapsed);
    usage.m_filledAt = aNow;
    if (usage.m_tokens < 1) {
      const double wait = (1 - usage.m_tokens) / rate;
      return std::chrono::ceil<Duration>(std::chrono::duration<double>(wait));
    }
    usage.m_tokens -= 1;
  }
  ++usage.m_inFlight;
  return std::nullopt;
}

void
OrganisationLimiter::Release(std::string_view aOrganisation)
{
  const auto it = m_usage.find(aOrganisation);
  if (it != m_usage.end() && it->second.m_inFlight > 0) {
    --it->second.m_inFlight;
  }
}

} // namespace ridgeferry::routing
