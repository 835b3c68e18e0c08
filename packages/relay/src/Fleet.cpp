#include "ridgeferry/relay/Fleet.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::relay {

namespace {

/** Weight of the newest attempt in smoothed figures: about the last ten. */
constexpr double kNewest = 0.1;
/** An engine that generates reads prompts at half the pace. */
constexpr double kGenerateReadCost = 2.0;
/** What handing a prompt's memory over costs, as tokens to read: about two
 * milliseconds at three hundred tokens a millisecond. */
constexpr double kHandOverTokens = 600;
/** What one call that generates costs the others there, in tokens. */
constexpr double kRunningTokens = 40;
/** Other instances send as well; this one sees its own share. Three: their
 * sends spread out over engines as ours do. */
constexpr double kOthers = 3;
/** Least expected time of a plain call before any was seen, in ms. */
constexpr double kUnknownTookMs = 10;
/** A member that fails all its calls looks this many times slower. */
constexpr double kFailPenalty = 8;
/** Another hall costs a plain call this much more, in ms: its way there. */
constexpr double kOtherHallMs = 3;
/** Below this a prompt is not worth a home: reading it takes a millisecond. */
constexpr std::int64_t kLeastSharedTokens = 512;

double
Smooth(double aOld, double aNew)
{
  return aOld == 0 ? aNew : aOld + kNewest * (aNew - aOld);
}

/** Weighted rendezvous: the higher, the nearer; `aWeight` members' worth. */
double
HomeScore(std::uint64_t aKey, std::uint64_t aMember, double aWeight)
{
  const auto hash = static_cast<double>(RendezvousWeight(aKey, aMember));
  const auto range =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double unit = (hash + 1) / (range + 2);
  return -aWeight / std::log(unit);
}

double
HomeWeight(Part aPart)
{
  return aPart == Part::Prefill ? kGenerateReadCost : 1;
}

} // namespace

void
Fleet::Put(const Member& aMember)
{
  State& state = m_members[aMember.m_id];
  state.m_member = aMember;
  state.m_hash = Hash64(aMember.m_id);
  state.m_goneAt.reset();
}

void
Fleet::Drop(std::string_view aId, bool aMayHaveLapsed, Instant aNow)
{
  const auto found = m_members.find(aId);
  if (found == m_members.end()) {
    return;
  }
  State& state = found->second;
  if (aMayHaveLapsed && !state.m_member.m_leaving) {
    state.m_goneAt = aNow + kLapseGrace;
    return;
  }
  m_members.erase(found);
}

void
Fleet::Tick(Instant aNow)
{
  std::erase_if(m_members, [aNow](const auto& aEntry) {
    return aEntry.second.m_goneAt && aNow >= *aEntry.second.m_goneAt;
  });
}

const Member*
Fleet::Find(std::string_view aId) const
{
  const auto found = m_members.find(aId);
  return found == m_members.end() ? nullptr : &found->second.m_member;
}

std::int64_t
Fleet::TokensToRead(const Prompt& aPrompt, bool aKept)
{
  return aPrompt.m_ownTokens + (aKept ? 0 : aPrompt.m_sharedTokens);
}

bool
Fleet::IsHome(const Prompt& aPrompt, std::string_view aId) const
{
  const auto found = m_members.find(aId);
  if (found == m_members.end() || aPrompt.m_sharedTokens < kLeastSharedTokens) {
    return false;
  }
  const auto homes =
    HomesOf(aPrompt.m_sharedKey, found->second.m_member.m_service);
  return std::find(homes.begin(), homes.end(), found->second.m_hash) !=
         homes.end();
}

std::vector<std::uint64_t>
Fleet::HomesOf(std::uint64_t aKey, std::string_view aService) const
{
  // One home: the fleet's memory holds the hot chains about once.
  double best = -1;
  std::uint64_t home = 0;
  for (const auto& [id, state] : m_members) {
    if (state.m_member.m_service != aService || state.m_member.m_leaving) {
      continue;
    }
    const double score =
      HomeScore(aKey, state.m_hash, HomeWeight(state.m_member.m_part));
    if (score > best) {
      best = score;
      home = state.m_hash;
    }
  }
  return { home };
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
  const bool rests = aState.m_restsUntil && aNow < *aState.m_restsUntil;
  return member.m_service == aRequest.m_service && !member.m_leaving &&
         !excluded && !rests;
}

PlaceResult
Fleet::FindPlace(const PlaceRequest& aRequest, Instant aNow) const
{
  std::vector<const State*> sound;
  for (const auto& [id, state] : m_members) {
    if (MayServe(state, aRequest, aNow)) {
      sound.push_back(&state);
    }
  }
  if (sound.empty()) {
    return PlaceFault::NoUpstream;
  }
  // Equal estimates are common when little is under way: start anywhere.
  std::rotate(sound.begin(),
              sound.begin() +
                static_cast<std::ptrdiff_t>(aRequest.m_random % sound.size()),
              sound.end());
  return aRequest.m_prompt ? FindEngine(sound, aRequest)
                           : FindPlain(sound, aRequest);
}

