#include "ridgeferry/scaling/ScalePlanner.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace ridgeferry::scaling {

namespace {

/** A count changes by this share at least, so that a load that varies a little
 * causes no orders. */
constexpr double kLeastChange = 0.1;
/** From this price on, withdrawable upstreams save too little to be worth their
 * withdrawal. */
constexpr double kTooDear = 0.8;
/** How much later than its boot time an upstream may be listed. */
constexpr Duration kBootSlack{ 1000 };
/** Lower prices count as this one. */
constexpr double kLeastPrice = 0.05;
/** The need is believed up to so many times the upstreams that serve. */
constexpr double kMostGrowth = 1.5;

std::int64_t
CeilShare(double aTotal, std::size_t aParts)
{
  return static_cast<std::int64_t>(
    std::ceil(aTotal / static_cast<double>(aParts)));
}

} // namespace

void
ScalePlanner::UpdateNeed(double aNeeded,
                         std::span<const DataCentrePool> aPools,
                         Instant aNow)
{
  std::int64_t serving = 0;
  for (const DataCentrePool& pool : aPools) {
    serving += pool.m_regular + pool.m_withdrawable;
  }
  // Calls pile up while too few upstreams serve, and then say little about how
  // many would have been enough.
  const double needed =
    std::min(aNeeded, kMostGrowth * static_cast<double>(serving));
  const auto age = static_cast<double>((aNow - m_needAt).count());
  const double kept =
    m_need * std::exp(-age / static_cast<double>(kNeedMemory.count()));
  m_need = std::max(needed, kept);
  m_needAt = aNow;
  if (aNeeded > 0 && !m_loadSince) {
    m_loadSince = aNow;
  }
}

ScalePlanner::Targets
ScalePlanner::TargetsOf(const ScaleTerms& aTerms,
                        std::span<const DataCentrePool> aPools,
                        Instant aNow)
{
  const std::size_t dataCentres = aPools.size();
  const double price = aTerms.m_withdrawablePrice;
  const double wanted = m_need * kRegularHeadroom;
  if (price >= kTooDear) {
    return { std::clamp(
               CeilShare(wanted, dataCentres), aTerms.m_least, aTerms.m_most),
             0 };
  }
  Targets out;
  out.m_regular = std::clamp(CeilShare(m_need * kRegularShare, dataCentres),
                             aTerms.m_least,
                             aTerms.m_most);
  // What is left if the platform takes away all of one data centre must do.
  const double regular =
    static_cast<double>(out.m_regular) * static_cast<double>(dataCentres);
  const auto others = std::max<std::size_t>(1, dataCentres - 1);
  const double headroom = 1 + kHeadroomSpend / std::max(price, kLeastPrice);
  out.m_withdrawable =
    std::clamp<std::int64_t>(std::max(CeilShare(m_need * headroom, dataCentres),
                                      CeilShare(wanted - regular, others)),
                             0,
                             aTerms.m_most - out.m_regular);
  out.m_regular =
    std::max(out.m_regular, RegularInPlace(aTerms, aPools, wanted, aNow));
  return out;
}

std::int64_t
ScalePlanner::RegularInPlace(const ScaleTerms& aTerms,
                             std::span<const DataCentrePool> aPools,
                             double aWanted,
                             Instant aNow)
{
  std::int64_t serving = 0;
  std::int64_t present = 0; // The most regular ones of a data centre.
  for (const DataCentrePool& pool : aPools) {
    serving += pool.m_withdrawable;
    present = std::max(present, pool.m_regular);
  }
  const std::int64_t missing =
    std::min(CeilShare(aWanted - static_cast<double>(serving), aPools.size()),
             aTerms.m_most);
  if (missing <= 0) {
    m_shortSince.reset();
    return 0;
  }
  const Instant since = m_shortSince.value_or(aNow);
  m_shortSince = since;
  const bool isLasting = aNow - since >= aTerms.m_bootTime + kRetryEvery;
  return isLasting ? missing : std::min(missing, present);
}

bool
ScalePlanner::IsDue(const ScaleTerms& aTerms,
                    const Ordered& aOrdered,
                    std::int64_t aListed,
                    std::int64_t aTarget,
                    Instant aNow) const
{
  if (aOrdered.m_open || aNow < aOrdered.m_notBefore) {
    return false;
  }
  const std::int64_t present = aOrdered.m_desired.value_or(aListed);
  const auto least = std::max<std::int64_t>(
    1,
    std::llround(kLeastChange *
                 static_cast<double>(std::max(present, aTarget))));
  if (aTarget - present >= least) {
    return true;
  }
  const bool isKnown = m_loadSince && aNow - *m_loadSince >= kObservation;
  if (present - aTarget >= least) {
    return isKnown;
  }
  // What was ordered has not come, or was taken away.
  const bool isMissing = aOrdered.m_desired && aListed < *aOrdered.m_desired;
  return isMissing &&
         aNow - aOrdered.m_acceptedAt >= aTerms.m_bootTime + kBootSlack;
}

std::int64_t
ScalePlanner::OtherKind(const DataCentrePool& aPool, Kind aKind) const
{
  const Kind other =
    aKind == Kind::Regular ? Kind::Withdrawable : Kind::Regular;
  const auto found = m_ordered.find({ aPool.m_dataCentre, other });
  const Ordered ordered = found == m_ordered.end() ? Ordered{} : found->second;
  return std::max({ aPool.CountOf(other),
                    ordered.m_desired.value_or(0),
                    ordered.m_open.value_or(0) });
}

std::vector<ScaleOrder>
ScalePlanner::Plan(const ScaleTerms& aTerms,
                   std::span<const DataCentrePool> aPools,
                   double aNeeded,
                   Instant aNow)
{
  UpdateNeed(aNeeded, aPools, aNow);
  std::vector<ScaleOrder> out;
  if (aPools.empty() || !m_loadSince) {
    return out;
  }
  const Targets targets = TargetsOf(aTerms, aPools, aNow);
  for (const DataCentrePool& pool : aPools) {
    for (const Kind kind : { Kind::Regular, Kind::Withdrawable }) {
      Ordered& ordered = m_ordered[{ pool.m_dataCentre, kind }];
      const std::int64_t target = std::min(
        kind == Kind::Regular ? targets.m_regular : targets.m_withdrawable,
        aTerms.m_most - OtherKind(pool, kind));
      if (IsDue(aTerms, ordered, pool.CountOf(kind), target, aNow)) {
        ordered.m_open = target;
        out.push_back({ pool.m_dataCentre, kind, target });
      }
    }
  }
  return out;
}

void
ScalePlanner::NoteAnswer(const ScaleOrder& aOrder,
                         ScaleAnswer aAnswer,
                         Instant aNow)
{
  Ordered& ordered = m_ordered[{ aOrder.m_dataCentre, aOrder.m_kind }];
  ordered.m_open.reset();
  if (aAnswer == ScaleAnswer::Accepted) {
    ordered.m_desired = aOrder.m_desired;
    ordered.m_acceptedAt = aNow;
  } else {
    ordered.m_notBefore = aNow + kRetryEvery;
  }
}

} // namespace ridgeferry::scaling
