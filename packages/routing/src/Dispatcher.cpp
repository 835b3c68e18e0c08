#include "ridgeferry/routing/Dispatcher.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::routing {

namespace {

/** Minimum time, in milliseconds, over which a rate is measured. */
constexpr Duration kRateWindow{ 1000 };
/** Weight of the newest measurement in the smoothed rate. */
constexpr double kRateSmoothing = 0.3;

bool
IsExcluded(const UpstreamRequest& aRequest, const Upstream& aUpstream)
{
  return std::find(aRequest.m_excluded.begin(),
                   aRequest.m_excluded.end(),
                   aUpstream.m_listed.m_id) != aRequest.m_excluded.end();
}

} // namespace

Dispatcher::Dispatcher(UpstreamSet& aUpstreams, ChoicePolicy aPolicy)
  : m_upstreams(aUpstreams)
  , m_policy(aPolicy)
{
}

std::optional<Rejected>
Dispatcher::Offer(UpstreamRequest aRequest, Instant aNow)
{
  const auto index = static_cast<std::size_t>(aRequest.m_class);
  if (aRequest.m_class == declared::TrafficClass::Urgent) {
    m_lastUrgent = aNow;
  }
  const std::span<const UpstreamIndex> pool =
    m_upstreams.Pool(*aRequest.m_pool);
  if (pool.empty()) {
    return Rejected{ aRequest.m_call,
                     ProblemCode::NoUpstream,
                     kNoUpstreamRetryDelay };
  }
  const auto backOffEnd = m_upstreams.BackOffEnd(pool, aNow);
  if (backOffEnd && *backOffEnd >= aRequest.m_deadline) {
    return Rejected{ aRequest.m_call,
                     ProblemCode::Overloaded,
                     std::max(kMinRetryDelay, *backOffEnd - aNow) };
  }
  const Duration wait = ExpectedWait(aRequest);
  if (m_queues[index].size() >= kMaxQueued ||
      aNow + wait >= aRequest.m_deadline) {
    return Rejected{ aRequest.m_call,
                     ProblemCode::Overloaded,
                     std::max(kMinRetryDelay, wait) };
  }
  m_queues[index].push_back(std::move(aRequest));
  return std::nullopt;
}

void
Dispatcher::Withdraw(CallId aCall)
{
  for (auto& queue : m_queues) {
    std::erase_if(queue, [&](const UpstreamRequest& aRequest) {
      return aRequest.m_call == aCall;
    });
  }
}

void
Dispatcher::Ended(const std::string& aUpstream, bool aFailed, Instant aNow)
{
  m_upstreams.NoteEnded(aUpstream, aFailed, aNow);
  if (aFailed) {
    return;
  }
  if (!m_rate.m_windowStart) {
    m_rate.m_windowStart = aNow;
  }
  ++m_rate.m_endsInWindow;
  const Duration elapsed = aNow - *m_rate.m_windowStart;
  if (elapsed >= kRateWindow) {
    const double rate = static_cast<double>(m_rate.m_endsInWindow) /
                        std::chrono::duration<double>(elapsed).count();
    m_rate.m_perSecond =
      m_rate.m_perSecond == 0
        ? rate
        : m_rate.m_perSecond + kRateSmoothing * (rate - m_rate.m_perSecond);
    m_rate.m_endsInWindow = 0;
    m_rate.m_windowStart = aNow;
  }
}

Duration
Dispatcher::ExpectedWait(const UpstreamRequest& aRequest) const
{
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(aRequest.m_class);
       ++i) {
    ahead += m_queues[i].size();
  }
  if (ahead == 0 || m_rate.m_perSecond <= 0) {
    return Duration{ 0 };
  }
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(
    static_cast<double>(ahead) / m_rate.m_perSecond));
}

