#include "ridgeferry/relay/DecodePoolPlanner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace ridgeferry::relay {

namespace {

/**
 * Number of decode engines that each data centre keeps when others become
 * prefill engines, so that one may be lost. A lost engine is back in its first
 * role sooner than another could take its place, so only the last decode engine
 * of a data centre is replaced. Data centres with fewer than `kSmallDataCentre`
 * engines keep one.
 */
constexpr std::size_t kMinDecodeEngines = 2;
constexpr std::size_t kSmallDataCentre = 6;
/**
 * Decode engines become prefill engines only if there are more of them than the
 * number needed times this factor. A change takes an engine out of service for
 * seconds, so no role changes if the number needed varies by a fifth.
 */
constexpr double kShrinkMargin = 1.2;

struct DataCentreEngines
{
  std::vector<const PlannedEngine*> m_reading;
  std::vector<const PlannedEngine*> m_generating;

  std::size_t Size() const { return m_reading.size() + m_generating.size(); }
};

std::size_t
LeastKept(std::size_t aDataCentre)
{
  return aDataCentre < kSmallDataCentre ? 1 : kMinDecodeEngines;
}

/**
 * Returns the number of decode engines that a data centre with `aDataCentre`
 * engines should have if its calls need `aNeeded` of them: at least `aLeast`,
 * and at most all but one, so that one engine prefills if there are several.
 */
std::size_t
AtLeast(std::size_t aDataCentre, double aNeeded, std::size_t aLeast)
{
  const std::size_t most =
    std::max(aLeast, aDataCentre > 1 ? aDataCentre - 1 : 1);
  return std::clamp(static_cast<std::size_t>(std::ceil(aNeeded)), aLeast, most);
}

/** Engines by software version. */
using CountByVersion = std::map<std::string_view, std::size_t>;

CountByVersion
CountDecodeEngines(std::span<const PlannedEngine> aEngines)
{
  CountByVersion out;
  for (const PlannedEngine& engine : aEngines) {
    out[engine.m_softwareVersion] +=
      engine.m_role == UpstreamRole::Decode ? 1 : 0;
  }
  return out;
}

/** The engines that are not changing yet, the least busy first. */
std::vector<const PlannedEngine*>
ByLoad(std::vector<const PlannedEngine*> aEngines)
{
  std::erase_if(
    aEngines, [](const PlannedEngine* aEngine) { return aEngine->m_changes; });
  std::stable_sort(aEngines.begin(),
                   aEngines.end(),
                   [](const PlannedEngine* aLeft, const PlannedEngine* aRight) {
                     return aLeft->m_running < aRight->m_running;
                   });
  return aEngines;
}

void
ChangeToDecode(const std::vector<const PlannedEngine*>& aFrom,
               std::size_t aCount,
               std::vector<EngineRoleChange>& aChanges)
{
  const std::vector<const PlannedEngine*> engines = ByLoad(aFrom);
  for (std::size_t i = 0; i < aCount && i < engines.size(); ++i) {
    aChanges.push_back({ engines[i]->m_id, UpstreamRole::Decode });
  }
}

/** The last decode engine of a version stays one: no other version reads the KV
 * caches that its prefill engines write. */
void
ChangeToPrefill(const std::vector<const PlannedEngine*>& aFrom,
                std::size_t aCount,
                CountByVersion& aDecodeEngines,
                std::vector<EngineRoleChange>& aChanges)
{
  std::size_t count = 0;
  for (const PlannedEngine* engine : ByLoad(aFrom)) {
    std::size_t& sameVersion = aDecodeEngines[engine->m_softwareVersion];
    if (count == aCount) {
      return;
    }
    if (sameVersion > 1) {
      --sameVersion;
      ++count;
      aChanges.push_back({ engine->m_id, UpstreamRole::Prefill });
    }
  }
}

} // namespace

std::vector<EngineRoleChange>
DecodePoolPlanner::Plan(std::span<const PlannedEngine> aEngines,
                        double aNeeded,
                        Instant aNow)
{
  std::map<std::string, DataCentreEngines> dataCentres;
  for (const PlannedEngine& engine : aEngines) {
    DataCentreEngines& hall = dataCentres[engine.m_dataCentre];
    const bool reads = engine.m_role == UpstreamRole::Prefill;
    (reads ? hall.m_reading : hall.m_generating).push_back(&engine);
  }
  std::vector<EngineRoleChange> out;
  CountByVersion decodeEngines = CountDecodeEngines(aEngines);
  for (const auto& [name, hall] : dataCentres) {
    const std::size_t now = hall.m_generating.size();
    const double share =
      static_cast<double>(hall.Size()) / static_cast<double>(aEngines.size());
    const std::size_t least = AtLeast(hall.Size(), aNeeded * share, 1);
    const std::size_t most = AtLeast(
      hall.Size(), aNeeded * share * kShrinkMargin, LeastKept(hall.Size()));
    if (now >= least) {
      m_shortSince.erase(name);
    }
    if (now < least) {
      const Instant since = m_shortSince.try_emplace(name, aNow).first->second;
      if (aNow - since < kShortFor) {
        continue;
      }
      ChangeToDecode(hall.m_reading, least - now, out);
    } else if (now > most) {
      ChangeToPrefill(hall.m_generating, now - most, decodeEngines, out);
    }
  }
  PlanVersions(aEngines, decodeEngines, aNow, out);
  return out;
}

void
DecodePoolPlanner::PlanVersions(
  std::span<const PlannedEngine> aEngines,
  const std::map<std::string_view, std::size_t>& aDecodeEngines,
  Instant aNow,
  std::vector<EngineRoleChange>& aChanges)
{
  std::erase_if(m_versionShortSince, [&](const auto& aEntry) {
    const auto found = aDecodeEngines.find(aEntry.first);
    return found == aDecodeEngines.end() || found->second > 0;
  });
  for (const auto& [version, count] : aDecodeEngines) {
    if (count > 0) {
      continue;
    }
    const Instant since =
      m_versionShortSince.try_emplace(std::string(version), aNow).first->second;
    if (aNow - since < kShortFor) {
      continue;
    }
    std::vector<const PlannedEngine*> engines;
    for (const PlannedEngine& engine : aEngines) {
      const bool isChosen = std::any_of(
        aChanges.begin(), aChanges.end(), [&](const EngineRoleChange& aChange) {
          return aChange.m_engine == engine.m_id;
        });
      if (engine.m_softwareVersion == version && !isChosen) {
        engines.push_back(&engine);
      }
    }
    ChangeToDecode(engines, 1, aChanges);
  }
}

} // namespace ridgeferry::relay
