#include "ridgeferry/limits/DemandShares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ridgeferry::limits {

namespace {

/** Time constant over which calls are counted. */
constexpr Duration kMemory{ 2000 };
/** Least demand that an instance counts with, as a share of the mean, so that
 * one whose callers come back is not without a share. */
constexpr double kLeastOfMean = 0.1;

double
Decay(Duration aAge)
{
  return std::exp(-static_cast<double>(aAge.count()) /
                  static_cast<double>(kMemory.count()));
}

} // namespace

void
DemandShares::NoteCall(ServiceHash aService, Instant aNow)
{
  const double perCall = 1.0 / std::chrono::duration<double>(kMemory).count();
  Rate& rate = m_own.try_emplace(aService, Rate{ 0, aNow }).first->second;
  rate.m_perSecond = rate.m_perSecond * Decay(aNow - rate.m_at) + perCall;
  rate.m_at = aNow;
}

double
DemandShares::OwnDemand(ServiceHash aService, Instant aNow) const
{
  const auto found = m_own.find(aService);
  return found == m_own.end()
           ? 0
           : found->second.m_perSecond * Decay(aNow - found->second.m_at);
}

void
DemandShares::SetPeer(const std::string& aPeer,
                      std::vector<ServiceDemand> aDemands)
{
  if (aDemands.empty()) {
    m_peers.erase(aPeer);
  } else {
    m_peers[aPeer] = std::move(aDemands);
  }
}

double
DemandShares::ShareOf(ServiceHash aService,
                      std::size_t aInstances,
                      Instant aNow) const
{
  const double own = OwnDemand(aService, aNow);
  std::vector<double> known{ own };
  for (const auto& [peer, demands] : m_peers) {
    for (const ServiceDemand& demand : demands) {
      if (demand.m_service == aService) {
        known.push_back(demand.m_perSecond);
      }
    }
  }
  double sum = 0;
  for (const double demand : known) {
    sum += demand;
  }
  const double mean = sum / static_cast<double>(known.size());
  if (mean <= 0) {
    return 1.0 / static_cast<double>(std::max(known.size(), aInstances));
  }
  const double least = kLeastOfMean * mean;
  double all = 0;
  for (const double demand : known) {
    all += std::max(demand, least);
  }
  if (aInstances > known.size()) {
    all += mean * static_cast<double>(aInstances - known.size());
  }
  return std::max(own, least) / all;
}

} // namespace ridgeferry::limits
