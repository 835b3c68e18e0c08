#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/declared/Objects.h>
#include <ridgeferry/routing/Chooser.h>
#include <ridgeferry/routing/Problem.h>
#include <ridgeferry/routing/UpstreamSet.h>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace ridgeferry::routing {

using CallId = std::uint64_t;

/** A call that waits for an upstream. */
struct UpstreamRequest
{
  CallId m_call = 0;
  declared::TrafficClass m_class = declared::TrafficClass::Normal;
  Instant m_deadline;
  std::shared_ptr<const PoolSpec> m_pool;
  /** The prefill of the call is complete, so it needs a decode engine. */
  bool m_wantsDecodeEngine = false;
  std::uint64_t m_prefixHash = 0;
  /** Upstreams that failed or refused this call. */
  std::vector<std::string> m_excluded;
};

/** The call was given an upstream. `Dispatcher::Ended` must be called once when
 * the call no longer uses it. */
struct Granted
{
  CallId m_call = 0;
  std::string m_upstream;
  std::string m_address;
  Phase m_phase = Phase::Whole;
};
/** The call is rejected and must be answered at once. */
struct Rejected
{
  CallId m_call = 0;
  ProblemCode m_code = ProblemCode::Overloaded;
  Duration m_retryAfter{};
};
using Dispatch = std::variant<Granted, Rejected>;

/**
 * The queue of one instance. Calls of a more urgent traffic class always come
 * first; calls of the same class are served in the order of their arrival. A
 * call is rejected as soon as it cannot be served before its deadline. The
 * class only decides and sends nothing. Not thread-safe.
 */
class Dispatcher
{
public:
  /** Maximum number of queued calls of one traffic class. */
  static constexpr std::size_t kMaxQueued = 2000;
  /** How long after the last arrival of an urgent call a slot of each upstream
   * stays reserved for urgent calls, in milliseconds. */
  static constexpr Duration kUrgentReserveTime{ 10'000 };
  /** Retry delay, in milliseconds, if the pool has no upstream at all. */
  static constexpr Duration kNoUpstreamRetryDelay{ 2000 };
  /** Minimum retry delay of every other rejection, in milliseconds. */
  static constexpr Duration kMinRetryDelay{ 500 };

  Dispatcher(UpstreamSet& aUpstreams, ChoicePolicy aPolicy);

  /** Queues a call, on which a later `Pump` decides. Returns a rejection
   * instead if the pool has no upstream, the queue is full or the expected wait
   * exceeds the deadline. */
  std::optional<Rejected> Offer(UpstreamRequest aRequest, Instant aNow);
  /** Removes a queued call whose caller has left. */
  void Withdraw(CallId aCall);
  /** Must be called once when a granted call no longer uses its upstream.
   * `aFailed` means that the upstream was unreachable or broke off. */
  void Ended(const std::string& aUpstream, bool aFailed, Instant aNow);
  /**
   * Grants an upstream to each queued call that can be served now and rejects
   * calls whose deadline has passed. `aRandom` is called once for each traffic
   * class and must return a random 64-bit number. Must be called after every
   * change of the queue or the upstreams, and at regular intervals.
   */
  template<typename RandomSource>
  std::vector<Dispatch> Pump(Instant aNow,
                             std::size_t aLiveInstances,
                             RandomSource&& aRandom)
  {
    m_liveInstances = static_cast<std::int64_t>(aLiveInstances);
    std::vector<Dispatch> out;
    for (std::size_t i = 0; i < m_queues.size(); ++i) {
      PumpClass(i, aNow, aRandom(), out);
    }
    return out;
  }

  /** Returns the number of queued calls of all classes. */
  std::size_t Queued() const;

private:
  /** Rate at which calls end without failure, for the estimate of the wait. */
  struct CompletionRate
  {
    double m_perSecond = 0; ///< Smoothed rate; 0 if not known yet.
    std::int64_t m_endsInWindow = 0;
    std::optional<Instant> m_windowStart;
  };

  void PumpClass(std::size_t aClass,
                 Instant aNow,
                 std::uint64_t aRandom,
                 std::vector<Dispatch>& aOut);
  std::optional<Granted> TryGrant(const UpstreamRequest& aRequest,
                                  Instant aNow,
                                  std::uint64_t aRandom);
  /** Returns the phase that the next upstream of the call is to serve.
   * Disaggregated prefill is used only if the pool has no engine that serves
   * both phases. */
  Phase PhaseFor(const UpstreamRequest& aRequest,
                 std::span<const UpstreamIndex> aPool,
                 Instant aNow) const;
  /** Returns the number of slots of each upstream that the call must leave free
   * for urgent calls. */
  std::int64_t ReserveFor(const UpstreamRequest& aRequest, Instant aNow) const;
  /** Returns the expected wait of a call that is queued now; 0 if it is not
   * known. */
  Duration ExpectedWait(const UpstreamRequest& aRequest) const;

  UpstreamSet& m_upstreams;
  ChoicePolicy m_policy;
  std::array<std::deque<UpstreamRequest>, declared::kTrafficClassCount>
    m_queues;
  std::int64_t m_liveInstances = 1;
  std::optional<Instant> m_lastUrgent;
  CompletionRate m_rate;
};

} // namespace ridgeferry::routing
