// The part of `Fleet` that chooses the upstream of a call.

#include "AffinityScore.h"
#include "DrawnChoice.h"
#include "EngineThroughput.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::relay {

namespace {

/**
 * Time to hand over a prompt's KV cache, in ms: a network round trip, and the
 * transfer of a gigabyte at some terabits a second.
 */
constexpr double kHandOverMs = 6;
/**
 * How much each decoding call delays the next one on the same engine, in ms.
 */
constexpr double kRunningMs = 0.3;
/**
 * Bounds of the share of decode engines that are reserved: they prefill no long
 * prompts, so that they produce output steadily.
 */
constexpr double kMinReservedShare = 0.12;
constexpr double kMaxReservedShare = 0.45;
/**
 * An engine counts as full above this share of its slots, because the calls
 * that other instances have sent in the meantime are not known yet.
 */
constexpr double kFullShare = 0.85;
/**
 * Number of calls that decode on a reserved engine before another engine is
 * reserved. The contexts of more calls would slow each decode step so much that
 * the longest outputs would finish too late.
 */
constexpr double kMaxReservedCalls = 40;
/**
 * How much later than on the best engine a prompt's first token may arrive on
 * its affinity target, in ms. The affinity target is the engine that is assumed
 * to have the prompt's shared prefix cached. That prefix need not be prefilled
 * there, which saves time for every prompt that waits there.
 */
constexpr double kAffinitySlackMs = 100;
/**
 * How much later than on the best known engine the first token may arrive on a
 * randomly drawn prefill engine (see `BetterOfTwo`), in ms.
 */
constexpr double kMostDrawnMs = 60;
/**
 * How much sooner the output must begin on a decode engine of another data
 * centre than on one in the prefill engine's data centre, in ms. The KV
 * transfer takes twice as long to get there and uses links that all data
 * centres share.
 */
constexpr double kRemoteDecodePenaltyMs = 5;
/**
 * How much later than on the best decode engine the output may begin on a
 * randomly drawn one (see `BetterOfTwo`), in ms: one or two decode steps.
 */
constexpr double kMaxDrawnDecodeMs = 8;
/** Assumed duration of a plain call before any was measured, in ms. */
constexpr double kUnknownTookMs = 10;
/**
 * Weight of a member's share of failed attempts in its expected response time.
 * A member whose calls all fail is rated `1 + kFailPenalty` times slower.
 */
constexpr double kFailPenalty = 8;
/**
 * Additional cost of a plain call to another data centre, in ms: the network
 * round trip.
 */
constexpr double kOtherDataCentreMs = 3;
/**
 * Time after which a connection should be free again if all that may be open
 * are in use, in ms: several times the duration of a plain call.
 */
constexpr Duration kConnectionWait{ 100 };
/**
 * Number of preceding tokens at which attention to them costs as much as the
 * rest of a token's prefill. The value is between 22,000 and 26,000 for dense
 * models with 32 and 70 billion weights.
 */
constexpr double kAttentionTokens = 24'000;
/**
 * Number of clean samples (see `ThroughputSample::m_isClean`) from which on an
 * engine's own throughput is used instead of that of other engines of its role.
 */
constexpr std::size_t kMinOwnSamples = 4;
/**
 * Divisor that derives a second draw from a random number. It is a prime
 * greater than the square of the number of engines of a service.
 */
constexpr std::uint64_t kNextDraw = 1'000'003;
/**
 * Shared prefixes with fewer tokens get no affinity target: prefilling them
 * takes only a millisecond.
 */
constexpr std::int64_t kLeastSharedTokens = 512;

double
AffinityWeight(UpstreamRole aPart)
{
  return aPart == UpstreamRole::Prefill ? kDecodeEnginePrefillCost : 1;
}

} // namespace

std::int64_t
Fleet::TokensToPrefill(const Prompt& aPrompt, bool aKept)
{
  const std::int64_t shared = aPrompt.m_sharedTokens - aPrompt.m_commonTokens;
  return aPrompt.m_ownTokens + (aKept ? 0 : shared);
}

