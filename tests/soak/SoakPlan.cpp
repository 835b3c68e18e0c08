#include "SoakPlan.h"

#include <algorithm>
#include <array>
#include <random>

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

/** On average one fault begins in that time, so that several overlap. */
constexpr Duration kBetween{ 450 };

const KindTerms&
TermsOf(FaultKind aKind)
{
  return *std::find_if(
    kKinds.begin(), kKinds.end(), [aKind](const KindTerms& aTerms) {
      return aTerms.m_kind == aKind;
    });
}

} // namespace

std::string
NameOf(FaultKind aKind)
{
  return TermsOf(aKind).m_name;
}

std::vector<Fault>
MakePlan(std::uint64_t aSeed, Duration aLength)
{
  std::mt19937_64 random(aSeed);
  std::vector<double> weights;
  weights.reserve(kKinds.size());
  for (const KindTerms& terms : kKinds) {
    weights.push_back(terms.m_weight);
  }
  std::discrete_distribution<std::size_t> kinds(weights.begin(), weights.end());
  std::uniform_int_distribution<std::int64_t> at(0, aLength.count());
  std::uniform_int_distribution<std::size_t> target;
  std::vector<Fault> out;
  for (Duration::rep i = 0; i < aLength / kBetween; ++i) {
    const KindTerms& terms = kKinds.at(kinds(random));
    std::uniform_int_distribution<int> lasts(terms.m_leastMs, terms.m_mostMs);
    Fault fault;
    fault.m_kind = terms.m_kind;
    fault.m_at = Duration(at(random));
    fault.m_for = Duration(lasts(random));
    fault.m_target = target(random);
    out.push_back(fault);
  }
  std::sort(
    out.begin(), out.end(), [](const Fault& aLeft, const Fault& aRight) {
      return aLeft.m_at < aRight.m_at;
    });
  return out;
}

} // namespace ridgeferry::soak
