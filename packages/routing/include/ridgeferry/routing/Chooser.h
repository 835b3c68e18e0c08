#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/routing/UpstreamSet.h>
#include <span>
#include <variant>

namespace ridgeferry::routing {

/** Chooses any upstream that has a slot free for the call. Benchmarks use this
 * policy as the baseline. */
struct RandomChoice
{};
/** Chooses the upstream with the least load by its own report. */
struct LeastReported
{};
/** Chooses the upstream to which this instance has the fewest calls in
 * flight. */
struct LeastInFlight
{};
/** Chooses, of two upstreams drawn at random, the one with the lower estimated
 * load. */
struct TwoChoices
{};
/**
 * Chooses the upstream to which the hash of the prompt's prefix maps, because
 * the prefix is likely to be in that upstream's prefix cache. An upstream whose
 * load is clearly above `m_bound` times the mean load of the pool is skipped in
 * favour of the next one in the order of the hash. Calls without a prefix are
 * handled like `TwoChoices`.
 */
struct BoundedAffinity
{
  double m_bound = 1.25;
};
using ChoicePolicy = std::variant<RandomChoice,
                                  LeastReported,
                                  LeastInFlight,
                                  TwoChoices,
                                  BoundedAffinity>;

/** The properties of a call that matter for the choice of an upstream. */
struct ChoiceRequest
{
  Phase m_phase = Phase::Whole;
  /** Hash of the prompt's prefix; 0 if no prefix is worth caching. */
  std::uint64_t m_prefixHash = 0;
  std::uint64_t m_random = 0; ///< A new random number for each choice.
  /** Number of live instances that send calls to the same upstreams, including
   * this one. */
  std::int64_t m_liveInstances = 1;
  /** Number of slots of each upstream that this call must leave free for urgent
   * calls. */
  std::int64_t m_reserve = 0;
};

/**
 * Returns an upstream of the pool that has room for one more call;
 * `std::nullopt` if none has room. The result depends only on the arguments.
 * Not thread-safe: `aUpstreams` must not change during the call.
 */
std::optional<UpstreamIndex>
Choose(const ChoicePolicy& aPolicy,
       const UpstreamSet& aUpstreams,
       std::span<const UpstreamIndex> aPool,
       const ChoiceRequest& aRequest,
       Instant aNow);

} // namespace ridgeferry::routing