std::int64_t
Fleet::WorkOf(const Prompt& aPrompt, std::int64_t aTokens)
{
  const auto tokens = static_cast<double>(aTokens);
  const auto whole =
    static_cast<double>(aPrompt.m_sharedTokens + aPrompt.m_ownTokens);
  // Mean number of tokens that precede a prefilled token.
  const double before = whole - tokens / 2;
  return std::llround(tokens * (1 + before / kAttentionTokens));
}

std::int64_t
Fleet::WorkToPrefill(const Prompt& aPrompt, bool aKept)
{
  return WorkOf(aPrompt, TokensToPrefill(aPrompt, aKept));
}

const Prompt&
Fleet::TypicalOf(const PlaceRequest& aRequest)
{
  return aRequest.m_typical ? *aRequest.m_typical : *aRequest.m_prompt;
}

bool
Fleet::IsLong(const Prompt& aPrompt)
{
  return aPrompt.m_sharedTokens >= kLeastSharedTokens;
}

bool
Fleet::HasPrefixAffinity(const Prompt& aPrompt,
                         std::string_view aId,
                         Instant aNow) const
{
  const auto found = m_members.find(aId);
  if (found == m_members.end() || !IsLong(aPrompt)) {
    return false;
  }
  return AffinityTargetOf(aPrompt.m_sharedKey,
                          found->second.m_member.m_service,
                          aNow) == found->second.m_hash;
}

std::int64_t
Fleet::WorkAt(const Prompt& aPrompt, std::string_view aId, Instant aNow) const
{
  const auto found = m_members.find(aId);
  if (found != m_members.end() &&
      !AllowsColocatedPrefill(found->second.m_member.m_service)) {
    return DisaggregatedWork(aPrompt, found->second, aNow);
  }
  return WorkToPrefill(aPrompt, HasPrefixAffinity(aPrompt, aId, aNow));
}

std::uint64_t
Fleet::AffinityTargetOf(std::uint64_t aKey,
                        std::string_view aService,
                        Instant aNow) const
{
  // Each key has one affinity target, so the engines' caches together hold the
  // hot prefixes about once. Engines that may be reserved for decoding at some
  // time are never a target, so that targets do not move when the number of
  // reserved engines changes.
  const std::uint64_t reservedBound = ReservedHashBound(aService, true);
  double best = -1;
  std::uint64_t home = 0;
  for (const auto& [id, state] : m_members) {
    // A limited engine takes few calls, and one that backs off takes none, so
    // they are no targets either.
    if (state.m_member.m_service != aService || state.m_member.m_leaving ||
        BackOffLeft(state, aNow).count() > 0 ||
        m_limits.HasLimit(static_cast<limits::UpstreamHash>(state.m_hash)) ||
        IsReservedForDecode(state, reservedBound)) {
      continue;
    }
    const double score =
      AffinityScore(aKey, state.m_hash, AffinityWeight(state.m_member.m_role));
    if (score > best) {
      best = score;
      home = state.m_hash;
    }
  }
  return home;
}

bool
Fleet::MayServe(const State& aState,
                const PlaceRequest& aRequest,
                Instant aNow) const
{
  const Member& member = aState.m_member;
  const bool excluded = std::find(aRequest.m_excluded.begin(),
                                  aRequest.m_excluded.end(),
                                  member.m_id) != aRequest.m_excluded.end();
  const bool gone = aState.m_goneAt && aNow >= *aState.m_goneAt;
  return member.m_service == aRequest.m_service && !member.m_leaving &&
         !excluded && !gone && !aState.m_changing &&
         RunsVersion(member, aRequest);
}

bool
Fleet::IsEjected(const State& aState, Instant aNow)
{
  return aState.m_ejectedUntil && aNow < *aState.m_ejectedUntil;
}

