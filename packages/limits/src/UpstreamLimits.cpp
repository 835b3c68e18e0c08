#include "ridgeferry/limits/UpstreamLimits.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <ridgeferry/base/Hash.h>
#include <set>

namespace ridgeferry::limits {

namespace {

/** Share of a limit that the instances use together: what they know of each
 * other's demand differs for a moment. */
constexpr double kUsedShare = 0.9;
constexpr double kMsPerSecond = 1000;
/** Longest time to come back that a refused caller is told. */
constexpr Duration kMaxPromise{ 30'000 };

double
PhaseOf(std::uint64_t aSeed, UpstreamHash aUpstream)
{
  return static_cast<double>(RendezvousWeight(aSeed, aUpstream)) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

LimitChange
UpstreamLimits::Note(const LimitedUpstream& aUpstream,
                     const LimitStatement& aStatement,
                     StatedTo aTo,
                     Instant aNow)
{
  const LimitChange change =
    m_stated.Note(aUpstream.m_upstream, aStatement, aTo, aNow);
  if (!m_stated.AcceptedRate(aUpstream.m_upstream, aNow)) {
    return change;
  }
  const double phase = PhaseOf(m_seed, aUpstream.m_upstream);
  const auto paced =
    m_paced
      .try_emplace(aUpstream.m_upstream,
                   Paced{ aUpstream.m_service, 0, SendPermits(phase) })
      .first;
  if (change != LimitChange::None) {
    const double share =
      m_shares.ShareOf(aUpstream.m_service, m_instances, aNow);
    Pace(aUpstream.m_upstream, paced->second, share, aNow);
  }
  return change;
}

void
UpstreamLimits::Forget(UpstreamHash aUpstream)
{
  m_stated.Forget(aUpstream);
  m_paced.erase(aUpstream);
}

void
UpstreamLimits::Pace(UpstreamHash aUpstream,
                     Paced& aPaced,
                     double aShare,
                     Instant aNow)
{
  const auto accepted = m_stated.AcceptedRate(aUpstream, aNow);
  if (!accepted) {
    return;
  }
  aPaced.m_perSecond = kUsedShare * *accepted * aShare;
  aPaced.m_permits.SetRate(aPaced.m_perSecond, aNow);
}

void
UpstreamLimits::Tick(std::size_t aInstances, Instant aNow)
{
  m_instances = aInstances;
  if (m_paced.empty()) {
    return;
  }
  m_stated.Tick(aNow);
  std::erase_if(m_paced, [&](const auto& aEntry) {
    return !m_stated.AcceptedRate(aEntry.first, aNow);
  });
  std::map<ServiceHash, double> shares;
  for (auto& [upstream, paced] : m_paced) {
    const auto [share, isNew] = shares.try_emplace(paced.m_service, 0);
    if (isNew) {
      share->second = m_shares.ShareOf(paced.m_service, m_instances, aNow);
    }
    Pace(upstream, paced, share->second, aNow);
  }
}

Duration
UpstreamLimits::RoomIn(UpstreamHash aUpstream, bool aYields, Instant aNow) const
{
  const auto found = m_paced.find(aUpstream);
  return found == m_paced.end() ? Duration{}
                                : found->second.m_permits.RoomIn(aYields, aNow);
}

void
UpstreamLimits::Take(UpstreamHash aUpstream, Instant aNow)
{
  const auto found = m_paced.find(aUpstream);
  if (found != m_paced.end()) {
    found->second.m_permits.Take(aNow);
  }
}

Duration
UpstreamLimits::PromiseRoom(ServiceHash aService,
                            Duration aSoonest,
                            Instant aNow)
{
  double perSecond = 0;
  for (const auto& [upstream, paced] : m_paced) {
    perSecond += paced.m_service == aService ? paced.m_perSecond : 0;
  }
  if (perSecond <= 0 || aSoonest >= kMaxPromise) {
    return kMaxPromise;
  }
  const Duration each(std::llround(kMsPerSecond / perSecond));
  Instant& promised = m_promised[aService];
  promised =
    std::min(std::max(promised + each, aNow + aSoonest), aNow + kMaxPromise);
  return promised - aNow;
}

std::vector<LimitReport>
UpstreamLimits::Reports(Instant aNow) const
{
  std::vector<LimitReport> out = m_stated.Reports(aNow);
  std::sort(out.begin(),
            out.end(),
            [](const LimitReport& aLeft, const LimitReport& aRight) {
              return aLeft.m_age < aRight.m_age;
            });
  return out;
}

std::vector<ServiceDemand>
UpstreamLimits::Demands(Instant aNow) const
{
  std::set<ServiceHash> services;
  for (const auto& [upstream, paced] : m_paced) {
    services.insert(paced.m_service);
  }
  std::vector<ServiceDemand> out;
  out.reserve(services.size());
  for (const ServiceHash service : services) {
    out.push_back({ service, m_shares.OwnDemand(service, aNow) });
  }
  return out;
}

} // namespace ridgeferry::limits