Phase
Dispatcher::PhaseFor(const UpstreamRequest& aRequest,
                     std::span<const UpstreamIndex> aPool,
                     Instant aNow) const
{
  if (aRequest.m_wantsDecodeEngine) {
    return Phase::Decode;
  }
  if (aRequest.m_pool->m_kind == UpstreamKind::Service) {
    return Phase::Whole;
  }
  const bool hasMixed =
    std::any_of(aPool.begin(), aPool.end(), [&](UpstreamIndex aIndex) {
      return m_upstreams.MayServe(aIndex, Phase::Whole, aNow);
    });
  return hasMixed ? Phase::Whole : Phase::Prefill;
}

std::int64_t
Dispatcher::ReserveFor(const UpstreamRequest& aRequest, Instant aNow) const
{
  const bool urgentAround =
    m_lastUrgent && aNow - *m_lastUrgent < kUrgentReserveTime;
  return urgentAround && aRequest.m_class != declared::TrafficClass::Urgent ? 1
                                                                            : 0;
}

std::optional<Granted>
Dispatcher::TryGrant(const UpstreamRequest& aRequest,
                     Instant aNow,
                     std::uint64_t aRandom)
{
  const std::span<const UpstreamIndex> pool =
    m_upstreams.Pool(*aRequest.m_pool);
  ChoiceRequest choice;
  choice.m_phase = PhaseFor(aRequest, pool, aNow);
  choice.m_prefixHash = aRequest.m_prefixHash;
  choice.m_random = aRandom;
  choice.m_liveInstances = m_liveInstances;
  choice.m_reserve = ReserveFor(aRequest, aNow);
  std::optional<UpstreamIndex> found;
  if (aRequest.m_excluded.empty()) {
    found = Choose(m_policy, m_upstreams, pool, choice, aNow);
  } else {
    std::vector<UpstreamIndex> others;
    std::copy_if(pool.begin(),
                 pool.end(),
                 std::back_inserter(others),
                 [&](UpstreamIndex aIndex) {
                   return !IsExcluded(aRequest, m_upstreams.At(aIndex));
                 });
    // If every upstream has failed or refused this call, any of them may be
    // tried again.
    found =
      Choose(m_policy,
             m_upstreams,
             others.empty() ? pool : std::span<const UpstreamIndex>(others),
             choice,
             aNow);
  }
  if (!found) {
    return std::nullopt;
  }
  const ListedUpstream& listed = m_upstreams.At(*found).m_listed;
  m_upstreams.NoteSent(listed.m_id);
  return Granted{
    aRequest.m_call, listed.m_id, listed.m_address, choice.m_phase
  };
}

void
Dispatcher::PumpClass(std::size_t aClass,
                      Instant aNow,
                      std::uint64_t aRandom,
                      std::vector<Dispatch>& aOut)
{
  std::deque<UpstreamRequest>& queue = m_queues[aClass];
  // Pools that had no room in this round. Later calls for these pools wait too,
  // so that no call overtakes an earlier one of its class, and so that a long
  // queue costs only one search for each pool.
  std::vector<const PoolSpec*> full;
  for (auto it = queue.begin(); it != queue.end();) {
    if (aNow >= it->m_deadline) {
      aOut.emplace_back(
        Rejected{ it->m_call, ProblemCode::DeadlineExceeded, kMinRetryDelay });
      it = queue.erase(it);
      continue;
    }
    const PoolSpec* pool = it->m_pool.get();
    if (std::find(full.begin(), full.end(), pool) != full.end()) {
      ++it;
      continue;
    }
    aRandom = RendezvousWeight(aRandom, it->m_call);
    if (auto granted = TryGrant(*it, aNow, aRandom)) {
      aOut.emplace_back(std::move(*granted));
      it = queue.erase(it);
      continue;
    }
    if (it->m_excluded.empty() && !it->m_wantsDecodeEngine) {
      full.push_back(pool);
    }
    ++it;
  }
}

std::size_t
Dispatcher::Queued() const
{
  std::size_t total = 0;
  for (const auto& queue : m_queues) {
    total += queue.size();
  }
  return total;
}

} // namespace ridgeferry::routing
