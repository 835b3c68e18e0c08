#include "ridgeferry/relay/PartPlan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace ridgeferry::relay {

namespace {

/** Generating engines that each hall keeps: one may be lost while the hall is
 * cut off. Halls with fewer than four engines keep one. */
constexpr std::size_t kLeastGenerating = 2;
constexpr std::size_t kSmallHall = 4;
/** What the need must fall below before generating engines become readers: a
 * change takes an engine away for seconds, so a need that swings by a fifth
 * moves nothing. */
constexpr double kShrinkMargin = 1.2;

struct HallEngines
{
  std::vector<const PlannedEngine*> m_reading;
  std::vector<const PlannedEngine*> m_generating;

  std::size_t Size() const { return m_reading.size() + m_generating.size(); }
};

std::size_t
GeneratingIn(std::size_t aHall, std::size_t aAll, double aNeeded)
{
  const std::size_t least = aHall < kSmallHall ? 1 : kLeastGenerating;
  const std::size_t most = aHall > 1 ? aHall - 1 : 1;
  const double share =
    aNeeded * static_cast<double>(aHall) / static_cast<double>(aAll);
  return std::clamp(
    static_cast<std::size_t>(std::ceil(share)), least, std::max(least, most));
}

void
Change(std::vector<const PlannedEngine*> aFrom,
       std::size_t aCount,
       Part aTo,
       std::vector<PartChange>& aChanges)
{
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

std::vector<PartChange>
PlanParts(std::span<const PlannedEngine> aEngines, double aNeeded)
{
  std::map<std::string, HallEngines> halls;
  for (const PlannedEngine& engine : aEngines) {
    HallEngines& hall = halls[engine.m_hall];
    const bool reads = engine.m_part == Part::Prefill;
    (reads ? hall.m_reading : hall.m_generating).push_back(&engine);
  }
  std::vector<PartChange> out;
  for (const auto& [name, hall] : halls) {
    const std::size_t now = hall.m_generating.size();
    const std::size_t least = GeneratingIn(hall.Size(), aEngines.size(), aNeeded);
    const std::size_t most =
      GeneratingIn(hall.Size(), aEngines.size(), aNeeded * kShrinkMargin);
    if (now < least) {
      Change(hall.m_reading, least - now, Part::Generate, out);
    } else if (now > most) {
      Change(hall.m_generating, now - most, Part::Prefill, out);
    }
  }
  return out;
}

} // namespace ridgeferry::relay
