#include "ridgeferry/relay/Fleet.h"

#include "EngineThroughput.h"

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
 * Bounds of a throughput sample, in units of work (see `Fleet::WorkOf`) per
 * millisecond, and the least work of a usable sample. With less work the
 * network round trip takes more of the time than the prefill.
 */
constexpr double kMinThroughput = 10;
constexpr double kMaxThroughput = 2000;
constexpr std::int64_t kLeastPaceTokens = 1500;
/**
 * Time constant for smoothing estimate errors, the ratios of measured to
 * expected first-token time; in ms. A load peak rises within half a second, and
 * its end should be noticed as quickly.
 */
constexpr Duration kEstimateErrorMemory{ 500 };
/**
 * Time constant with which the estimate error fades while no first token is
 * measured. Longer than the pauses between prompts under load.
 */
constexpr Duration kEstimateErrorFade{ 2000 };
/**
 * Bounds of the estimate error, and the least expected time, in ms, that it is
 * computed from: network round trips alone take some milliseconds.
 */
constexpr double kMinEstimateError = 0.7;
constexpr double kMaxEstimateError = 6;
constexpr double kLeastExpectedMs = 20;
/**
 * Maximum weight of a single measured first token in the smoothed estimate
 * error.
 */
constexpr double kMaxEstimateErrorWeight = 0.5;

double
Smooth(double aOld, double aNew)
{
  return aOld == 0 ? aNew : aOld + kNewest * (aNew - aOld);
}

} // namespace

IncarnationOrder
Fleet::NoteIncarnation(const Member& aMember)
{
  if (!aMember.m_born) {
    return IncarnationOrder::Same;
  }
  if (m_born.size() > m_members.size() + kMostPastIncarnations) {
    std::erase_if(m_born, [this](const auto& aEntry) {
      return !m_members.contains(aEntry.first);
    });
  }
  const auto [known, isFirst] = m_born.emplace(aMember.m_id, *aMember.m_born);
  const IncarnationOrder order = Compare(known->second, aMember.m_born);
  known->second = std::max(known->second, *aMember.m_born);
  return order;
}

void
Fleet::ForgetIncarnation(const std::string& aId)
{
  const std::uint32_t hash = ShortHash(aId);
  m_limits.Forget(hash);
  m_starts.Forget(aId);
  m_members.erase(aId);
  m_prefixCaches.ForgetEngine(hash);
  std::erase_if(m_ownPrefills, [hash](const auto& aRead) {
    return aRead.second.m_member == hash;
  });
}

IncarnationOrder
Fleet::Put(const Member& aMember)
{
  const IncarnationOrder order = NoteIncarnation(aMember);
  if (order == IncarnationOrder::Earlier) {
    return order;
  }
  if (order == IncarnationOrder::Later) {
    ForgetIncarnation(aMember.m_id);
  }
  Update(aMember);
  return order;
}

IncarnationOrder
Fleet::Put(const Member& aMember, Instant aNow)
{
  // A row may have expired, and come back, while its upstream kept running.
  const auto born = m_born.find(aMember.m_id);
  const bool wasKnown =
    m_members.contains(aMember.m_id) ||
    (born != m_born.end() && aMember.m_born == born->second);
  const IncarnationOrder order = Put(aMember);
  if (order == IncarnationOrder::Later ||
      (order == IncarnationOrder::Same && !wasKnown)) {
    m_starts.NoteStarted(aMember.m_id, aMember.m_service, aNow);
  }
  return order;
}

