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

void
Change(std::vector<const PlannedEngine*> aFrom,
       std::size_t aCount,
       UpstreamRole aTo,
       std::vector<EngineRoleChange>& aChanges)
{
  std::erase_if(
    aFrom, [](const PlannedEngine* aEngine) { return aEngine->m_changes; });
  std::stable_sort(aFrom.begin(),
                   aFrom.end(),
                   [](const PlannedEngine* aLeft, const PlannedEngine* aRight) {
                     return aLeft->m_running < aRight->m_running;
                   });
  for (std::size_t i = 0; i < aCount && i < aFrom.size(); ++i) {
    aChanges.push_back({ aFrom[i]->m_id, aTo });
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
      Change(hall.m_reading, least - now, UpstreamRole::Decode, out);
    } else if (now > most) {
      Change(hall.m_generating, now - most, UpstreamRole::Prefill, out);
    }
  }
  return out;
}

} // namespace ridgeferry::relay