bool
Fleet::RunsVersion(const Member& aMember, const PlaceRequest& aRequest)
{
  return !aRequest.m_softwareVersion ||
         aMember.m_softwareVersion == *aRequest.m_softwareVersion;
}

bool
Fleet::IsVersionListed(const PlaceRequest& aRequest, Instant aNow) const
{
  return std::any_of(
    m_members.begin(), m_members.end(), [&](const auto& aEntry) {
      const State& state = aEntry.second;
      const bool gone = state.m_goneAt && aNow >= *state.m_goneAt;
      return state.m_member.m_service == aRequest.m_service &&
             !state.m_member.m_leaving && !gone &&
             RunsVersion(state.m_member, aRequest);
    });
}

bool
Fleet::HasConnection(const State& aState, const PlaceRequest& aRequest)
{
  return aState.m_inFlight < aRequest.m_mostOpen;
}

PlaceFault
Fleet::FaultOf(const Obstacles& aObstacles)
{
  const auto& [anyBusy, limitedFor, backOffFor] = aObstacles;
  if (anyBusy) {
    return { NoPlaceCause::Full, kConnectionWait };
  }
  if (backOffFor && *backOffFor <= limitedFor.value_or(Duration::max())) {
    return { NoPlaceCause::BackingOff, *backOffFor };
  }
  return limitedFor ? PlaceFault{ NoPlaceCause::Limited, *limitedFor }
                    : PlaceFault{};
}

PlaceResult
Fleet::FindPlace(const PlaceRequest& aRequest, Instant aNow) const
{
  std::vector<const State*> sound;
  std::vector<const State*> silent;
  Obstacles obstacles;
  auto& [anyBusy, limitedFor, backOffFor] = obstacles;
  for (const auto& [id, state] : m_members) {
    // A stream that only these upstreams can go on with is better tried at an
    // ejected one than given up.
    const bool isEjected = IsEjected(state, aNow);
    if (!MayServe(state, aRequest, aNow) ||
        (isEjected && !aRequest.m_softwareVersion)) {
      continue;
    }
    const Duration backOff = BackOffLeft(state, aNow);
    const Duration roomIn = RoomUnderLimit(state, aRequest, aNow);
    if (backOff.count() > 0) {
      backOffFor = std::min(backOffFor.value_or(backOff), backOff);
    } else if (roomIn.count() > 0) {
      limitedFor = std::min(limitedFor.value_or(Duration::max()), roomIn);
    } else if (!HasConnection(state, aRequest)) {
      anyBusy = true;
    } else if (isEjected || IsUnresponsive(state, aNow) ||
               (state.m_isOnProbation && !aRequest.m_mayProbe)) {
      silent.push_back(&state);
    } else {
      sound.push_back(&state);
    }
  }
  if (sound.empty() && !anyBusy && !limitedFor) {
    // If all members are unresponsive at once, the cause is more likely in the
    // connections than in the members, so they are used all the same.
    sound = std::move(silent);
  }
  if (sound.empty()) {
    const bool isVersionGone =
      aRequest.m_softwareVersion && !IsVersionListed(aRequest, aNow);
    return isVersionGone ? PlaceFault{ NoPlaceCause::VersionGone }
                         : FaultOf(obstacles);
  }
  // Equal estimates are common under low load. Rotating the members by a random
  // number keeps instances from all choosing the first one.
  std::rotate(sound.begin(),
              sound.begin() +
                static_cast<std::ptrdiff_t>(aRequest.m_random % sound.size()),
              sound.end());
  return m_starts.IsEmpty() ? FindAmong(sound, aRequest, aNow)
                            : FindWithStarts(sound, aRequest, aNow);
}

PlaceResult
Fleet::FindAmong(std::span<const State* const> aSound,
                 const PlaceRequest& aRequest,
                 Instant aNow) const
{
  return aRequest.m_prompt ? FindEngine(aSound, aRequest, aNow)
                           : FindPlain(aSound, aRequest);
}

