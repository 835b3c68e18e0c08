// The part of `Fleet` that chooses the prefill engine of a prompt if the
// service does not allow colocated prefill.

#include "ridgeferry/relay/Fleet.h"

#include "AffinityScore.h"
#include "DrawnChoice.h"
#include "EngineThroughput.h"

#include <algorithm>
#include <cmath>

namespace ridgeferry::relay {

namespace {

/**
 * Maximum wait at a prefill engine, in ms, for a prompt to be sent there that
 * misses its first-token target anyway. It includes the minimum time of a first
 * token, so next to nothing may be queued.
 */
constexpr double kRoomMs = 60;
/**
 * Maximum wait at a prefill engine for prompts that can still meet their
 * target, in addition to `kRoomMs`, as shares of the shortest first-token
 * target of the service. The shortest target is used so that prompts with a
 * long target do not fill the engines until no short target can be met. Kinds
 * of call whose typical prefill takes up to `kShortReading` of that target may
 * wait longer (`kAheadOfShort` instead of `kAheadOfLong`) and so are admitted
 * before others, because the same prefill capacity then serves more callers in
 * time.
 */
constexpr double kShortReading = 0.15;
constexpr double kAheadOfShort = 0.5;
constexpr double kAheadOfLong = 0.25;
/**
 * A typical prompt may be prefilled on a busy decode engine if all prefill work
 * there, including the prompt, takes at most this share of the longest pause
 * that the caller accepts between two events. There is then room for about one
 * short prompt. The next one has to wait until it is done, so that at most two
 * thirds of the steps prefill.
 */
constexpr double kColocatedShare = 0.3;
/**
 * The same limit for the prompt itself, which may be larger than others of its
 * kind.
 */
constexpr double kMaxColocatedShare = 0.6;
/**
 * How long before its caller gives up the first token of a prompt must be
 * expected, in ms, for the prompt to be placed again later if no engine has
 * room for it. An estimate that far ahead may be wrong by at least this time.
 */
constexpr double kLeastSpareMs = 150;
/**
 * How much higher than the best engine's cost the cost of a randomly drawn
 * engine may be, in ms.
 */
constexpr double kMostDrawnMs = 15;
/**
 * Weight of the placed prompt's own prefill time in the cost of an engine: the
 * prefill delays the prompts that wait behind it. One ms of prefill costs as
 * much as this many ms until the first token of the placed prompt.
 */
constexpr double kReadingWeight = 1;
/**
 * Cost reduction of the affinity target, in ms. It keeps instances that see a
 * chain of prefix segments for the first time from each having it prefilled on
 * a different engine.
 */
constexpr double kAffinityBonusMs = 60;
/**
 * A decode engine in another data centre than the prefill engine is chosen only
 * if it has fewer calls in flight than the nearer ones, by at least this share
 * of its slots, because the KV transfer takes twice as long to get there.
 */
constexpr double kAwayShare = 0.33;

/**
 * Minimum number of tokens that a prefill engine fetches from another engine's
 * KV cache. Fewer tokens are prefilled sooner than fetched.
 */
constexpr std::int64_t kLeastFetched = 500;
/**
 * Fixed time to start and finish a KV transfer, in ms. The time for the
 * transferred tokens comes in addition.
 */
constexpr double kKvTransferOverheadMs = 4;
/** Factor by which a KV transfer between two data centres takes longer. */
constexpr double kAwayMoves = 2;

} // namespace

std::int64_t
Fleet::TokensCached(const Prompt& aPrompt,
                    const State& aState,
                    Instant aNow) const
{
  const auto member = static_cast<std::uint32_t>(aState.m_hash);
  const Duration life = aState.m_member.m_role == UpstreamRole::Decode
                          ? PrefixCacheIndex::kDecodeLifetime
                          : PrefixCacheIndex::kLifetime;
  std::int64_t kept = 0;
  for (const PrefixSegment& part : aPrompt.m_prefixSegments) {
    if (!m_prefixCaches.IsCached({ part.m_key, member }, life, aNow)) {
      // A segment is usable only if all segments before it are cached too.
      break;
    }
    kept += part.m_tokens;
  }
  return kept;
}

std::int64_t
Fleet::DisaggregatedWork(const Prompt& aPrompt,
                         const State& aState,
                         Instant aNow) const
{
  const std::int64_t whole = aPrompt.m_sharedTokens + aPrompt.m_ownTokens;
  return WorkOf(aPrompt, whole - TokensCached(aPrompt, aState, aNow));
}

std::map<std::string_view, Fleet::TransferSources>
Fleet::FindTransferSources(const PlaceRequest& aRequest, Instant aNow) const
{
  std::map<std::string_view, TransferSources> out;
  if (aRequest.m_movedPerMs == 0) {
    return out;
  }
  const auto keepMost = [](TransferSource& aSource,
                           const TransferSource& aOther) {
    if (aOther.m_tokens > aSource.m_tokens) {
      aSource = aOther;
    }
  };
  for (const auto& [id, state] : m_members) {
    if (state.m_member.m_service != aRequest.m_service ||
        state.m_isOnProbation) {
      continue;
    }
    const TransferSource source{
      &state, TokensCached(*aRequest.m_prompt, state, aNow)
    };
    if (source.m_tokens > 0) {
      TransferSources& sources = out[state.m_member.m_softwareVersion];
      keepMost(sources.m_most, source);
      keepMost(sources.m_byDataCentre[state.m_member.m_dataCentre], source);
    }
  }
  return out;
}

Fleet::Candidate
Fleet::PrefillCandidate(const PlaceRequest& aRequest,
                        const State& aState,
                        const TransferSources& aSources,
                        Instant aNow) const
{
  const Prompt& prompt = *aRequest.m_prompt;
  std::int64_t kept = TokensCached(prompt, aState, aNow);
  Candidate out;
  out.m_state = &aState;
  double fetchMs = 0;
  const std::string& hall = aState.m_member.m_dataCentre;
  const auto near = aSources.m_byDataCentre.find(hall);
  const bool isNear = near != aSources.m_byDataCentre.end() &&
                      near->second.m_tokens == aSources.m_most.m_tokens;
  const TransferSource& source = isNear ? near->second : aSources.m_most;
  const std::int64_t more = source.m_tokens - kept;
  if (more >= kLeastFetched) {
    fetchMs = kKvTransferOverheadMs + static_cast<double>(more) /
                                        aRequest.m_movedPerMs *
                                        (isNear ? 1 : kAwayMoves);
    out.m_transferSource = source.m_state;
    kept = source.m_tokens;
  }
  const std::int64_t whole = prompt.m_sharedTokens + prompt.m_ownTokens;
  out.m_work = WorkOf(prompt, whole - kept);
  out.m_prefillMs =
    static_cast<double>(out.m_work) / ThroughputOf(aState) + fetchMs;
  const Prompt& typical = TypicalOf(aRequest);
  const std::int64_t shared = std::min(kept, typical.m_sharedTokens);
  const std::int64_t rest =
    typical.m_sharedTokens + typical.m_ownTokens - shared;
  out.m_typicalMs =
    static_cast<double>(WorkOf(typical, rest)) / ThroughputOf(aState) + fetchMs;
  out.m_ms = FirstTokenMs(aState, out.m_work, ThroughputOf(aState)) + fetchMs;
  return out;
}

bool
Fleet::MayDecodeFor(const State& aState, const State& aPrefillEngine)
{
  return aState.m_member.m_role == UpstreamRole::Decode &&
         aState.m_member.m_softwareVersion ==
           aPrefillEngine.m_member.m_softwareVersion;
}

bool
Fleet::HasDecodeEngine(std::span<const State* const> aSound,
                       const State& aPrefillEngine)
{
  return std::any_of(aSound.begin(), aSound.end(), [&](const State* aState) {
    return MayDecodeFor(*aState, aPrefillEngine);
  });
}

const Fleet::State*
Fleet::PickDecodeTarget(const State& aPrefillEngine,
                        std::span<const State* const> aSound)
{
  const auto busy = [&](const State* aState) {
    const bool away =
      aState->m_member.m_dataCentre != aPrefillEngine.m_member.m_dataCentre;
    const auto slots = static_cast<double>(aState->m_member.m_slots);
    return static_cast<double>(aState->m_inFlight + aState->m_peerInFlight) +
           (away ? kAwayShare * slots : 0);
  };
  const State* decodeTarget = nullptr;
  for (const State* state : aSound) {
    if (MayDecodeFor(*state, aPrefillEngine) &&
        (decodeTarget == nullptr || busy(state) < busy(decodeTarget))) {
      decodeTarget = state;
    }
  }
  return decodeTarget;
}

const Fleet::Candidate&
Fleet::PickDisaggregated(std::span<const Candidate> aPrefillEngines,
                         const PlaceRequest& aRequest)
{
  const auto cost = [](const Candidate& aItem) {
    return aItem.m_ms + kReadingWeight * aItem.m_prefillMs -
           (aItem.m_hasAffinity ? kAffinityBonusMs : 0);
  };
  const auto less = [&](const Candidate& aLeft, const Candidate& aRight) {
    return cost(aLeft) < cost(aRight);
  };
  const Candidate& best =
    *std::min_element(aPrefillEngines.begin(), aPrefillEngines.end(), less);
  const Candidate& better =
    BetterOfTwo(aPrefillEngines, aRequest.m_random, less);
  return cost(better) > cost(best) + kMostDrawnMs ? best : better;
}

bool
Fleet::FitsColocatedPrefill(const PlaceRequest& aRequest, const State& aState)
{
  if (aState.m_inFlight + aState.m_peerInFlight == 0) {
    return true; // No output would be delayed.
  }
  const auto waits = static_cast<double>(aState.m_tokens + aState.m_peerTokens);
  const auto pause = static_cast<double>(aRequest.m_pause.count());
  const auto fits = [&](const Prompt& aPrompt, double aShare) {
    const auto work = static_cast<double>(WorkToPrefill(aPrompt, false));
    return (waits + work) / ThroughputOf(aState) <= aShare * pause;
  };
  // The main limit applies to a typical prompt, so that the larger prompts of a
  // kind fit here as well.
  return fits(TypicalOf(aRequest), kColocatedShare) &&
         fits(*aRequest.m_prompt, kMaxColocatedShare) && HasFreeSlots(aState);
}

Fleet::Candidate
Fleet::ColocatedCandidate(const PlaceRequest& aRequest, const State& aState)
{
  const Prompt& prompt = *aRequest.m_prompt;
  Candidate out;
  out.m_state = &aState;
  out.m_work = WorkToPrefill(prompt, false);
  out.m_prefillMs = static_cast<double>(out.m_work) / ThroughputOf(aState);
  out.m_typicalMs =
    static_cast<double>(WorkToPrefill(TypicalOf(aRequest), false)) /
    ThroughputOf(aState);
  out.m_ms = FirstTokenMs(aState, out.m_work, ThroughputOf(aState));
  return out;
}

double
Fleet::MaxWaitMs(const PlaceRequest& aRequest, double aTypicalMs, bool aLate)
{
  const auto shortest = static_cast<double>(aRequest.m_shortestAim.count());
  if (aLate || shortest == 0) {
    return kRoomMs;
  }
  const bool isShort = aTypicalMs <= kShortReading * shortest;
  return kRoomMs + shortest * (isShort ? kAheadOfShort : kAheadOfLong);
}

std::vector<Fleet::Candidate>
Fleet::PrefillCandidates(std::span<const State* const> aSound,
                         const PlaceRequest& aRequest,
                         Instant aNow) const
{
  const Prompt& prompt = *aRequest.m_prompt;
  const auto allSources = FindTransferSources(aRequest, aNow);
  const auto sourcesOf = [&](const State& aState) {
    const auto found = allSources.find(aState.m_member.m_softwareVersion);
    return found == allSources.end() ? TransferSources{} : found->second;
  };
  std::vector<Candidate> out;
  double nearest = 0;
  for (const State* state : aSound) {
    if (state->m_member.m_role == UpstreamRole::Prefill) {
      if (!HasDecodeEngine(aSound, *state)) {
        continue;
      }
      out.push_back(
        PrefillCandidate(aRequest, *state, sourcesOf(*state), aNow));
      nearest =
        std::max(nearest, AffinityScore(prompt.m_sharedKey, state->m_hash, 1));
    } else if (FitsColocatedPrefill(aRequest, *state)) {
      out.push_back(ColocatedCandidate(aRequest, *state));
    }
  }
  for (Candidate& prefillEngine : out) {
    prefillEngine.m_hasAffinity =
      IsLong(prompt) &&
      sourcesOf(*prefillEngine.m_state).m_most.m_tokens == 0 &&
      AffinityScore(prompt.m_sharedKey, prefillEngine.m_state->m_hash, 1) >=
        nearest;
  }
  return out;
}

bool
Fleet::IsLate(const Candidate& aPrefillEngine,
              const PlaceRequest& aRequest,
              double aErrorFactor)
{
  return aPrefillEngine.TypicalFirstMs() * aErrorFactor >
         static_cast<double>(aRequest.m_admissionBound.count());
}

bool
Fleet::HasRoom(const Candidate& aPrefillEngine,
               const PlaceRequest& aRequest,
               double aErrorFactor)
{
  const bool late = IsLate(aPrefillEngine, aRequest, aErrorFactor);
  return aPrefillEngine.WaitMs() <=
         MaxWaitMs(aRequest, aPrefillEngine.m_typicalMs, late);
}

PlaceResult
Fleet::NoRoomAt(const Candidate& aBest,
                const PlaceRequest& aRequest,
                double aErrorFactor)
{
  const auto left = static_cast<double>(aRequest.m_left.count());
  const double missing = aBest.m_ms * aErrorFactor + kLeastSpareMs - left;
  if (missing <= 0) {
    return PlaceLater{};
  }
  return PlaceFault{ NoPlaceCause::Full,
                     Duration(std::llround(missing)),
                     { aBest.WaitMs() * aErrorFactor,
                       aBest.m_prefillMs * aErrorFactor },
                     left - kLeastSpareMs };
}

std::optional<PlaceResult>
Fleet::FindPrefillEngine(std::span<const State* const> aSound,
                         const PlaceRequest& aRequest,
                         Instant aNow) const
{
  std::vector<Candidate> prefillEngines =
    PrefillCandidates(aSound, aRequest, aNow);
  if (prefillEngines.empty()) {
    return std::nullopt;
  }
  if (aRequest.m_admissionBound != Duration::max()) {
    if (auto fault = TooLarge(prefillEngines, aRequest)) {
      return *fault;
    }
  }
  const double factor =
    EstimateErrorOf(aRequest.m_service, *aRequest.m_prompt, aNow);
  // Whether an engine has room does not depend on the prompt's own size; which
  // of the engines is best does.
  const auto full =
    std::partition(prefillEngines.begin(),
                   prefillEngines.end(),
                   [&](const Candidate& aPrefillEngine) {
                     return HasRoom(aPrefillEngine, aRequest, factor);
                   });
  if (full == prefillEngines.begin()) {
    return NoRoomAt(
      PickDisaggregated(prefillEngines, aRequest), aRequest, factor);
  }
  prefillEngines.erase(full, prefillEngines.end());
  const Candidate& chosen = PickDisaggregated(prefillEngines, aRequest);
  const bool beside = chosen.m_state->m_member.m_role != UpstreamRole::Prefill;
  const State* decodeTarget =
    beside ? chosen.m_state : PickDecodeTarget(*chosen.m_state, aSound);
  if (decodeTarget == nullptr) {
    return std::nullopt; // No engine could decode the output.
  }
  Place place{ decodeTarget->m_member.m_id, {} };
  if (!beside) {
    place.m_prefillEngine = chosen.m_state->m_member.m_id;
  }
  place.m_expectedMs = chosen.m_ms;
  place.m_late = IsLate(chosen, aRequest, factor);
  place.m_work = chosen.m_work;
  if (chosen.m_transferSource != nullptr) {
    place.m_fetchFrom = chosen.m_transferSource->m_member.m_id;
  }
  return place;
}

} // namespace ridgeferry::relay
