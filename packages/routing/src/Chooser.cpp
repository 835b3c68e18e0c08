#include "ridgeferry/routing/Chooser.h"

#include <algorithm>
#include <limits>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::routing {

namespace {

/**
 * The computations that the policies share, for one choice. An upstream has
 * room if this instance uses less than its share of the upstream's slots, or if
 * by the load estimate the other instances leave some of their slots unused.
 */
class Choice
{
public:
  Choice(const UpstreamSet& aUpstreams,
         std::span<const UpstreamIndex> aPool,
         const ChoiceRequest& aRequest,
         Instant aNow)
    : m_upstreams(aUpstreams)
    , m_pool(aPool)
    , m_request(aRequest)
    , m_now(aNow)
  {
  }

  bool HasRoom(UpstreamIndex aIndex) const
  {
    if (!m_upstreams.MayServe(aIndex, m_request.m_phase, m_now)) {
      return false;
    }
    const std::int64_t slots = m_upstreams.Slots(aIndex) - m_request.m_reserve;
    const std::int64_t share =
      slots / std::max<std::int64_t>(1, m_request.m_liveInstances);
    return m_upstreams.At(aIndex).m_ownInFlight < share ||
           m_upstreams.EstimatedLoad(aIndex) < slots;
  }

  /** Returns the estimated load as a fraction of the slots, so that engines
   * with different numbers of slots can be compared. */
  double LoadFraction(UpstreamIndex aIndex) const
  {
    return static_cast<double>(m_upstreams.EstimatedLoad(aIndex)) /
           static_cast<double>(
             std::max<std::int64_t>(1, m_upstreams.Slots(aIndex)));
  }

  std::optional<UpstreamIndex> Random() const
  {
    return FirstWithRoomFrom(m_request.m_random);
  }

  template<typename Score>
  std::optional<UpstreamIndex> Least(Score aScore) const
  {
    std::optional<UpstreamIndex> best;
    double bestScore = std::numeric_limits<double>::infinity();
    // The search starts at a random index, so that instances that know the same
    // loads do not all choose the same one of several equal upstreams.
    for (std::size_t i = 0; i < m_pool.size(); ++i) {
      const UpstreamIndex index =
        m_pool[(m_request.m_random + i) % m_pool.size()];
      if (!HasRoom(index)) {
        continue;
      }
      const double score = aScore(index);
      if (score < bestScore) {
        best = index;
        bestScore = score;
      }
    }
    return best;
  }

  std::optional<UpstreamIndex> BestOfTwo() const
  {
    const auto first = FirstWithRoomFrom(m_request.m_random);
    const auto second =
      FirstWithRoomFrom(RendezvousWeight(m_request.m_random, m_pool.size()));
    if (!first || !second) {
      return first ? first : second;
    }
    return LoadFraction(*second) < LoadFraction(*first) ? second : first;
  }

  std::optional<UpstreamIndex> Affinity(double aBound) const
  {
    if (m_request.m_prefixHash == 0) {
      return BestOfTwo();
    }
    const double limit = MeanLoadFraction() * aBound + kAlwaysAllowed;
    std::optional<UpstreamIndex> best;
    std::uint64_t bestWeight = 0;
    for (UpstreamIndex index : m_pool) {
      const std::uint64_t weight =
        RendezvousWeight(m_request.m_prefixHash, m_upstreams.At(index).m_hash);
      const bool heavier = !best || weight > bestWeight;
      if (heavier && HasRoom(index) && LoadFraction(index) <= limit) {
        best = index;
        bestWeight = weight;
      }
    }
    return best ? best : BestOfTwo();
  }

private:
  /** Load, as a fraction of the slots, that is added to the limit for the
   * affinity target. Without it, no upstream with any load would be allowed in
   * an otherwise idle pool, whose mean load is near 0. */
  static constexpr double kAlwaysAllowed = 0.25;

  std::optional<UpstreamIndex> FirstWithRoomFrom(std::uint64_t aStart) const
  {
    for (std::size_t i = 0; i < m_pool.size(); ++i) {
      const UpstreamIndex index = m_pool[(aStart + i) % m_pool.size()];
      if (HasRoom(index)) {
        return index;
      }
    }
    return std::nullopt;
  }

  double MeanLoadFraction() const
  {
    double sum = 0;
    for (UpstreamIndex index : m_pool) {
      sum += LoadFraction(index);
    }
    return m_pool.empty() ? 0 : sum / static_cast<double>(m_pool.size());
  }

  const UpstreamSet& m_upstreams;
  std::span<const UpstreamIndex> m_pool;
  const ChoiceRequest& m_request;
  Instant m_now;
};

} // namespace

std::optional<UpstreamIndex>
Choose(const ChoicePolicy& aPolicy,
       const UpstreamSet& aUpstreams,
       std::span<const UpstreamIndex> aPool,
       const ChoiceRequest& aRequest,
       Instant aNow)
{
  if (aPool.empty()) {
    return std::nullopt;
  }
  const Choice choice(aUpstreams, aPool, aRequest, aNow);
  return std::visit(
    Overloaded{ [&](const RandomChoice&) { return choice.Random(); },
                [&](const LeastReported&) {
                  return choice.Least([&](UpstreamIndex aIndex) {
                    const auto& report = aUpstreams.At(aIndex).m_report;
                    return report ? static_cast<double>(report->m_running) : 0;
                  });
                },
                [&](const LeastInFlight&) {
                  return choice.Least([&](UpstreamIndex aIndex) {
                    return static_cast<double>(
                      aUpstreams.At(aIndex).m_ownInFlight);
                  });
                },
                [&](const TwoChoices&) { return choice.BestOfTwo(); },
                [&](const BoundedAffinity& aAffinity) {
                  return choice.Affinity(aAffinity.m_bound);
                } },
    aPolicy);
}

} // namespace ridgeferry::routing