PlaceResult
Fleet::FindPlain(std::span<const State* const> aSound,
                 const PlaceRequest& aRequest) const
{
  const auto expected = [&](const State* aState) {
    const double took =
      aState->m_tookMs == 0 ? kUnknownTookMs : aState->m_tookMs;
    const double busy =
      static_cast<double>(aState->m_inFlight + aState->m_peerInFlight) + 1;
    const bool away = aState->m_member.m_dataCentre != aRequest.m_dataCentre;
    return took * busy * (1 + kFailPenalty * aState->m_failShare) +
           (away ? kOtherDataCentreMs : 0);
  };
  const auto best = std::min_element(
    aSound.begin(), aSound.end(), [&](const State* aLeft, const State* aRight) {
      return expected(aLeft) < expected(aRight);
    });
  return Place{ (*best)->m_member.m_id, {} };
}

double
Fleet::ThroughputOf(const State& aState)
{
  if (aState.m_throughput.Count() >= kMinOwnSamples) {
    return aState.m_throughput.Median();
  }
  return aState.m_roleThroughput > 0
           ? aState.m_roleThroughput
           : DefaultThroughput(aState.m_member.m_role);
}

double
Fleet::ObservedThroughputOf(const State& aState)
{
  return aState.m_observedThroughput > 0
           ? aState.m_observedThroughput
           : DefaultThroughput(aState.m_member.m_role);
}

double
Fleet::FirstTokenMs(const State& aState, std::int64_t aWork, double aThroughput)
{
  const bool generates = aState.m_member.m_role == UpstreamRole::Decode;
  const auto work =
    static_cast<double>(aState.m_tokens + aState.m_peerTokens + aWork);
  const auto running =
    static_cast<double>(aState.m_inFlight + aState.m_peerInFlight);
  return kFirstTokenMs + work / aThroughput +
         (generates ? kRunningMs * running : kHandOverMs);
}

bool
Fleet::IsReservedForDecode(const State& aState, std::uint64_t aReservedBound)
{
  return aState.m_member.m_role == UpstreamRole::Decode &&
         aState.m_hash < aReservedBound;
}

std::uint64_t
Fleet::ReservedHashBound(std::string_view aService, bool aMost) const
{
  // Some decode engines are reserved: they prefill no long prompts. They are
  // those with the lowest hashes, as many as the running calls need. All
  // instances see nearly the same numbers and therefore agree on nearly the
  // same engines.
  std::vector<std::uint64_t> hashes;
  std::int64_t running = 0;
  std::int64_t slots = 1;
  for (const auto& [id, state] : m_members) {
    if (state.m_member.m_role == UpstreamRole::Decode &&
        state.m_member.m_service == aService && !state.m_member.m_leaving) {
      running += state.m_inFlight + state.m_peerInFlight;
      slots = std::max(slots, state.m_member.m_slots);
      hashes.push_back(state.m_hash);
    }
  }
  const auto all = static_cast<double>(hashes.size());
  const double steady =
    std::min(kMaxReservedCalls, kFullShare * static_cast<double>(slots));
  const double wanted = std::ceil(static_cast<double>(running) / steady);
  const double least = std::round(kMinReservedShare * all);
  const double most = std::round(kMaxReservedShare * all);
  const auto quiet = static_cast<std::size_t>(
    aMost ? most : std::clamp(wanted, least, std::max(least, most)));
  if (quiet >= hashes.size()) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  const auto nth = hashes.begin() + static_cast<std::ptrdiff_t>(quiet);
  std::nth_element(hashes.begin(), nth, hashes.end());
  return *nth;
}

bool
Fleet::HasFreeSlots(const State& aState)
{
  const auto running =
    static_cast<double>(aState.m_inFlight + aState.m_peerInFlight);
  return running < kFullShare * static_cast<double>(aState.m_member.m_slots);
}

