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

/** A call that wants an upstream. */
struct UpstreamRequest
{
  CallId m_call = 0;
  declared::TrafficClass m_class = declared::TrafficClass::Normal;
  Instant m_deadline;
  std::shared_ptr<const PoolSpec> m_pool;
  bool m_wantsPair = false; ///< Second half of a prefill and decode pair.
  std::uint64_t m_prefixHash = 0;
  std::vector<std::string> m_excluded; ///< Upstreams that failed it already.
};

/** The call got an upstream; `Ended` must follow once. */
struct Granted
{
  CallId m_call = 0;
  std::string m_upstream;
  std::string m_address;
  Phase m_phase = Phase::Whole;
};
/** The call is given up: a final answer, at once. */
struct Rejected
{
  CallId m_call = 0;
  ProblemCode m_code = ProblemCode::Overloaded;
  Duration m_retryAfter{};
};
using Dispatch = std::variant<Granted, Rejected>;

/**
 * The queue of one instance: strict order by class, first come first served
 * inside a class, and a final refusal as soon as a call cannot be served
 * before its deadline. Decisions only; not thread-safe.
 */
class Dispatcher
{
public:
  /** Longest queue of one class and pool. */
  static constexpr std::size_t kMaxQueued = 2000;
  /** How long urgent work keeps its reserve after its last arrival. */
  static constexpr Duration kUrgentMemory{ 10'000 };
  static constexpr Duration kNoUpstreamRetry{ 2000 };
  static constexpr Duration kLeastRetry{ 500 };

  Dispatcher(UpstreamSet& aUpstreams, ChoicePolicy aPolicy);

  /** Queues a call; `Pump` decides on it. */
  std::optional<Rejected> Offer(UpstreamRequest aRequest, Instant aNow);
  /** Forgets a call that waits (its caller left). */
  void Withdraw(CallId aCall);
  /** A granted call no longer uses its upstream. */
  void Ended(const std::string& aUpstream, bool aFailed, Instant aNow);
  /**
   * Grants what can be served now and rejects what is too late. `aRandom` is
   * called for one number a choice. Call after every change and every tick.
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

  std::size_t Queued() const;

private:
  struct PoolRate
  {
    double m_endsPerSecond = 0; ///< Smoothed.
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
  Phase PhaseFor(const UpstreamRequest& aRequest,
                 std::span<const UpstreamIndex> aPool,
                 Instant aNow) const;
  std::int64_t ReserveFor(const UpstreamRequest& aRequest, Instant aNow) const;
  Duration ExpectedWait(const UpstreamRequest& aRequest) const;

  UpstreamSet& m_upstreams;
  ChoicePolicy m_policy;
  std::array<std::deque<UpstreamRequest>, declared::kTrafficClassCount>
    m_queues;
  std::int64_t m_liveInstances = 1;
  std::optional<Instant> m_lastUrgent;
  PoolRate m_rate;
};

} // namespace ridgeferry::routing
