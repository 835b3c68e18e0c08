#include "ridgeferry/membership/ForwardTarget.h"

#include <algorithm>
#include <vector>

namespace ridgeferry::membership {

namespace {

/** How many times as many calls an instance of the own data centre may have
 * under way as one of another: bytes between data centres have a price. */
constexpr double kOtherDataCentre = 1.5;
/** Divisor that derives a second draw from a random number: a prime greater
 * than the number of instances. */
constexpr std::uint64_t kNextDraw = 1'000'003;

bool
MayTake(const std::string& aName,
        const PeerView& aPeer,
        const ForwardRequest& aRequest)
{
  const Heartbeat& last = aPeer.m_last;
  const auto& cut = last.m_unreachableServices;
  const auto& excluded = aRequest.m_excluded;
  return aPeer.m_alive && last.m_ready && !last.m_leaving &&
         std::find(cut.begin(), cut.end(), aRequest.m_service) == cut.end() &&
         std::find(excluded.begin(), excluded.end(), aName) == excluded.end();
}

bool
HasReadConfig(const PeerView& aPeer, const ForwardRequest& aRequest)
{
  const auto& view = aPeer.m_last.m_store;
  return view && view->m_config >= aRequest.m_config;
}

double
CostOf(const PeerView& aPeer, const ForwardRequest& aRequest)
{
  const bool isOther = aPeer.m_last.m_dataCentre != aRequest.m_dataCentre;
  return (aPeer.m_last.m_runningCalls + 1) * (isOther ? kOtherDataCentre : 1);
}

} // namespace

std::optional<std::string>
PickForwardTarget(const std::map<std::string, PeerView, std::less<>>& aPeers,
                  const ForwardRequest& aRequest)
{
  std::vector<std::pair<std::string_view, const PeerView*>> candidates;
  for (const auto& [name, peer] : aPeers) {
    if (MayTake(name, peer, aRequest)) {
      candidates.emplace_back(name, &peer);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto behind = std::stable_partition(
    candidates.begin(), candidates.end(), [&](const auto& aCandidate) {
      return HasReadConfig(*aCandidate.second, aRequest);
    });
  if (behind != candidates.begin()) {
    candidates.erase(behind, candidates.end());
  }
  const std::size_t count = candidates.size();
  const auto& first = candidates[aRequest.m_random % count];
  const auto& second = candidates[aRequest.m_random / kNextDraw % count];
  const bool isFirst =
    CostOf(*first.second, aRequest) <= CostOf(*second.second, aRequest);
  return std::string(isFirst ? first.first : second.first);
}

} // namespace ridgeferry::membership
