#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace ridgeferry::relay {

/**
 * The throughput of an engine over its last samples, in tokens per millisecond.
 * The median is used because some samples are far off in either direction:
 * prompts of other instances were queued ahead without this instance knowing,
 * or more of the prompt was cached than this instance assumed. Not thread-safe.
 */
class MedianThroughput
{
public:
  static constexpr std::size_t kSamples = 9;

  void Note(double aThroughput)
  {
    m_samples[m_next] = aThroughput;
    m_next = (m_next + 1) % kSamples;
    m_count = std::min(m_count + 1, kSamples);
    std::array<double, kSamples> sorted = m_samples;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(m_count);
    const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(m_count / 2);
    std::nth_element(sorted.begin(), middle, end);
    m_median = *middle;
  }
  void Forget() { *this = MedianThroughput(); }
  std::size_t Count() const { return m_count; }
  /** Returns 0 before the first sample. */
  double Median() const { return m_median; }

private:
  std::array<double, kSamples> m_samples{};
  std::size_t m_next = 0;
  std::size_t m_count = 0;
  double m_median = 0;
};

} // namespace ridgeferry::relay
