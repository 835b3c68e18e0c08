#include "ridgeferry/quarantine/ServedSegments.h"

#include <algorithm>
#include <vector>

namespace ridgeferry::quarantine {

namespace {

constexpr Duration kSweepInterval{ 1000 };

} // namespace

void
ServedSegments::Note(const PromptSegment& aSegment, Instant aNow)
{
  m_servedAt[aSegment] = aNow;
  if (m_servedAt.size() <= kMaxSegments) {
    return;
  }
  // Half of them give way at once, so that finding the oldest costs little for
  // each.
  std::vector<Instant> times;
  for (const auto& [segment, servedAt] : m_servedAt) {
    times.push_back(servedAt);
  }
  const auto middle =
    times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(m_servedAt, [oldest = *middle, aNow](const auto& aEntry) {
    return aEntry.second <= oldest && aEntry.second != aNow;
  });
  if (m_servedAt.size() > kMaxSegments) {
    m_servedAt.clear(); // All of them were served at this moment.
    m_servedAt[aSegment] = aNow;
  }
}

bool
ServedSegments::WasServedSince(const PromptSegment& aSegment,
                               Instant aSince) const
{
  const auto found = m_servedAt.find(aSegment);
  return found != m_servedAt.end() && found->second >= aSince;
}

void
ServedSegments::Tick(Instant aNow)
{
  if (aNow - m_sweptAt < kSweepInterval) {
    return;
  }
  m_sweptAt = aNow;
  std::erase_if(m_servedAt, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kMemory;
  });
}

} // namespace ridgeferry::quarantine
