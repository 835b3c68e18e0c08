#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/routing/UpstreamSet.h>
#include <span>
#include <variant>

namespace ridgeferry::routing {

/** Any upstream with room. The baseline of the benches. */
struct RandomChoice
{};
/** The least load by the reports alone. */
struct LeastReported
{};
/** The least work of this instance's own. */
struct LeastInFlight
{};
/** The less loaded, by estimate, of two drawn at random. */
struct TwoChoices
{};
/**
 * The upstream that the prompt's head hashes to, so that its prefix cache is
 * warm there, unless it carries more than `m_bound` times the pool's mean
 * load; then the next one in the hash's order. Calls without a prefix take
 * two choices.
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

struct ChoiceRequest
{
  Phase m_phase = Phase::Whole;
  std::uint64_t m_prefixHash = 0;   ///< 0: no prefix worth keeping warm.
  std::uint64_t m_random = 0;       ///< The caller's random number.
  std::int64_t m_liveInstances = 1; ///< Routers that share the upstreams.
  /** Slots of each upstream that this call must leave free (for urgent
   * work). */
  std::int64_t m_reserve = 0;
};

/**
 * Picks an upstream of a pool with room for one more call, or none.
 * Deterministic in its arguments; not thread-safe.
 */
std::optional<UpstreamIndex>
Choose(const ChoicePolicy& aPolicy,
       const UpstreamSet& aUpstreams,
       std::span<const UpstreamIndex> aPool,
       const ChoiceRequest& aRequest,
       Instant aNow);

} // namespace ridgeferry::routing
