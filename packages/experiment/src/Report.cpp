#include "ridgeferry/experiment/Report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace ridgeferry::experiment {

namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 360;
constexpr double kMargin = 50;
constexpr std::array kColours{ "steelblue", "darkorange", "seagreen" };

/** Runs of one policy after the other. */
std::vector<std::span<const Outcome>>
ByPolicy(std::span<const Outcome> aOutcomes)
{
  std::vector<std::span<const Outcome>> out;
  for (std::size_t from = 0; from < aOutcomes.size();) {
    std::size_t to = from;
    while (to < aOutcomes.size() &&
           aOutcomes[to].m_policy == aOutcomes[from].m_policy) {
      ++to;
    }
    out.push_back(aOutcomes.subspan(from, to - from));
    from = to;
  }
  return out;
}

/** The mean over runs of what `aOf` tells of each. */
template<typename Of>
double
Mean(std::span<const Outcome> aRuns, Of aOf)
{
  double sum = 0;
  for (const Outcome& run : aRuns) {
    sum += aOf(run);
  }
  return aRuns.empty() ? 0 : sum / static_cast<double>(aRuns.size());
}

double
ShareOf(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

void
WriteKindRow(std::ostream& aOut,
             std::span<const Outcome> aRuns,
             std::size_t aKind)
{
  const auto share = [&](std::int64_t KindOutcome::*aField) {
    return Mean(aRuns, [&](const Outcome& aRun) {
      const KindOutcome& kind = aRun.m_kinds[aKind];
      return ShareOf(kind.*aField, kind.m_offered);
    });
  };
  const auto ms = [&](double KindOutcome::*aField) {
    return Mean(
      aRuns, [&](const Outcome& aRun) { return aRun.m_kinds[aKind].*aField; });
  };
  aOut << std::left << std::setw(10) << NameOf(aRuns[0].m_policy)
       << std::setw(18) << aRuns[0].m_kinds[aKind].m_name << std::right
       << std::fixed << std::setprecision(3) << std::setw(8)
       << share(&KindOutcome::m_inAim) << std::setw(8)
       << share(&KindOutcome::m_late) << std::setw(9)
       << share(&KindOutcome::m_refused) << std::setw(8)
       << share(&KindOutcome::m_lost) << std::setprecision(1) << std::setw(9)
       << ms(&KindOutcome::m_firstTokenP50) << std::setw(9)
       << ms(&KindOutcome::m_firstTokenP99) << "\n";
}

/** Served shares by size of a kind; the tokens are of the first run. */
void
WriteSizeRow(std::ostream& aOut,
             std::span<const Outcome> aRuns,
             std::size_t aKind)
{
  aOut << std::left << std::setw(10) << NameOf(aRuns[0].m_policy)
       << std::setw(18) << aRuns[0].m_kinds[aKind].m_name << std::right
       << std::fixed << std::setprecision(2);
  for (std::size_t band = 0; band < kSizeBands; ++band) {
    aOut << std::setw(6) << Mean(aRuns, [&](const Outcome& aRun) {
      return aRun.m_kinds[aKind].m_sizes.at(band).ServedShare();
    });
  }
  aOut << "\n";
}

nlohmann::json
SizesOf(const KindOutcome& aKind)
{
  nlohmann::json out = nlohmann::json::array();
  for (const SizeOutcome& band : aKind.m_sizes) {
    out.push_back({ { "leastTokens", band.m_leastTokens },
                    { "offered", band.m_offered },
                    { "inAim", band.m_inAim },
                    { "late", band.m_late },
                    { "refused", band.m_refused } });
  }
  return out;
}

} // namespace

std::string
JsonLine(const Scenario& aScenario, const Outcome& aOutcome)
{
  nlohmann::json kinds = nlohmann::json::array();
  for (const KindOutcome& kind : aOutcome.m_kinds) {
    kinds.push_back({ { "name", kind.m_name },
                      { "offered", kind.m_offered },
                      { "inAim", kind.m_inAim },
                      { "late", kind.m_late },
                      { "refused", kind.m_refused },
                      { "lost", kind.m_lost },
                      { "firstTokenP50Ms", kind.m_firstTokenP50 },
                      { "firstTokenP99Ms", kind.m_firstTokenP99 },
                      { "sizes", SizesOf(kind) } });
  }
  return nlohmann::json{
    { "scenario", aScenario.m_name },
    { "policy", NameOf(aOutcome.m_policy) },
    { "seed", aOutcome.m_seed },
    { "inAimShare", aOutcome.Share() },
    { "bound", aOutcome.m_bound },
    { "readTokens", aOutcome.m_readTokens },
    { "keptTokens", aOutcome.m_keptTokens },
    { "kinds", std::move(kinds) }
  }.dump();
}

