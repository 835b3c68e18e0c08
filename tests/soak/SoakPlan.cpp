#include "SoakPlan.h"

#include <algorithm>
#include <array>
#include <random>
#include <span>

namespace ridgeferry::soak {

namespace {

/** A kind of trouble: how likely it is drawn, and for how long it lasts. */
struct KindTerms
{
  FaultKind m_kind;
  const char* m_name;
  double m_weight;
  int m_leastMs;
  int m_mostMs;
};

constexpr std::array kKinds{
  KindTerms{ FaultKind::KillInstance, "kill-instance", 3, 50, 1500 },
  KindTerms{ FaultKind::PauseInstance, "pause-instance", 2, 100, 3000 },
  KindTerms{ FaultKind::StopInstance, "stop-instance", 3, 0, 0 },
  KindTerms{ FaultKind::ReloadInstance, "reload-instance", 1, 0, 0 },
  KindTerms{ FaultKind::StoreDown, "store-down", 2, 300, 4000 },
  KindTerms{ FaultKind::StoreForgets, "store-forgets", 1, 0, 0 },
  KindTerms{ FaultKind::StoreLinkHeld, "store-link-held", 1, 300, 4000 },
  KindTerms{ FaultKind::StoreLinkAnswers, "store-link-answers", 1, 300, 3000 },
  KindTerms{ FaultKind::StoreLinkDelayed, "store-link-delayed", 1, 500, 4000 },
  KindTerms{ FaultKind::StoreLinkReset, "store-link-reset", 1, 0, 0 },
  KindTerms{ FaultKind::StoreLinkSilent, "store-link-silent", 1, 0, 0 },
  KindTerms{ FaultKind::StoreLinkRefused, "store-link-refused", 1, 300, 3000 },
  KindTerms{ FaultKind::UpstreamCrash, "upstream-crash", 2, 300, 2000 },
  KindTerms{ FaultKind::UpstreamLeaves, "upstream-leaves", 3, 2500, 5000 },
  KindTerms{ FaultKind::UpstreamLinkHeld, "upstream-link-held", 1, 200, 3000 },
  KindTerms{ FaultKind::UpstreamLinkRequests,
             "upstream-link-requests",
             1,
             200,
             2000 },
  KindTerms{ FaultKind::UpstreamLinkAnswers,
             "upstream-link-answers",
             1,
             200,
             2000 },
  KindTerms{ FaultKind::UpstreamLinkDelayed,
             "upstream-link-delayed",
             1,
             500,
             3000 },
  KindTerms{ FaultKind::UpstreamLinkReset, "upstream-link-reset", 2, 0, 0 },
  KindTerms{ FaultKind::UpstreamLinkSilent, "upstream-link-silent", 2, 0, 0 },
  KindTerms{ FaultKind::UpstreamFails, "upstream-fails", 2, 500, 4000 },
  KindTerms{ FaultKind::UpstreamMute, "upstream-mute", 1, 500, 3000 },
  KindTerms{ FaultKind::UpstreamBreaks, "upstream-breaks", 2, 500, 4000 },
  KindTerms{ FaultKind::ListLapses, "list-lapses", 1, 300, 1500 },
  KindTerms{ FaultKind::ConfigChange, "config-change", 2, 0, 0 },
  KindTerms{ FaultKind::ConfigSeries, "config-series", 1, 1000, 3000 },
  KindTerms{ FaultKind::Burst, "burst", 1, 1000, 3000 },
};

/** Drawn behind the others, whose draws they leave as they are. */
constexpr std::array kManners{
  KindTerms{ FaultKind::UpstreamContradicts,
             "upstream-contradicts",
             1,
             1000,
             4000 },
  KindTerms{ FaultKind::UpstreamUnmarked, "upstream-unmarked", 1, 1000, 4000 },
  KindTerms{ FaultKind::UpstreamRunsPrompts,
             "upstream-runs-prompts",
             1,
             1000,
             4000 },
};

/** On average one fault begins in that time, so that several overlap. */
constexpr Duration kBetween{ 450 };
/** The same for manners. */
constexpr Duration kBetweenManners{ 1500 };

/** Null: the kind is not in the table. */
const KindTerms*
FindTerms(std::span<const KindTerms> aTerms, FaultKind aKind)
{
  const auto found =
    std::find_if(aTerms.begin(), aTerms.end(), [aKind](const KindTerms& aItem) {
      return aItem.m_kind == aKind;
    });
  return found == aTerms.end() ? nullptr : &*found;
}

/** Draws so many faults of the kinds in a table, some time in `aLength`. */
void
AddFaults(std::span<const KindTerms> aTerms,
          Duration::rep aCount,
          Duration aLength,
          std::mt19937_64& aRandom,
          std::vector<Fault>& aPlan)
{
  std::vector<double> weights;
  weights.reserve(aTerms.size());
  for (const KindTerms& terms : aTerms) {
    weights.push_back(terms.m_weight);
  }
  std::discrete_distribution<std::size_t> kinds(weights.begin(), weights.end());
  std::uniform_int_distribution<std::int64_t> at(0, aLength.count());
  std::uniform_int_distribution<std::size_t> target;
  for (Duration::rep i = 0; i < aCount; ++i) {
    const KindTerms& terms = aTerms[kinds(aRandom)];
    std::uniform_int_distribution<int> lasts(terms.m_leastMs, terms.m_mostMs);
    Fault fault;
    fault.m_kind = terms.m_kind;
    fault.m_at = Duration(at(aRandom));
    fault.m_for = Duration(lasts(aRandom));
    fault.m_target = target(aRandom);
    aPlan.push_back(fault);
  }
}

} // namespace

std::string
NameOf(FaultKind aKind)
{
  const KindTerms* const manner = FindTerms(kManners, aKind);
  const KindTerms* const found =
    manner != nullptr ? manner : FindTerms(kKinds, aKind);
  return found != nullptr ? found->m_name : "unknown";
}

std::vector<Fault>
MakePlan(std::uint64_t aSeed, Duration aLength)
{
  std::mt19937_64 random(aSeed);
  std::vector<Fault> out;
  AddFaults(kKinds, aLength / kBetween, aLength, random, out);
  AddFaults(kManners, aLength / kBetweenManners, aLength, random, out);
  std::sort(
    out.begin(), out.end(), [](const Fault& aLeft, const Fault& aRight) {
      return aLeft.m_at < aRight.m_at;
    });
  return out;
}

} // namespace ridgeferry::soak