const Fleet::Candidate*
Fleet::PickPrefillEngine(std::span<const Candidate> aCandidates,
                         const Candidate& aBest,
                         const PlaceRequest& aRequest)
{
  const auto home =
    std::find_if(aCandidates.begin(),
                 aCandidates.end(),
                 [](const Candidate& aItem) { return aItem.m_hasAffinity; });
  if (home != aCandidates.end() &&
      home->m_ms <= aBest.m_ms + kAffinitySlackMs) {
    return &*home;
  }
  const Candidate& better =
    BetterOfTwo(aCandidates, aRequest.m_random, std::less<Candidate>());
  // The drawn engine is not used if its first token would arrive much later
  // than that of the best one.
  const bool isFar = better.m_ms > aBest.m_ms + kMostDrawnMs;
  return isFar ? &aBest : &better;
}

std::optional<Place>
Fleet::WithDecodeTarget(const State& aPrefillEngine,
                        std::span<const State* const> aSound,
                        const PlaceRequest& aRequest)
{
  // A call that was prefilled elsewhere and is handed over to a decode engine
  // waits there behind the prompts that are being prefilled.
  const auto takes = [&](const State* aState) {
    const bool away =
      aState->m_member.m_dataCentre != aPrefillEngine.m_member.m_dataCentre;
    return FirstTokenMs(*aState, 0, ObservedThroughputOf(*aState)) +
           (away ? kRemoteDecodePenaltyMs : 0);
  };
  const auto sooner = [&](const State* aLeft, const State* aRight) {
    return takes(aLeft) < takes(aRight);
  };
  std::vector<const State*> decodeEngines;
  std::copy_if(
    aSound.begin(),
    aSound.end(),
    std::back_inserter(decodeEngines),
    [&](const State* aState) { return MayDecodeFor(*aState, aPrefillEngine); });
  if (decodeEngines.empty()) {
    return std::nullopt;
  }
  const State* best =
    *std::min_element(decodeEngines.begin(), decodeEngines.end(), sooner);
  const State* drawn = BetterOfTwo<const State*>(
    decodeEngines, aRequest.m_random / kNextDraw, sooner);
  const bool isFar = takes(drawn) > takes(best) + kMaxDrawnDecodeMs;
  return Place{ (isFar ? best : drawn)->m_member.m_id,
                aPrefillEngine.m_member.m_id };
}

std::optional<PlaceFault>
Fleet::RefusalOf(std::span<const Candidate> aCandidates,
                 const PlaceRequest& aRequest,
                 Instant aNow) const
{
  // Compares the admission bound with the queueing time and a typical prompt's
  // prefill time, not with the prefill of this prompt: otherwise a queue that
  // lets small prompts pass would shut large ones out.
  const Candidate& soonest =
    *std::min_element(aCandidates.begin(),
                      aCandidates.end(),
                      [](const Candidate& aLeft, const Candidate& aRight) {
                        return aLeft.TypicalFirstMs() < aRight.TypicalFirstMs();
                      });
  const double factor =
    EstimateErrorOf(aRequest.m_service, *aRequest.m_prompt, aNow);
  const Expectation expected{ soonest.WaitMs() * factor, soonest.m_typicalMs };
  const Duration first(
    static_cast<std::int64_t>(expected.m_waitMs + expected.m_ownMs));
  if (first <= aRequest.m_admissionBound) {
    return std::nullopt;
  }
  return PlaceFault{ NoPlaceCause::Full,
                     first - aRequest.m_admissionBound,
                     expected,
                     static_cast<double>(aRequest.m_admissionBound.count()) };
}

bool
Fleet::PassesForItsSize(const Candidate& aBest,
                        const PlaceRequest& aRequest,
                        Instant aNow) const
{
  const double first =
    aBest.m_ms * EstimateErrorOf(aRequest.m_service, *aRequest.m_prompt, aNow);
  return aRequest.m_mayPassForItsSize &&
         aBest.m_prefillMs < aBest.m_typicalMs &&
         first <= static_cast<double>(aRequest.m_admissionBound.count());
}

