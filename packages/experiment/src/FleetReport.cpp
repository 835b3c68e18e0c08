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

CallEnd
FleetModel::EndOf(const ModelCall& aCall) const
{
  if (!aCall.m_done || !aCall.m_firstToken) {
    return aCall.m_done ? CallEnd::Refused : CallEnd::Lost;
  }
  const Moment took = *aCall.m_firstToken - aCall.m_firstAt;
  const bool inAim = !aCall.m_paused &&
                     took <= static_cast<Moment>(TermsOf(aCall).m_aim.count());
  return inAim ? CallEnd::InAim : CallEnd::Late;
}

std::int64_t
FleetModel::TokensOf(const ModelCall& aCall) const
{
  const CallTerms& terms = TermsOf(aCall);
  return terms.m_commonTokens + terms.m_chainTokens + aCall.m_ownTokens;
}

void
FleetModel::ReportSizes(std::size_t aKind, KindOutcome& aOut) const
{
  std::vector<const ModelCall*> calls;
  for (const ModelCall& call : m_calls) {
    if (call.m_kind == aKind) {
      calls.push_back(&call);
    }
  }
  std::stable_sort(calls.begin(),
                   calls.end(),
                   [this](const ModelCall* aLeft, const ModelCall* aRight) {
                     return TokensOf(*aLeft) < TokensOf(*aRight);
                   });
  for (std::size_t i = 0; i < calls.size(); ++i) {
    SizeOutcome& band = aOut.m_sizes.at(i * kSizeBands / calls.size());
    if (band.m_offered++ == 0) {
      band.m_leastTokens = TokensOf(*calls[i]);
    }
    const CallEnd end = EndOf(*calls[i]);
    band.m_inAim += end == CallEnd::InAim ? 1 : 0;
    band.m_late += end == CallEnd::Late ? 1 : 0;
    band.m_refused += end == CallEnd::Refused ? 1 : 0;
  }
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
    const CallEnd end = EndOf(call);
    kind.m_inAim += end == CallEnd::InAim ? 1 : 0;
    kind.m_late += end == CallEnd::Late ? 1 : 0;
    kind.m_refused += end == CallEnd::Refused ? 1 : 0;
    kind.m_lost += end == CallEnd::Lost ? 1 : 0;
    second.m_inAim += end == CallEnd::InAim ? 1 : 0;
    if (end == CallEnd::InAim || end == CallEnd::Late) {
      p50s[call.m_kind](*call.m_firstToken - call.m_firstAt);
      p99s[call.m_kind](*call.m_firstToken - call.m_firstAt);
    }
  }
  for (std::size_t i = 0; i < out.m_kinds.size(); ++i) {
    KindOutcome& kind = out.m_kinds[i];
    ReportSizes(i, kind);
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
