#include "ridgeferry/relay/DataCentreLoads.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace ridgeferry::relay {

void
DataCentreLoads::Set(const std::string& aInstance, std::vector<PeerLoad> aLoads)
{
  if (aLoads.empty()) {
    m_loads.erase(aInstance);
  } else {
    m_loads[aInstance] = std::move(aLoads);
  }
}

std::vector<PeerLoad>
DataCentreLoads::Sum(std::span<const PeerLoad> aOwn, std::size_t aMost) const
{
  std::unordered_map<std::uint32_t, PeerLoad> sums;
  const auto add = [&sums](std::span<const PeerLoad> aLoads) {
    for (const PeerLoad& load : aLoads) {
      PeerLoad& sum = sums[load.m_member];
      sum.m_member = load.m_member;
      sum.m_running += load.m_running;
      sum.m_tokens += load.m_tokens;
    }
  };
  add(aOwn);
  for (const auto& [instance, loads] : m_loads) {
    add(loads);
  }
  std::vector<PeerLoad> out;
  out.reserve(sums.size());
  for (const auto& [member, sum] : sums) {
    out.push_back(sum);
  }
  std::sort(out.begin(), out.end(), [](const auto& aLeft, const auto& aRight) {
    return std::tie(aLeft.m_tokens, aLeft.m_running, aLeft.m_member) >
           std::tie(aRight.m_tokens, aRight.m_running, aRight.m_member);
  });
  out.resize(std::min(out.size(), aMost));
  return out;
}

} // namespace ridgeferry::relay