std::optional<PlaceFault>
Fleet::TooLarge(std::span<const Candidate> aCandidates,
                const PlaceRequest& aRequest)
{
  const auto fastest =
    std::min_element(aCandidates.begin(),
                     aCandidates.end(),
                     [](const Candidate& aLeft, const Candidate& aRight) {
                       return aLeft.m_prefillMs < aRight.m_prefillMs;
                     });
  const auto left = static_cast<double>(aRequest.m_untilGivenUp.count());
  if (kFirstTokenMs + fastest->m_prefillMs <= left) {
    return std::nullopt;
  }
  return PlaceFault{
    NoPlaceCause::TooLarge, {}, { kFirstTokenMs, fastest->m_prefillMs }, left
  };
}

PlaceResult
Fleet::FindEngine(std::span<const State* const> aSound,
                  const PlaceRequest& aRequest,
                  Instant aNow) const
{
  if (!AllowsColocatedPrefill(aRequest.m_service)) {
    if (auto place = FindPrefillEngine(aSound, aRequest, aNow)) {
      return *place;
    }
  }
  const Prompt& prompt = *aRequest.m_prompt;
  const Prompt& typical = TypicalOf(aRequest);
  const bool longPrompt = IsLong(prompt);
  const std::uint64_t home =
    longPrompt ? AffinityTargetOf(prompt.m_sharedKey, aRequest.m_service, aNow)
               : 0;
  const std::uint64_t reservedBound =
    ReservedHashBound(aRequest.m_service, false);
  // Output is produced steadily on engines that prefill no long prompts, so
  // short prompts go to these reserved engines as long as one has free slots.
  const bool reservedHasRoom =
    std::any_of(aSound.begin(), aSound.end(), [&](const State* aState) {
      return IsReservedForDecode(*aState, reservedBound) &&
             HasFreeSlots(*aState);
    });
  std::vector<Candidate> fitting;
  std::vector<Candidate> decodeCandidates;
  for (const State* state : aSound) {
    const bool isHome = longPrompt && state->m_hash == home;
    const std::int64_t work = WorkToPrefill(prompt, isHome);
    const double throughput = ObservedThroughputOf(*state);
    const Candidate item{ state,
                          FirstTokenMs(*state, work, throughput),
                          isHome,
                          static_cast<double>(work) / throughput,
                          static_cast<double>(WorkToPrefill(typical, isHome)) /
                            throughput };
    const bool reads = state->m_member.m_role == UpstreamRole::Prefill;
    if (reads && !HasDecodeEngine(aSound, *state)) {
      continue;
    }
    const bool quiet = IsReservedForDecode(*state, reservedBound);
    if (longPrompt ? !quiet : !reads && (quiet || !reservedHasRoom)) {
      fitting.push_back(item);
    }
    if (!reads) {
      decodeCandidates.push_back(item);
    }
  }
  if (decodeCandidates.empty()) {
    return PlaceFault{}; // No engine could decode the output.
  }
  const auto& candidates = fitting.empty() ? decodeCandidates : fitting;
  const Candidate& best =
    *std::min_element(candidates.begin(), candidates.end());
  bool forItsSize = false;
  if (aRequest.m_admissionBound != Duration::max()) {
    if (auto fault = TooLarge(candidates, aRequest)) {
      return *fault;
    }
    if (auto fault = RefusalOf(candidates, aRequest, aNow)) {
      forItsSize = PassesForItsSize(best, aRequest, aNow);
      if (!forItsSize) {
        return *fault;
      }
    }
  }
  const Candidate& chosen = *PickPrefillEngine(candidates, best, aRequest);
  const State& state = *chosen.m_state;
  // An upstream that tells no role runs its calls alone.
  auto place = state.m_member.m_role == UpstreamRole::Prefill
                 ? WithDecodeTarget(state, aSound, aRequest)
                 : Place{ state.m_member.m_id, {} };
  if (!place) {
    return PlaceFault{}; // No engine could decode the output.
  }
  place->m_expectedMs = chosen.m_ms;
  place->m_forItsSize = forItsSize;
  return *place;
}

} // namespace ridgeferry::relay
