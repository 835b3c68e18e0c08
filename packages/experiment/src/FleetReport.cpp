// What became of the calls of a run, and what could have become of them.

#include "FleetModel.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>

namespace ridgeferry::experiment {

namespace {

namespace acc = boost::accumulators;

using Quantiles =
  acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

/** Spans of the bound, in ms: the longest that a call can be moved by. */
constexpr Moment kBoundSpan = 500;
constexpr Moment kSecond = 1000;

} // namespace

double
FleetModel::Bound() const
{
  std::map<std::int64_t, std::pair<double, std::int64_t>> spans;
  for (const ModelCall& call : m_calls) {
    auto& [tokens, calls] =
      spans[static_cast<std::int64_t>(call.m_firstAt / kBoundSpan)];
    tokens += static_cast<double>(call.m_ownTokens);
    ++calls;
  }
  constexpr double kGeneratorPace = 0.5;
  const double pace =
    m_scenario.m_engine.m_readTokensPerMs *
    (static_cast<double>(m_scenario.m_readers) +
     kGeneratorPace * static_cast<double>(m_scenario.m_generators));
  double possible = 0;
  for (const auto& [span, demand] : spans) {
    const auto& [tokens, calls] = demand;
    const double fits = std::min(1.0, pace * kBoundSpan / tokens);
    possible += fits * static_cast<double>(calls);
  }
  return m_calls.empty() ? 1 : possible / static_cast<double>(m_calls.size());
}

Outcome
FleetModel::Report() const
{
  Outcome out;
  out.m_policy = m_policy;
  out.m_seed = m_seed;
  out.m_bound = Bound();
  std::vector<Quantiles> p50s;
  std::vector<Quantiles> p99s;
  for (const CallTerms& terms : m_scenario.m_calls) {
    out.m_kinds.push_back({ terms.m_name });
    p50s.emplace_back(acc::quantile_probability = kMedian);
    p99s.emplace_back(acc::quantile_probability = kTail);
  }
  const auto seconds = static_cast<std::size_t>(
    std::ceil(static_cast<Moment>(m_scenario.m_length.count()) / kSecond));
  out.m_seconds.resize(std::max<std::size_t>(1, seconds));
  for (const ModelCall& call : m_calls) {
    KindOutcome& kind = out.m_kinds[call.m_kind];
    auto& second = out.m_seconds[std::min(
      out.m_seconds.size() - 1,
      static_cast<std::size_t>(call.m_firstAt / kSecond))];
    ++kind.m_offered;
    ++second.m_offered;
    const bool whole = call.m_done && call.m_firstToken;
    if (whole) {
      const Moment took = *call.m_firstToken - call.m_firstAt;
      p50s[call.m_kind](took);
      p99s[call.m_kind](took);
      const bool inAim =
        !call.m_paused &&
        took <= static_cast<Moment>(TermsOf(call).m_aim.count());
      ++(inAim ? kind.m_inAim : kind.m_late);
      second.m_inAim += inAim ? 1 : 0;
    } else {
      ++(call.m_done ? kind.m_refused : kind.m_lost);
    }
  }
  for (std::size_t i = 0; i < out.m_kinds.size(); ++i) {
    KindOutcome& kind = out.m_kinds[i];
    if (kind.m_inAim + kind.m_late > 0) {
      kind.m_firstTokenP50 = acc::p_square_quantile(p50s[i]);
      kind.m_firstTokenP99 = acc::p_square_quantile(p99s[i]);
    }
  }
  for (const Engine& engine : m_engines) {
    out.m_readTokens += engine.m_model->Totals().m_read;
    out.m_keptTokens += engine.m_model->Totals().m_kept;
  }
  return out;
}

} // namespace ridgeferry::experiment
