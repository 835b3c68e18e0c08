#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/declared/Objects.h>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::roles {

struct EngineView
{
  std::string m_id;
  declared::Role m_role = declared::Role::Mixed;
  bool m_usable = true; ///< Reports are fresh and it is not leaving.
};

/** The mix to plan for, and for how long it is expected to last. */
struct Forecast
{
  double m_prefillShare = 0.5; ///< Of the work in engine-seconds, 0 to 1.
  Duration m_lasts{};
};

struct RoleChange
{
  std::string m_engine;
  declared::Role m_role = declared::Role::Mixed;
  bool operator==(const RoleChange&) const = default;
};

struct PlannerTimes
{
  /** Time that a change takes an engine away. */
  Duration m_change{ 5000 };
  /** How far before a declared event its mix is planned for. */
  Duration m_lead{ 30'000 };
  /** How long a mix that nobody declared is trusted to last. */
  Duration m_undeclaredLasts{ 120'000 };
};

/**
 * The forecast of a deployment: the mix of a declared event that is active or
 * about to begin, else the estimate. Nothing if there is neither. Thread-safe.
 */
std::optional<Forecast>
ForecastFor(const declared::Deployment& aDeployment,
            std::span<const declared::Event* const> aEvents,
            std::optional<double> aEstimatedShare,
            WallTime aNow,
            const PlannerTimes& aTimes);

/**
 * Useful work of a fleet a second, in engine-seconds, when `aPrefill` of
 * `aTotal` engines serve prompts and the rest serve output: the half that is
 * short bounds the whole. Thread-safe.
 */
double
UsefulWork(std::int64_t aPrefill, std::int64_t aTotal, double aPrefillShare);

/**
 * Which engines should change their role now. A change is made only if the
 * useful work gained while the forecast lasts outweighs the time it takes and
 * the weight that the deployment declares. A deployment without `minPrefill`
 * and `minDecode` serves with mixed engines and is left alone. Thread-safe.
 */
std::vector<RoleChange>
PlanRoles(const declared::Deployment& aDeployment,
          std::span<const EngineView> aEngines,
          const Forecast& aForecast,
          const PlannerTimes& aTimes);

} // namespace ridgeferry::roles
