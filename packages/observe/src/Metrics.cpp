#include "ridgeferry/observe/Metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <set>
#include <sstream>

namespace ridgeferry::observe {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> kQuantiles = { 0.5, 0.95, 0.99 };
constexpr std::string_view kPrefix = "ridgeferry_";

using Accumulator = acc::accumulator_set<
  double,
  acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

std::string_view
BaseName(std::string_view aName)
{
  return aName.substr(0, aName.find('{'));
}

/** The labels without braces; empty if there are none. */
std::string_view
LabelsPart(std::string_view aName)
{
  const std::size_t open = aName.find('{');
  if (open == std::string_view::npos) {
    return {};
  }
  return aName.substr(open + 1, aName.size() - open - 2);
}

void
WriteType(std::ostream& aOut,
          std::set<std::string, std::less<>>& aDone,
          std::string_view aName,
          std::string_view aType)
{
  const std::string base(BaseName(aName));
  if (aDone.insert(base).second) {
    aOut << "# TYPE " << kPrefix << base << ' ' << aType << '\n';
  }
}

} // namespace

struct Metrics::Summary
{
  Accumulator m_values{ acc::extended_p_square_probabilities = kQuantiles };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void
Metrics::Count(std::string_view aName, std::uint64_t aBy)
{
  const auto it = m_counters.find(aName);
  if (it != m_counters.end()) {
    it->second += aBy;
    return;
  }
  m_counters.emplace(aName, aBy);
}

void
Metrics::Set(std::string_view aName, double aValue)
{
  m_gauges.insert_or_assign(std::string(aName), aValue);
}

void
Metrics::Observe(std::string_view aName, double aValue)
{
  auto it = m_summaries.find(aName);
  if (it == m_summaries.end()) {
    it = m_summaries.emplace(aName, std::make_unique<Summary>()).first;
  }
  it->second->m_values(aValue);
}

std::string
Metrics::Expose() const
{
  std::ostringstream out;
  std::set<std::string, std::less<>> typed;
  for (const auto& [name, value] : m_counters) {
    WriteType(out, typed, name, "counter");
    out << kPrefix << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : m_gauges) {
    WriteType(out, typed, name, "gauge");
    out << kPrefix << name << ' ' << value << '\n';
  }
  for (const auto& [name, summary] : m_summaries) {
    WriteType(out, typed, name, "summary");
    const std::string_view base = BaseName(name);
    const std::string_view labels = LabelsPart(name);
    const std::string comma = labels.empty() ? "" : ",";
    const std::string braces =
      labels.empty() ? "" : "{" + std::string(labels) + "}";
    const auto heights = acc::extended_p_square(summary->m_values);
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      out << kPrefix << base << '{' << labels << comma << "quantile=\""
          << kQuantiles[i] << "\"} " << heights[static_cast<std::ptrdiff_t>(i)]
          << '\n';
    }
    out << kPrefix << base << "_sum" << braces << ' '
        << acc::sum(summary->m_values) << '\n';
    out << kPrefix << base << "_count" << braces << ' '
        << acc::count(summary->m_values) << '\n';
  }
  return out.str();
}

std::string
WithLabel(std::string_view aName,
          std::string_view aLabel,
          std::string_view aValue)
{
  return WithLabels(aName, { { aLabel, aValue } });
}

std::string
WithLabels(std::string_view aName, std::initializer_list<Label> aLabels)
{
  std::string out(aName);
  char before = '{';
  for (const Label& label : aLabels) {
    out += before;
    out += label.m_name;
    out += "=\"";
    for (char c : label.m_value) {
      if (c == '"' || c == '\\') {
        out += '\\';
      }
      out += c == '\n' ? ' ' : c;
    }
    out += '"';
    before = ',';
  }
  return out + '}';
}

} // namespace ridgeferry::observe
