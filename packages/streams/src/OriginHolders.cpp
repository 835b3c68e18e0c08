#include "ridgeferry/streams/OriginHolders.h"

#include <algorithm>
#include <map>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::streams {

namespace {

using Ranked = std::vector<const Holder*>;

/** The instances of each data centre, the first by rank first. */
std::map<std::string_view, Ranked>
RankByDataCentre(const StreamKey& aKey, std::span<const Holder> aOthers)
{
  std::map<std::string_view, Ranked> out;
  for (const Holder& holder : aOthers) {
    out[holder.m_dataCentre].push_back(&holder);
  }
  const auto weight = [&](const Holder* aHolder) {
    return RendezvousWeight(aKey.m_hash, aHolder->m_hash);
  };
  for (auto& [dataCentre, holders] : out) {
    std::sort(holders.begin(),
              holders.end(),
              [&](const Holder* aLeft, const Holder* aRight) {
                return weight(aLeft) > weight(aRight);
              });
  }
  return out;
}

/** Appends the addresses of the first that are not leaving. */
void
AppendFirst(const Ranked& aRanked,
            std::size_t aCount,
            std::vector<std::string>& aOut)
{
  std::size_t count = 0;
  for (const Holder* holder : aRanked) {
    if (count == aCount) {
      return;
    }
    if (!holder->m_isLeaving) {
      aOut.emplace_back(holder->m_address);
      ++count;
    }
  }
}

} // namespace

std::vector<std::string>
HoldersToTell(const StreamKey& aKey,
              std::string_view aDataCentre,
              std::span<const Holder> aOthers)
{
  const auto ranked = RankByDataCentre(aKey, aOthers);
  std::vector<std::string> out;
  std::string_view far;
  std::uint64_t heaviest = 0;
  for (const auto& [dataCentre, holders] : ranked) {
    if (dataCentre == aDataCentre) {
      AppendFirst(holders, kNear, out);
      continue;
    }
    const std::uint64_t weight =
      RendezvousWeight(aKey.m_hash, Hash64(dataCentre));
    if (far.empty() || weight > heaviest) {
      far = dataCentre;
      heaviest = weight;
    }
  }
  if (!far.empty()) {
    AppendFirst(ranked.at(far), kFar, out);
  }
  return out;
}

std::vector<std::string>
HoldersToAsk(const StreamKey& aKey, std::span<const Holder> aOthers)
{
  std::vector<std::string> out;
  for (const auto& [dataCentre, holders] : RankByDataCentre(aKey, aOthers)) {
    std::size_t staying = 0;
    for (const Holder* holder : holders) {
      if (staying > kNear) {
        break;
      }
      out.emplace_back(holder->m_address);
      staying += holder->m_isLeaving ? 0 : 1;
    }
  }
  return out;
}

} // namespace ridgeferry::streams
