#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/declared/Objects.h>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::roles {

/** What the planner needs to know of one engine. */
struct EngineView
{
  std::string m_id;
  declared::Role m_role = declared::Role::Mixed;
  bool m_usable = true; ///< Its reports are recent and it is not leaving.
};

/** The shares of prefill and decode to plan for, and for how long they are
 * expected to last. */
struct Forecast
{
  /** Share of prefill in the work, from 0 to 1. Work is measured in seconds of
   * engine time. */
  double m_prefillShare = 0.5;
  Duration m_lasts{};
};

/** An engine and its new role. */
struct RoleChange
{
  std::string m_engine;
  declared::Role m_role = declared::Role::Mixed;
  bool operator==(const RoleChange&) const = default;
};

/** Durations that the planner assumes, in milliseconds. */
struct PlannerTimes
{
  /** How long an engine serves no calls while it changes its role. */
  Duration m_change{ 5000 };
  /** How long before a declared event its forecast applies. */
  Duration m_lead{ 30'000 };
  /** How long an estimated share, which no event declares, is assumed to
   * last. */
  Duration m_estimateLasts{ 120'000 };
};

/**
 * Returns the forecast for a deployment: the declared share of an event that is
 * active or begins within `aTimes.m_lead`, otherwise `aEstimatedShare`. Returns
 * `std::nullopt` if there is neither. An estimate lasts at most until the next
 * declared event begins. Thread-safe.
 */
std::optional<Forecast>
ForecastFor(const declared::Deployment& aDeployment,
            std::span<const declared::Event* const> aEvents,
            std::optional<double> aEstimatedShare,
            WallTime aNow,
            const PlannerTimes& aTimes);

/**
 * Returns the useful work that a fleet does in one second, in seconds of engine
 * time, if `aPrefill` of its `aTotal` engines prefill and the others decode.
 * Every call needs both, so whichever of the two groups is too small limits the
 * fleet. Thread-safe.
 */
double
UsefulWork(std::int64_t aPrefill, std::int64_t aTotal, double aPrefillShare);

/**
 * Returns the engines that should change their role now. A change is planned
 * only if the useful work gained while the forecast lasts is greater than its
 * cost: the time that the change takes plus the `roleChangeWeight` that the
 * deployment declares. A deployment that declares neither `minPrefill` nor
 * `minDecode` uses mixed engines, and no changes are planned for it.
 * Thread-safe.
 */
std::vector<RoleChange>
PlanRoles(const declared::Deployment& aDeployment,
          std::span<const EngineView> aEngines,
          const Forecast& aForecast,
          const PlannerTimes& aTimes);

} // namespace ridgeferry::roles