std::string
TableOf(const Scenario& aScenario, std::span<const Outcome> aOutcomes)
{
  std::ostringstream out;
  out << aScenario.m_name << ": shares of the calls, means over "
      << (aOutcomes.empty() ? 0 : ByPolicy(aOutcomes)[0].size())
      << " seeds; first token in ms\n"
      << "policy    kind                in aim    late  refused    lost"
         "      p50      p99\n";
  const auto policies = ByPolicy(aOutcomes);
  for (const auto& runs : policies) {
    for (std::size_t kind = 0; kind < runs[0].m_kinds.size(); ++kind) {
      WriteKindRow(out, runs, kind);
    }
  }
  out << "\nserved, by tenths of the prompts' sizes, the smallest first\n";
  for (const auto& runs : policies) {
    for (std::size_t kind = 0; kind < runs[0].m_kinds.size(); ++kind) {
      WriteSizeRow(out, runs, kind);
    }
  }
  out << "\npolicy    in aim   bound   kept   against " +
           (policies.empty() ? std::string()
                             : std::string(NameOf(policies[0][0].m_policy))) +
           " (95% interval)\n";
  for (const auto& runs : policies) {
    const Comparison against = Compare(runs, policies[0]);
    const double share =
      Mean(runs, [](const Outcome& aRun) { return aRun.Share(); });
    const double bound =
      Mean(runs, [](const Outcome& aRun) { return aRun.m_bound; });
    const double kept = Mean(runs, [](const Outcome& aRun) {
      return ShareOf(aRun.m_keptTokens, aRun.m_keptTokens + aRun.m_readTokens);
    });
    out << std::left << std::setw(10) << NameOf(runs[0].m_policy) << std::right
        << std::fixed << std::setprecision(3) << std::setw(6) << share
        << std::setw(8) << bound << std::setw(7) << kept << "   "
        << std::showpos << against.m_mean << std::noshowpos << " +- "
        << against.m_halfWidth << "\n";
  }
  return out.str();
}

std::string
PlotOf(const Scenario& aScenario, std::span<const Outcome> aOutcomes)
{
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      << "<text x=\"" << kMargin << "\" y=\"20\">" << aScenario.m_name
      << ": share in aim, by second; grey: offered calls</text>\n";
  if (aOutcomes.empty()) {
    return out.str() + "</svg>\n";
  }
  const auto seconds = aOutcomes[0].m_seconds.size();
  const double step = (kWidth - 2 * kMargin) /
                      static_cast<double>(std::max<std::size_t>(1, seconds));
  const double high = kHeight - 2 * kMargin;
  const auto policies = ByPolicy(aOutcomes);
  double most = 1;
  for (const SecondOutcome& second : aOutcomes[0].m_seconds) {
    most = std::max(most, static_cast<double>(second.m_offered));
  }
  for (std::size_t i = 0; i < seconds; ++i) {
    const double tall =
      high * static_cast<double>(aOutcomes[0].m_seconds[i].m_offered) / most;
    out << "<rect x=\"" << kMargin + step * static_cast<double>(i) << "\" y=\""
        << kHeight - kMargin - tall << "\" width=\"" << step * 0.9
        << "\" height=\"" << tall << "\" fill=\"lightgrey\"/>\n";
  }
  for (std::size_t policy = 0; policy < policies.size(); ++policy) {
    const char* colour = kColours.at(policy % kColours.size());
    out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour
        << "\" points=\"";
    for (std::size_t i = 0; i < seconds; ++i) {
      const double share = Mean(policies[policy], [i](const Outcome& aRun) {
        return ShareOf(aRun.m_seconds[i].m_inAim, aRun.m_seconds[i].m_offered);
      });
      out << kMargin + step * (static_cast<double>(i) + 0.5) << ','
          << kHeight - kMargin - high * share << ' ';
    }
    out << "\"/>\n<text fill=\"" << colour << "\" x=\""
        << kMargin + 100 * static_cast<double>(policy) << "\" y=\""
        << kHeight - 15 << "\">" << NameOf(policies[policy][0].m_policy)
        << "</text>\n";
  }
  out << "<path fill=\"none\" stroke=\"black\" d=\"M" << kMargin << ' '
      << kMargin << " V" << kHeight - kMargin << " H" << kWidth - kMargin
      << "\"/>\n<text x=\"10\" y=\"" << kMargin << "\">1.0</text>\n</svg>\n";
  return out.str();
}

} // namespace ridgeferry::experiment
