#include "ridgeferry/experiment/Experiment.h"

#include "FleetModel.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <cmath>
#include <numeric>

namespace ridgeferry::experiment {

namespace {

struct PolicyName
{
  Policy m_policy;
  std::string_view m_name;
};

constexpr std::array kPolicies{ PolicyName{ Policy::Homes, "homes" },
                                PolicyName{ Policy::NoHomes, "no-homes" },
                                PolicyName{ Policy::Random, "random" } };

/** 1 of nothing. */
double
ShareOf(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole == 0 ? 1
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

} // namespace

std::string_view
NameOf(Policy aPolicy)
{
  for (const PolicyName& item : kPolicies) {
    if (item.m_policy == aPolicy) {
      return item.m_name;
    }
  }
  return {};
}

std::optional<Policy>
PolicyNamed(std::string_view aName)
{
  for (const PolicyName& item : kPolicies) {
    if (item.m_name == aName) {
      return item.m_policy;
    }
  }
  return std::nullopt;
}

double
SizeOutcome::ServedShare() const
{
  return ShareOf(m_inAim + m_late, m_offered);
}

double
KindOutcome::ServedShare() const
{
  return ShareOf(m_inAim + m_late, m_offered);
}

std::int64_t
Outcome::Offered() const
{
  return std::accumulate(m_kinds.begin(),
                         m_kinds.end(),
                         std::int64_t{ 0 },
                         [](std::int64_t aSum, const KindOutcome& aKind) {
                           return aSum + aKind.m_offered;
                         });
}

std::int64_t
Outcome::InAim() const
{
  return std::accumulate(m_kinds.begin(),
                         m_kinds.end(),
                         std::int64_t{ 0 },
                         [](std::int64_t aSum, const KindOutcome& aKind) {
                           return aSum + aKind.m_inAim;
                         });
}

double
Outcome::Share() const
{
  return ShareOf(InAim(), Offered());
}

Outcome
RunScenario(const Scenario& aScenario, Policy aPolicy, std::uint64_t aSeed)
{
  return FleetModel(aScenario, aPolicy, aSeed).Run();
}

Comparison
Compare(std::span<const Outcome> aOne, std::span<const Outcome> aOther)
{
  namespace acc = boost::accumulators;
  constexpr double kNormal95 = 1.96;
  acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::variance>>
    differences;
  for (std::size_t i = 0; i < aOne.size(); ++i) {
    differences(aOne[i].Share() - aOther[i].Share());
  }
  Comparison out;
  out.m_mean = acc::mean(differences);
  const auto count = static_cast<double>(aOne.size());
  if (count > 1) {
    // The accumulator's variance is that of the sample itself.
    const double variance = acc::variance(differences) * count / (count - 1);
    out.m_halfWidth = kNormal95 * std::sqrt(variance / count);
  }
  return out;
}

} // namespace ridgeferry::experiment
