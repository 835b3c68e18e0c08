#include "PaceDigests.h"

#include <algorithm>

namespace ridgeferry::protocol {

void
SetPaces(wire::Heartbeat& aOut, const membership::Heartbeat& aMessage)
{
  if (aMessage.m_paces.empty()) {
    return;
  }
  std::vector<std::int32_t> upstreams;
  std::vector<std::int32_t> changes;
  std::vector<std::int32_t> levels;
  std::vector<std::int32_t> ages;
  for (const membership::PaceDigest& digest : aMessage.m_paces) {
    upstreams.push_back(static_cast<std::int32_t>(digest.m_upstream));
    changes.push_back(static_cast<std::int32_t>(digest.m_change));
    levels.push_back(digest.m_level);
    ages.push_back(digest.m_ageMs);
  }
  aOut.__set_startedUpstreams(upstreams);
  aOut.__set_paceChanges(changes);
  aOut.__set_paceLevels(levels);
  aOut.__set_paceAges(ages);
}

bool
TakePaces(const wire::Heartbeat& aIn, membership::Heartbeat& aOut)
{
  const std::size_t count = aIn.startedUpstreams.size();
  if (aIn.paceChanges.size() != count || aIn.paceLevels.size() != count ||
      aIn.paceAges.size() != count) {
    return false;
  }
  for (std::size_t i = 0; i < count; ++i) {
    aOut.m_paces.push_back(
      { static_cast<std::uint32_t>(aIn.startedUpstreams[i]),
        static_cast<std::uint32_t>(aIn.paceChanges[i]),
        aIn.paceLevels[i],
        std::max(0, aIn.paceAges[i]) });
  }
  return true;
}

} // namespace ridgeferry::protocol
