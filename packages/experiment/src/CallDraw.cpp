// The calls of a seed.

#include "FleetModel.h"

#include <algorithm>
#include <cmath>

namespace ridgeferry::experiment {

namespace {

constexpr Moment kSecond = 1000;
/** Keys of the chains of different kinds are that far apart. */
constexpr std::uint64_t kMostChains = 1'000'000'000;

/** Times by how much a kind's rate is raised at a moment. */
double
RateFactor(const Scenario& aScenario, const std::string& aCall, Moment aAt)
{
  double factor = 1;
  for (const Peak& peak : aScenario.m_peaks) {
    const auto from = static_cast<Moment>(peak.m_at.count());
    const auto to = from + static_cast<Moment>(peak.m_for.count());
    if (peak.m_call == aCall && aAt >= from && aAt < to) {
      factor = std::max(factor, peak.m_times);
    }
  }
  return factor;
}

double
MostFactor(const Scenario& aScenario, const std::string& aCall)
{
  double factor = 1;
  for (const Peak& peak : aScenario.m_peaks) {
    if (peak.m_call == aCall) {
      factor = std::max(factor, peak.m_times);
    }
  }
  return factor;
}

/** Around the mean: sizes spread, and none is twice as large. */
std::int64_t
DrawSize(std::int64_t aMean, std::mt19937_64& aRandom)
{
  constexpr double kLeast = 0.2;
  constexpr double kMost = 1.8;
  std::uniform_real_distribution<double> times(kLeast, kMost);
  return std::max<std::int64_t>(
    1, std::llround(static_cast<double>(aMean) * times(aRandom)));
}

} // namespace

std::deque<ModelCall>
DrawCalls(const Scenario& aScenario, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::deque<ModelCall> out;
  const auto length = static_cast<Moment>(aScenario.m_length.count());
  for (std::size_t kind = 0; kind < aScenario.m_calls.size(); ++kind) {
    const CallTerms& terms = aScenario.m_calls[kind];
    const double most = MostFactor(aScenario, terms.m_name);
    if (terms.m_perSecond <= 0) {
      continue;
    }
    std::exponential_distribution<Moment> gap(terms.m_perSecond * most /
                                              kSecond);
    std::uniform_real_distribution<double> unit(0, 1);
    std::uniform_int_distribution<std::uint64_t> chain(
      1, static_cast<std::uint64_t>(terms.m_chains));
    std::uniform_int_distribution<std::size_t> instance(
      0, static_cast<std::size_t>(aScenario.m_instances) - 1);
    for (Moment at = gap(random); at < length; at += gap(random)) {
      // Of the calls at the highest rate, those of the present one.
      if (unit(random) * most > RateFactor(aScenario, terms.m_name, at)) {
        continue;
      }
      ModelCall call;
      call.m_kind = kind;
      call.m_chain =
        terms.m_chainTokens == 0 ? 0 : (kind + 1) * kMostChains + chain(random);
      call.m_ownTokens = DrawSize(terms.m_ownTokens, random);
      call.m_outTokens = DrawSize(terms.m_outTokens, random);
      call.m_firstAt = at;
      call.m_instance = instance(random);
      out.push_back(std::move(call));
    }
  }
  return out;
}

} // namespace ridgeferry::experiment
