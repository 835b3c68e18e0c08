#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace ridgeferry::observe {

/**
 * Counters, gauges and summaries, served as text in the usual exposition
 * format. A name may carry labels: `calls_total{class="urgent"}`.
 * Not thread-safe.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Count(std::string_view aName, std::uint64_t aBy = 1);
  void Set(std::string_view aName, double aValue);
  /** Adds one observation to a summary with quantiles 0.5, 0.95 and 0.99. */
  void Observe(std::string_view aName, double aValue);

  std::string Expose() const;

private:
  struct Summary;

  std::map<std::string, std::uint64_t, std::less<>> m_counters;
  std::map<std::string, double, std::less<>> m_gauges;
  std::map<std::string, std::unique_ptr<Summary>, std::less<>> m_summaries;
};

/** `NAME{LABEL="VALUE"}` with the value escaped. */
std::string
WithLabel(std::string_view aName,
          std::string_view aLabel,
          std::string_view aValue);

/** One label of a metric. */
struct Label
{
  std::string_view m_name;
  std::string_view m_value;
};

/** `NAME{LABEL="VALUE",...}` with the values escaped. Precondition: there is a
 * label. */
std::string
WithLabels(std::string_view aName, std::initializer_list<Label> aLabels);

} // namespace ridgeferry::observe