PlaceResult
Fleet::FindPlain(std::span<const State* const> aSound,
                 const PlaceRequest& aRequest) const
{
  const auto expected = [&](const State* aState) {
    const double took =
      aState->m_tookMs == 0 ? kUnknownTookMs : aState->m_tookMs;
    const double busy = static_cast<double>(aState->m_inFlight) + 1;
    const bool away = aState->m_member.m_hall != aRequest.m_hall;
    return took * busy * (1 + kFailPenalty * aState->m_failShare) +
           (away ? kOtherHallMs : 0);
  };
  const auto best = std::min_element(
    aSound.begin(), aSound.end(), [&](const State* aLeft, const State* aRight) {
      return expected(aLeft) < expected(aRight);
    });
  return Place{ (*best)->m_member.m_id, {} };
}

PlaceResult
Fleet::FindEngine(std::span<const State* const> aSound,
                  const PlaceRequest& aRequest) const
{
  const Prompt& prompt = *aRequest.m_prompt;
  const bool longPrompt = prompt.m_sharedTokens >= kLeastSharedTokens;
  const std::vector<std::uint64_t> homes =
    longPrompt ? HomesOf(prompt.m_sharedKey, aRequest.m_service)
               : std::vector<std::uint64_t>{};
  const auto cost = [&](const State* aState) {
    const bool kept =
      std::find(homes.begin(), homes.end(), aState->m_hash) != homes.end();
    const double waiting = kOthers * static_cast<double>(aState->m_tokens);
    const auto reading = static_cast<double>(TokensToRead(prompt, kept));
    const bool generates = aState->m_member.m_part == Part::Generate;
    const double running =
      kRunningTokens * static_cast<double>(aState->m_inFlight);
    return (waiting + reading) * (generates ? kGenerateReadCost : 1) +
           (generates ? running : kHandOverTokens);
  };
  const State* generator = nullptr;
  const State* reader = nullptr;
  for (const State* state : aSound) {
    const State*& best =
      state->m_member.m_part == Part::Prefill ? reader : generator;
    if (best == nullptr || cost(state) < cost(best)) {
      best = state;
    }
  }
  if (generator == nullptr) {
    return PlaceFault::NoUpstream;
  }
  const bool handOver =
    longPrompt && reader != nullptr && cost(reader) < cost(generator);
  if (!handOver) {
    return Place{ generator->m_member.m_id, {} };
  }
  // The memory moves faster inside a hall; any of its generators will do.
  const auto taking = [&](const State* aState) {
    const bool away = aState->m_member.m_hall != reader->m_member.m_hall;
    return kOthers * static_cast<double>(aState->m_tokens) +
           kRunningTokens * static_cast<double>(aState->m_inFlight) +
           (away ? kHandOverTokens : 0);
  };
  for (const State* state : aSound) {
    if (state->m_member.m_part == Part::Generate &&
        taking(state) < taking(generator)) {
      generator = state;
    }
  }
  return Place{ generator->m_member.m_id, reader->m_member.m_id };
}

void
Fleet::NoteSent(std::string_view aId, std::int64_t aTokens)
{
  const auto found = m_members.find(aId);
  if (found != m_members.end()) {
    ++found->second.m_inFlight;
    found->second.m_tokens += aTokens;
  }
}

void
Fleet::NoteFirstByte(std::string_view aId, std::int64_t aTokens)
{
  const auto found = m_members.find(aId);
  if (found != m_members.end()) {
    State& state = found->second;
    state.m_tokens = std::max<std::int64_t>(0, state.m_tokens - aTokens);
  }
}

void
Fleet::NoteEnded(std::string_view aId,
                 std::int64_t aTokens,
                 MemberEnd aEnd,
                 Duration aTook,
                 Instant aNow)
{
  const auto found = m_members.find(aId);
  if (found == m_members.end()) {
    return; // It left meanwhile; what ran there counts no more.
  }
  State& state = found->second;
  // A member that lapsed and came back starts anew at none.
  state.m_inFlight = std::max<std::int64_t>(0, state.m_inFlight - 1);
  state.m_tokens = std::max<std::int64_t>(0, state.m_tokens - aTokens);
  if (aEnd == MemberEnd::Abandoned || aEnd == MemberEnd::Declined) {
    return;
  }
  const bool failed = aEnd == MemberEnd::Failed;
  state.m_failShare += kNewest * ((failed ? 1 : 0) - state.m_failShare);
  if (!failed) {
    state.m_failuresInRow = 0;
    state.m_tookMs = Smooth(state.m_tookMs, static_cast<double>(aTook.count()));
    return;
  }
  if (++state.m_failuresInRow >= kFailuresToRest) {
    state.m_restsUntil = aNow + kRest;
    state.m_failuresInRow = 0;
  }
}

} // namespace ridgeferry::relay