void
Fleet::Update(const Member& aMember)
{
  const bool isNew = !m_members.contains(aMember.m_id);
  State& state = m_members[aMember.m_id];
  if (aMember.m_leaving) {
    m_notices.NoteLeaving(aMember.Incarnation());
  }
  const bool leaves = state.m_member.m_leaving || aMember.m_leaving ||
                      m_notices.IsLeaving(aMember.Incarnation());
  state.m_member = aMember;
  state.m_member.m_leaving = leaves;
  state.m_listedRole = aMember.m_role;
  ApplyRoleUpdate(state);
  state.m_hash = Hash64(aMember.m_id);
  m_byShortHash[ShortHash(aMember.m_id)] = aMember.m_id;
  state.m_goneAt.reset();
  if (!isNew) {
    return;
  }
  state.m_backOffUntil = m_notices.BackOffUntil(aMember.Incarnation());
  const std::uint32_t hash = ShortHash(aMember.m_id);
  for (const auto& [instance, loads] : m_peerLoads) {
    for (const PeerLoad& load : loads) {
      if (load.m_member == hash) {
        state.m_peerInFlight += load.m_running;
        state.m_peerTokens += load.m_tokens;
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
  m_starts.Forget(aId);
  m_members.erase(found);
}

void
Fleet::BoundGracePeriods(std::string_view aDataCentre, Instant aUntil)
{
  for (auto& [id, state] : m_members) {
    if (state.m_goneAt && state.m_member.m_dataCentre == aDataCentre) {
      state.m_goneAt = std::min(*state.m_goneAt, aUntil);
    }
  }
}

std::vector<std::string>
Fleet::Tick(Instant aNow)
{
  for (auto& [id, state] : m_members) {
    if (state.m_backOffUntil &&
        aNow >= *state.m_backOffUntil + kBackOffReturn) {
      state.m_backOffUntil.reset();
      state.m_isBackOffTried = false;
    }
  }
  std::vector<State*> inStart;
  for (auto& [id, state] : m_members) {
    if (m_starts.IsInStart(ShortHash(id))) {
      inStart.push_back(&state);
    }
  }
  m_starts.Tick(aNow);
  for (State* state : inStart) {
    if (!m_starts.IsInStart(ShortHash(state->m_member.m_id))) {
      ForgetStart(*state);
    }
  }
  std::vector<std::string> ended;
  std::erase_if(m_members, [&](const auto& aEntry) {
    const bool ends = aEntry.second.m_goneAt && aNow >= *aEntry.second.m_goneAt;
    if (ends) {
      m_starts.Forget(aEntry.first);
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

std::string_view
Fleet::IdOf(std::uint32_t aShortHash) const
{
  const auto found = m_byShortHash.find(aShortHash);
  return found == m_byShortHash.end() ? std::string_view{} : found->second;
}

void
Fleet::AddPeerLoads(std::span<const PeerLoad> aLoads, std::int64_t aSign)
{
  for (const PeerLoad& load : aLoads) {
    const auto id = m_byShortHash.find(load.m_member);
    if (id == m_byShortHash.end()) {
      continue; // The member is not listed here yet.
    }
    const auto found = m_members.find(id->second);
    if (found != m_members.end()) {
      found->second.m_peerInFlight += aSign * load.m_running;
      found->second.m_peerTokens += aSign * load.m_tokens;
    }
  }
}

void
Fleet::SetPeerLoads(const std::string& aInstance, std::vector<PeerLoad> aLoads)
{
  const auto known = m_peerLoads.find(aInstance);
  if (known != m_peerLoads.end()) {
    AddPeerLoads(known->second, -1);
    m_peerLoads.erase(known);
  }
  if (!aLoads.empty()) {
    AddPeerLoads(aLoads, 1);
    m_peerLoads.emplace(aInstance, std::move(aLoads));
  }
}

bool
Fleet::RunsEngines(std::string_view aService) const
{
  return std::any_of(
    m_members.begin(), m_members.end(), [aService](const auto& aEntry) {
      const Member& member = aEntry.second.m_member;
      return member.m_service == aService &&
             member.m_role != UpstreamRole::Plain;
    });
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
    belief.m_colocatedPrefill.NotePrompt(
      static_cast<double>(WorkToPrefill(aPrompt, false)), aPause);
  }
}

std::vector<PeerLoad>
Fleet::OwnLoads() const
{
  std::vector<PeerLoad> out;
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
           : found->second.m_tokens + found->second.m_peerTokens;
}

double
Fleet::EstimateErrorOf(std::string_view aService,
                       const Prompt& aPrompt,
                       Instant aNow) const
{
  const auto& stretches =
    IsLong(aPrompt) ? m_longPromptErrors : m_shortPromptErrors;
  const auto found = stretches.find(aService);
  if (found == stretches.end()) {
    return 1;
  }
  const auto age = static_cast<double>((aNow - found->second.m_at).count());
  const double kept =
    std::exp(-age / static_cast<double>(kEstimateErrorFade.count()));
  return 1 + (found->second.m_factor - 1) * kept;
}

void
Fleet::NoteFirstToken(std::string_view aService,
                      const Prompt& aPrompt,
                      double aExpectedMs,
                      Duration aTook,
                      Instant aNow)
{
  auto& stretches = IsLong(aPrompt) ? m_longPromptErrors : m_shortPromptErrors;
  EstimateError& stretch = stretches[std::string(aService)];
  const double seen = std::clamp(static_cast<double>(aTook.count()) /
                                   std::max(aExpectedMs, kLeastExpectedMs),
                                 kMinEstimateError,
                                 kMaxEstimateError);
  const double age = static_cast<double>((aNow - stretch.m_at).count());
  const double weight = std::max(
    kNewest / 2,
    1 - std::exp(-age / static_cast<double>(kEstimateErrorMemory.count())));
  stretch.m_factor +=
    std::min(weight, kMaxEstimateErrorWeight) * (seen - stretch.m_factor);
  stretch.m_at = aNow;
}

void
Fleet::NoteThroughput(const ThroughputSample& aSample)
{
  const auto found = m_members.find(aSample.m_engine);
  if (found == m_members.end() || aSample.m_work < kLeastPaceTokens) {
    return;
  }
  const double took =
    std::max(1.0, static_cast<double>(aSample.m_took.count()) - kFirstTokenMs);
  const double throughput = std::clamp(
    static_cast<double>(aSample.m_work) / took, kMinThroughput, kMaxThroughput);
  State& state = found->second;
  if (IsInStart(state)) {
    const double usual = UsualOf(state, &State::m_observedThroughput);
    NoteStartAnswer(state,
                    { aSample.m_sentAt, true, usual / throughput },
                    aSample.m_sentAt + aSample.m_took);
  }
  ServiceBelief& belief = m_beliefs[state.m_member.m_service];
  const bool generates = state.m_member.m_role == UpstreamRole::Decode;
  if (generates) {
    belief.m_colocatedPrefill.NoteThroughput(throughput);
  }
  state.m_observedThroughput = Smooth(ObservedThroughputOf(state), throughput);
  if (!aSample.m_isClean) {
    return;
  }
  state.m_throughput.Note(throughput);
  (generates ? belief.m_decodeThroughput : belief.m_prefillThroughput)
    .Note(throughput);
  for (auto& [id, other] : m_members) {
    if (other.m_member.m_service == state.m_member.m_service) {
      other.m_roleThroughput = RoleThroughputOf(other.m_member);
    }
  }
}

double
Fleet::RoleThroughputOf(const Member& aMember) const
{
  const auto belief = m_beliefs.find(aMember.m_service);
  if (belief == m_beliefs.end()) {
    return 0;
  }
  const bool generates = aMember.m_role == UpstreamRole::Decode;
  const MedianThroughput& own = generates ? belief->second.m_decodeThroughput
                                          : belief->second.m_prefillThroughput;
  const MedianThroughput& others = generates
                                     ? belief->second.m_prefillThroughput
                                     : belief->second.m_decodeThroughput;
  if (own.Count() > 0) {
    return own.Median();
  }
  return generates ? others.Median() / kDecodeEnginePrefillCost
                   : others.Median() * kDecodeEnginePrefillCost;
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
  if (!state.m_unansweredSince) {
    state.m_unansweredSince = aNow;
  }
  state.m_isBackOffTried = state.m_backOffUntil.has_value();
}

bool
Fleet::NoteResponse(std::string_view aId, Instant aSentAt)
{
  const auto found = m_members.find(aId);
  if (found == m_members.end()) {
    return false;
  }
  State& state = found->second;
  state.m_unansweredSince.reset();
  if (state.m_isOnProbation && aSentAt < state.m_failedAt) {
    return false;
  }
  state.m_failuresSinceResponse = 0;
  state.m_nextEjectionTime = kEjectionTime;
  return std::exchange(state.m_isOnProbation, false);
}

void
Fleet::NoteUnreachable(std::string_view aId, Instant aNow)
{
  const auto found = m_members.find(aId);
  if (found != m_members.end()) {
    Eject(found->second, aNow);
  }
}

void
Fleet::Eject(State& aState, Instant aNow)
{
  if (aState.m_ejectedUntil && aNow < *aState.m_ejectedUntil &&
      aState.m_isOnProbation) {
    // Several calls to the member fail at the same time; only the first one
    // counts.
    return;
  }
  aState.m_ejectedUntil = aNow + aState.m_nextEjectionTime;
  BeginRecovery(aState, aNow);
  if (aState.m_isOnProbation) {
    aState.m_nextEjectionTime =
      std::min(aState.m_nextEjectionTime * 2, kMaxEjectionTime);
  }
  aState.m_isOnProbation = true;
  aState.m_failedAt = aNow;
}

void
Fleet::BeginRecovery(State& aState, Instant aNow)
{
  if (m_starts.IsEnabled()) {
    m_starts.NoteEjected(aState.m_member.m_id, aNow);
  }
}

Duration
Fleet::ResponseTimeoutOf(const State& aState)
{
  if (aState.m_member.m_role == UpstreamRole::Plain) {
    return kResponseTimeout;
  }
  const auto waits = static_cast<double>(aState.m_tokens + aState.m_peerTokens);
  const double workMs =
    kResponseTimeoutWorkFactor * waits / ThroughputOf(aState);
  return std::min(kResponseTimeout + Duration(std::llround(workMs)),
                  kMaxResponseTimeout);
}

bool
Fleet::IsUnresponsive(const State& aState, Instant aNow)
{
  if (!aState.m_unansweredSince) {
    return false;
  }
  return aState.m_isOnProbation ||
         aNow - *aState.m_unansweredSince >= ResponseTimeoutOf(aState);
}

bool
Fleet::IsUnresponsive(std::string_view aId, Instant aNow) const
{
  const auto found = m_members.find(aId);
  return found != m_members.end() && IsUnresponsive(found->second, aNow);
}

bool
Fleet::NeedsOwnConnection(std::string_view aId, Instant aNow) const
{
  const auto found = m_members.find(aId);
  return found != m_members.end() &&
         (found->second.m_isOnProbation || IsUnresponsive(found->second, aNow));
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
  state.m_isBackOffTried = false;
  const bool silent = IsUnresponsive(state, aNow);
  if (state.m_inFlight == 0) {
    // No call to the member is unanswered any more.
    state.m_unansweredSince.reset();
  }
  const bool isEjected = silent && aEnd != AttemptEnd::Misdirected;
  if (isEjected) {
    Eject(state, aNow);
  }
  if (aEnd == AttemptEnd::Declined) {
    if (state.m_backOffUntil && aNow < *state.m_backOffUntil) {
      // It says itself for how long it wants no calls.
      return isEjected;
    }
    if (++state.m_declinesInRow < kDeclinesToEject) {
      return isEjected;
    }
    state.m_declinesInRow = 0;
    state.m_ejectedUntil = aNow + kDeclinedEjectionTime;
    return true;
  }
  if (aEnd == AttemptEnd::Abandoned) {
    return isEjected;
  }
  if (aEnd == AttemptEnd::Misdirected) {
    state.m_ejectedUntil = aNow + kMisdirectedEjectionTime;
    return true;
  }
  const bool failed = aEnd == AttemptEnd::Failed;
  state.m_failShare += kNewest * ((failed ? 1 : 0) - state.m_failShare);
  const auto tookMs = static_cast<double>(aTook.count());
  if (IsInStart(state)) {
    const double usual = UsualOf(state, &State::m_tookMs);
    const bool isPlain = state.m_member.m_role == UpstreamRole::Plain;
    NoteStartAnswer(
      state,
      { aNow - aTook, !failed, isPlain && usual > 0 ? tookMs / usual : 1 },
      aNow);
    // Only the latest answer counts while its share is still being found.
    state.m_tookMs = 0;
  }
  if (!failed) {
    m_starts.NoteServed(state.m_member.m_service);
    state.m_failuresInRow = 0;
    state.m_declinesInRow = 0;
    state.m_tookMs = Smooth(state.m_tookMs, tookMs);
    return isEjected;
  }
  ++state.m_failuresSinceResponse;
  if (++state.m_failuresInRow < kFailuresToEject) {
    return isEjected;
  }
  if (state.m_failuresSinceResponse >= kFailuresToEject) {
    state.m_isOnProbation = true;
    state.m_failedAt = aNow;
  }
  state.m_ejectedUntil = aNow + kEjectionTime;
  BeginRecovery(state, aNow);
  state.m_failuresInRow = 0;
  return true;
}

} // namespace ridgeferry::relay
