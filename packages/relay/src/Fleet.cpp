#include "ridgeferry/relay/Fleet.h"

#include "EnginePace.h"

#include <algorithm>
#include <cmath>
#include <ridgeferry/base/Hash.h>
#include <utility>

namespace ridgeferry::relay {

namespace {

/**
 * Weight of the newest sample in smoothed values, which therefore cover about
 * the last ten samples.
 */
constexpr double kNewest = 0.1;
/**
 * Bounds of a throughput sample, in work units per millisecond, and the least
 * work of a usable sample. With less work the network round trip takes more of
 * the time than the prefill.
 */
constexpr double kLowestPace = 10;
constexpr double kHighestPace = 2000;
constexpr std::int64_t kLeastPaceTokens = 1500;
/**
 * Time constant for smoothing estimate errors. A load peak rises within half a
 * second, and its end should be noticed as quickly.
 */
constexpr Duration kStretchMemory{ 500 };
/**
 * Bounds of the estimate error, and the least expected time that it is computed
 * from: network round trips alone take some milliseconds.
 */
constexpr double kLeastStretch = 0.7;
constexpr double kMostStretch = 6;
constexpr double kLeastExpectedMs = 20;
/** Maximum weight of a single first token in the estimate error. */
constexpr double kMostStretchWeight = 0.5;

double
Smooth(double aOld, double aNew)
{
  return aOld == 0 ? aNew : aOld + kNewest * (aNew - aOld);
}

} // namespace

LifeOrder
Fleet::NoteLife(const Member& aMember)
{
  if (!aMember.m_born) {
    return LifeOrder::Same;
  }
  if (m_born.size() > m_members.size() + kMostPastLives) {
    std::erase_if(m_born, [this](const auto& aEntry) {
      return !m_members.contains(aEntry.first);
    });
  }
  const auto [known, isFirst] = m_born.emplace(aMember.m_id, *aMember.m_born);
  const LifeOrder order = Compare(known->second, aMember.m_born);
  known->second = std::max(known->second, *aMember.m_born);
  return order;
}

void
Fleet::ForgetLife(const std::string& aId)
{
  const std::uint32_t hash = ShortHash(aId);
  m_members.erase(aId);
  m_kept.ForgetMember(hash);
  std::erase_if(m_ownReads, [hash](const auto& aRead) {
    return aRead.second.m_member == hash;
  });
}

LifeOrder
Fleet::Put(const Member& aMember)
{
  const LifeOrder order = NoteLife(aMember);
  if (order == LifeOrder::Earlier) {
    return order;
  }
  if (order == LifeOrder::Later) {
    ForgetLife(aMember.m_id);
  }
  Update(aMember);
  return order;
}

void
Fleet::Update(const Member& aMember)
{
  const bool isNew = !m_members.contains(aMember.m_id);
  State& state = m_members[aMember.m_id];
  const bool leaves = state.m_member.m_leaving || aMember.m_leaving;
  state.m_member = aMember;
  state.m_member.m_leaving = leaves;
  state.m_listedPart = aMember.m_part;
  UseNews(state);
  state.m_hash = Hash64(aMember.m_id);
  m_byShortHash[ShortHash(aMember.m_id)] = aMember.m_id;
  state.m_goneAt.reset();
  if (!isNew) {
    return;
  }
  const std::uint32_t hash = ShortHash(aMember.m_id);
  for (const auto& [instance, loads] : m_others) {
    for (const OtherLoad& load : loads) {
      if (load.m_member == hash) {
        state.m_othersInFlight += load.m_running;
        state.m_othersTokens += load.m_tokens;
      }
    }
  }
}

void
Fleet::Drop(std::string_view aId, std::optional<Instant> aLapsesUntil)
{
  const auto found = m_members.find(aId);
  if (found == m_members.end()) {
    return;
  }
  State& state = found->second;
  if (aLapsesUntil && !state.m_member.m_leaving) {
    state.m_goneAt = *aLapsesUntil;
    return;
  }
  m_members.erase(found);
}

void
Fleet::BoundGraces(std::string_view aHall, Instant aUntil)
{
  for (auto& [id, state] : m_members) {
    if (state.m_goneAt && state.m_member.m_hall == aHall) {
      state.m_goneAt = std::min(*state.m_goneAt, aUntil);
    }
  }
}

void
Fleet::MarkLeaving(const UpstreamLife& aUpstream)
{
  const auto found = m_members.find(aUpstream.m_id);
  if (found == m_members.end()) {
    return;
  }
  const auto& held = found->second.m_member.m_born;
  if (Compare(held, aUpstream.m_born) == LifeOrder::Same) {
    found->second.m_member.m_leaving = true;
  }
}

std::vector<std::string>
Fleet::Tick(Instant aNow)
{
  std::vector<std::string> ended;
  std::erase_if(m_members, [&](const auto& aEntry) {
    const bool ends = aEntry.second.m_goneAt && aNow >= *aEntry.second.m_goneAt;
    if (ends) {
      ended.push_back(aEntry.first);
    }
    return ends;
  });
  return ended;
}

std::uint32_t
Fleet::ShortHash(std::string_view aId)
{
  return static_cast<std::uint32_t>(Hash64(aId));
}

void
Fleet::AddOther(std::span<const OtherLoad> aLoads, std::int64_t aSign)
{
  for (const OtherLoad& load : aLoads) {
    const auto id = m_byShortHash.find(load.m_member);
    if (id == m_byShortHash.end()) {
      continue; // The member is not listed here yet.
    }
    const auto found = m_members.find(id->second);
    if (found != m_members.end()) {
      found->second.m_othersInFlight += aSign * load.m_running;
      found->second.m_othersTokens += aSign * load.m_tokens;
    }
  }
}

void
Fleet::SetOther(const std::string& aInstance, std::vector<OtherLoad> aLoads)
{
  const auto known = m_others.find(aInstance);
  if (known != m_others.end()) {
    AddOther(known->second, -1);
    m_others.erase(known);
  }
  if (!aLoads.empty()) {
    AddOther(aLoads, 1);
    m_others.emplace(aInstance, std::move(aLoads));
  }
}

void
Fleet::NotePrompt(std::string_view aService,
                  const Prompt& aPrompt,
                  Duration aPause)
{
  ServiceBelief& belief = m_beliefs[std::string(aService)];
  const auto held = static_cast<double>(
    aPrompt.m_sharedTokens + aPrompt.m_ownTokens + aPrompt.m_outTokens);
  belief.m_heldTokens = Smooth(belief.m_heldTokens, held);
  if (IsLong(aPrompt)) {
    belief.m_beside.NotePrompt(static_cast<double>(WorkToRead(aPrompt, false)),
                               aPause);
  }
}

std::vector<OtherLoad>
Fleet::OwnLoads() const
{
  std::vector<OtherLoad> out;
  for (const auto& [id, state] : m_members) {
    if (state.m_inFlight != 0 || state.m_tokens != 0) {
      out.push_back({ ShortHash(id), state.m_inFlight, state.m_tokens });
    }
  }
  return out;
}

const Member*
Fleet::Find(std::string_view aId) const
{
  const auto found = m_members.find(aId);
  return found == m_members.end() ? nullptr : &found->second.m_member;
}

std::int64_t
Fleet::TokensAt(std::string_view aId) const
{
  const auto found = m_members.find(aId);
  return found == m_members.end()
           ? 0
           : found->second.m_tokens + found->second.m_othersTokens;
}

double
Fleet::StretchOf(std::string_view aService, const Prompt& aPrompt) const
{
  const auto& stretches = IsLong(aPrompt) ? m_longStretch : m_shortStretch;
  const auto found = stretches.find(aService);
  return found == stretches.end() ? 1 : found->second.m_factor;
}

void
Fleet::NoteFirstToken(std::string_view aService,
                      const Prompt& aPrompt,
                      double aExpectedMs,
                      Duration aTook,
                      Instant aNow)
{
  auto& stretches = IsLong(aPrompt) ? m_longStretch : m_shortStretch;
  Stretch& stretch = stretches[std::string(aService)];
  const double seen = std::clamp(static_cast<double>(aTook.count()) /
                                   std::max(aExpectedMs, kLeastExpectedMs),
                                 kLeastStretch,
                                 kMostStretch);
  const double age = static_cast<double>((aNow - stretch.m_at).count());
  const double weight =
    std::max(kNewest / 2,
             1 - std::exp(-age / static_cast<double>(kStretchMemory.count())));
  stretch.m_factor +=
    std::min(weight, kMostStretchWeight) * (seen - stretch.m_factor);
  stretch.m_at = aNow;
}

void
Fleet::NotePace(const PaceSample& aSample)
{
  const auto found = m_members.find(aSample.m_engine);
  if (found == m_members.end() || aSample.m_work < kLeastPaceTokens) {
    return;
  }
  const double took =
    std::max(1.0, static_cast<double>(aSample.m_took.count()) - kFirstTokenMs);
  const double pace = std::clamp(
    static_cast<double>(aSample.m_work) / took, kLowestPace, kHighestPace);
  State& state = found->second;
  ServiceBelief& belief = m_beliefs[state.m_member.m_service];
  const bool generates = state.m_member.m_part == Part::Generate;
  if (generates) {
    belief.m_beside.NotePace(pace);
  }
  state.m_metPace = Smooth(MetPaceOf(state), pace);
  if (!aSample.m_isClean) {
    return;
  }
  state.m_pace.Note(pace);
  (generates ? belief.m_generators : belief.m_readers).Note(pace);
  for (auto& [id, other] : m_members) {
    if (other.m_member.m_service == state.m_member.m_service) {
      other.m_kindPace = KindPaceOf(other.m_member);
    }
  }
}

double
Fleet::KindPaceOf(const Member& aMember) const
{
  const auto belief = m_beliefs.find(aMember.m_service);
  if (belief == m_beliefs.end()) {
    return 0;
  }
  const bool generates = aMember.m_part == Part::Generate;
  const MedianPace& own =
    generates ? belief->second.m_generators : belief->second.m_readers;
  const MedianPace& others =
    generates ? belief->second.m_readers : belief->second.m_generators;
  if (own.Count() > 0) {
    return own.Median();
  }
  return generates ? others.Median() / kGenerateReadCost
                   : others.Median() * kGenerateReadCost;
}

void
Fleet::NoteSent(std::string_view aId, std::int64_t aTokens, Instant aNow)
{
  const auto found = m_members.find(aId);
  if (found == m_members.end()) {
    return;
  }
  State& state = found->second;
  ++state.m_inFlight;
  state.m_tokens += aTokens;
  if (!state.m_unheardSince) {
    state.m_unheardSince = aNow;
  }
}

bool
Fleet::NoteHeard(std::string_view aId)
{
  const auto found = m_members.find(aId);
  if (found == m_members.end()) {
    return false;
  }
  found->second.m_unheardSince.reset();
  found->second.m_rest = kRest;
  return std::exchange(found->second.m_mustProve, false);
}

void
Fleet::NoteOutOfReach(std::string_view aId, Instant aNow)
{
  const auto found = m_members.find(aId);
  if (found != m_members.end()) {
    Rest(found->second, aNow);
  }
}

void
Fleet::Rest(State& aState, Instant aNow)
{
  if (aState.m_restsUntil && aNow < *aState.m_restsUntil &&
      aState.m_mustProve) {
    // Several calls to the member fail at the same time; only the first one
    // counts.
    return;
  }
  aState.m_restsUntil = aNow + aState.m_rest;
  if (aState.m_mustProve) {
    aState.m_rest = std::min(aState.m_rest * 2, kLongestRest);
  }
  aState.m_mustProve = true;
}

Duration
Fleet::SilenceOf(const State& aState)
{
  if (aState.m_member.m_part == Part::Whole) {
    return kSilence;
  }
  const auto waits =
    static_cast<double>(aState.m_tokens + aState.m_othersTokens);
  const double workMs = kSilenceOfWork * waits / PaceOf(aState);
  return std::min(kSilence + Duration(std::llround(workMs)), kMostSilence);
}

bool
Fleet::IsSilent(const State& aState, Instant aNow)
{
  if (!aState.m_unheardSince) {
    return false;
  }
  return aState.m_mustProve ||
         aNow - *aState.m_unheardSince >= SilenceOf(aState);
}

bool
Fleet::IsSilent(std::string_view aId, Instant aNow) const
{
  const auto found = m_members.find(aId);
  return found != m_members.end() && IsSilent(found->second, aNow);
}

bool
Fleet::NeedsOwnConnection(std::string_view aId, Instant aNow) const
{
  const auto found = m_members.find(aId);
  return found != m_members.end() &&
         (found->second.m_mustProve || IsSilent(found->second, aNow));
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

bool
Fleet::NoteEnded(std::string_view aId,
                 std::int64_t aTokens,
                 AttemptEnd aEnd,
                 Duration aTook,
                 Instant aNow)
{
  const auto found = m_members.find(aId);
  if (found == m_members.end()) {
    // The member was removed in the meantime, and with it its load.
    return false;
  }
  State& state = found->second;
  // A member that expired and was listed again has started from zero calls, so
  // the counts must not become negative.
  state.m_inFlight = std::max<std::int64_t>(0, state.m_inFlight - 1);
  state.m_tokens = std::max<std::int64_t>(0, state.m_tokens - aTokens);
  const bool silent = IsSilent(state, aNow);
  if (state.m_inFlight == 0) {
    // No call to the member is unanswered any more.
    state.m_unheardSince.reset();
  }
  const bool rests = silent && aEnd != AttemptEnd::Displaced;
  if (rests) {
    Rest(state, aNow);
  }
  if (aEnd == AttemptEnd::Declined) {
    if (++state.m_declinesInRow < kDeclinesToRest) {
      return rests;
    }
    state.m_declinesInRow = 0;
    state.m_restsUntil = aNow + kDeclinedRest;
    return true;
  }
  if (aEnd == AttemptEnd::Abandoned) {
    return rests;
  }
  if (aEnd == AttemptEnd::Displaced) {
    state.m_restsUntil = aNow + kDisplacedRest;
    return true;
  }
  const bool failed = aEnd == AttemptEnd::Failed;
  state.m_failShare += kNewest * ((failed ? 1 : 0) - state.m_failShare);
  if (!failed) {
    state.m_failuresInRow = 0;
    state.m_declinesInRow = 0;
    state.m_tookMs = Smooth(state.m_tookMs, static_cast<double>(aTook.count()));
    return rests;
  }
  if (++state.m_failuresInRow < kFailuresToRest) {
    return rests;
  }
  state.m_restsUntil = aNow + kRest;
  state.m_failuresInRow = 0;
  return true;
}

} // namespace ridgeferry::relay
