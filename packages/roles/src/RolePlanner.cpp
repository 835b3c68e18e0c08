#include "ridgeferry/roles/RolePlanner.h"

#include <algorithm>
#include <cmath>

namespace ridgeferry::roles {

namespace {

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Returns whether the event applies to the deployment. */
bool
AppliesTo(const declared::Event& aEvent,
          const declared::Deployment& aDeployment)
{
  return aEvent.m_deployments.Matches(aDeployment.m_labels);
}

/** Returns the number of usable prefill engines. */
std::int64_t
CountPrefill(std::span<const EngineView> aEngines)
{
  return std::count_if(
    aEngines.begin(), aEngines.end(), [](const EngineView& aEngine) {
      return aEngine.m_usable && aEngine.m_role == declared::Role::Prefill;
    });
}

/** Returns the changes after which `aPrefill` of the usable engines prefill and
 * all others decode. */
std::vector<RoleChange>
ChangesTo(std::span<const EngineView> aEngines, std::int64_t aPrefill)
{
  std::vector<RoleChange> out;
  std::int64_t missing = aPrefill - CountPrefill(aEngines);
  for (const EngineView& engine : aEngines) {
    if (!engine.m_usable) {
      continue;
    }
    const bool prefill = engine.m_role == declared::Role::Prefill;
    if (missing > 0 && !prefill) {
      out.push_back({ engine.m_id, declared::Role::Prefill });
      --missing;
    } else if (missing < 0 && prefill) {
      out.push_back({ engine.m_id, declared::Role::Decode });
      ++missing;
    } else if (engine.m_role == declared::Role::Mixed) {
      out.push_back({ engine.m_id, declared::Role::Decode });
    }
  }
  return out;
}

} // namespace

std::optional<Forecast>
ForecastFor(const declared::Deployment& aDeployment,
            std::span<const declared::Event* const> aEvents,
            std::optional<double> aEstimatedShare,
            WallTime aNow,
            const PlannerTimes& aTimes)
{
  std::optional<WallTime> nextStart;
  for (const declared::Event* event : aEvents) {
    if (!AppliesTo(*event, aDeployment)) {
      continue;
    }
    const WallTime end = event->m_start + event->m_duration;
    if (aNow >= event->m_start - aTimes.m_lead && aNow < end) {
      return Forecast{ event->m_prefillShare, end - aNow };
    }
    if (event->m_start > aNow && (!nextStart || event->m_start < *nextStart)) {
      nextStart = event->m_start;
    }
  }
  if (!aEstimatedShare) {
    return std::nullopt;
  }
  Duration lasts = aTimes.m_estimateLasts;
  if (nextStart) {
    lasts = std::min(lasts, *nextStart - aNow);
  }
  return Forecast{ *aEstimatedShare, lasts };
}

double
UsefulWork(std::int64_t aPrefill, std::int64_t aTotal, double aPrefillShare)
{
  const auto prefill = static_cast<double>(aPrefill);
  const auto decode = static_cast<double>(aTotal - aPrefill);
  if (aPrefillShare <= 0) {
    return decode;
  }
  if (aPrefillShare >= 1) {
    return prefill;
  }
  return std::min(prefill / aPrefillShare, decode / (1 - aPrefillShare));
}

std::vector<RoleChange>
PlanRoles(const declared::Deployment& aDeployment,
          std::span<const EngineView> aEngines,
          const Forecast& aForecast,
          const PlannerTimes& aTimes)
{
  const bool split =
    aDeployment.m_minPrefill > 0 || aDeployment.m_minDecode > 0;
  const std::int64_t total =
    std::count_if(aEngines.begin(),
                  aEngines.end(),
                  [](const EngineView& aItem) { return aItem.m_usable; });
  const std::int64_t low = aDeployment.m_minPrefill;
  const std::int64_t high = total - aDeployment.m_minDecode;
  if (!split || low > high) {
    return {};
  }
  const std::int64_t now = CountPrefill(aEngines);
  const double lasts = Seconds(aForecast.m_lasts);
  const double costEach =
    Seconds(aTimes.m_change) + aDeployment.m_roleChangeWeight;
  std::int64_t best = std::clamp(now, low, high);
  double bestValue = UsefulWork(best, total, aForecast.m_prefillShare) * lasts -
                     std::abs(static_cast<double>(best - now)) * costEach;
  for (std::int64_t candidate = low; candidate <= high; ++candidate) {
    const double value =
      UsefulWork(candidate, total, aForecast.m_prefillShare) * lasts -
      std::abs(static_cast<double>(candidate - now)) * costEach;
    if (value > bestValue) {
      best = candidate;
      bestValue = value;
    }
  }
  return ChangesTo(aEngines, best);
}

} // namespace ridgeferry::roles
