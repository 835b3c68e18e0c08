// The part of `Fleet` that sends fewer calls to upstreams which have just
// started or recovered (slow start).

#include "ridgeferry/relay/Fleet.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace ridgeferry::relay {

namespace {

/** Upstreams of one role that may get a call. Those on probation count as
 * neither: nobody knows whether they answer. */
struct RoleCount
{
  std::size_t m_inService = 0;
  std::size_t m_inStart = 0;

  /** Returns whether the upstreams in service can take the calls that are kept
   * from those in start: those of one upstream, or else a tenth more than their
   * own. */
  bool CanTakeTheirCalls() const
  {
    constexpr std::size_t kServingForEach = 10;
    const std::size_t most =
      std::max<std::size_t>(1, m_inService / kServingForEach);
    return m_inService > 0 && m_inStart <= most;
  }
};

/** Returns the median; 0 if there are no values. */
double
MedianOf(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

bool
Fleet::IsInStart(const State& aState) const
{
  return !aState.m_isOnProbation &&
         m_starts.IsInStart(static_cast<pacing::UpstreamHash>(aState.m_hash));
}

double
Fleet::UsualOf(const State& aState, double State::*aMeasured) const
{
  std::vector<double> values;
  for (const auto& [id, other] : m_members) {
    if (other.m_member.m_service == aState.m_member.m_service &&
        other.m_member.m_role == aState.m_member.m_role &&
        other.*aMeasured > 0 && !IsInStart(other)) {
      values.push_back(other.*aMeasured);
    }
  }
  return MedianOf(std::move(values));
}

void
Fleet::NoteStartAnswer(State& aState,
                       const pacing::StartAnswer& aAnswer,
                       Instant aNow)
{
  if (m_starts.NoteAnswer(aState.m_member.m_id, aAnswer, aNow)) {
    ForgetStart(aState);
  }
}

void
Fleet::ForgetStart(State& aState)
{
  // An upstream without a measured value counts like the others: by a default
  // that looks fast, all instances would choose it at the same time.
  aState.m_failShare = 0;
  const double usualMs = UsualOf(aState, &State::m_tookMs);
  aState.m_tookMs =
    aState.m_tookMs > 0 ? std::min(aState.m_tookMs, usualMs) : usualMs;
  aState.m_throughput.Forget();
  aState.m_observedThroughput = std::max(
    aState.m_observedThroughput, UsualOf(aState, &State::m_observedThroughput));
}

void
Fleet::NotePeerPace(const pacing::PaceReport& aReport, Instant aNow)
{
  const auto found = m_members.find(IdOf(aReport.m_upstream));
  if (found != m_members.end() &&
      m_starts.NotePeer(found->first, aReport, aNow)) {
    ForgetStart(found->second);
  }
}

PlaceResult
Fleet::FindWithStarts(std::span<const State* const> aSound,
                      const PlaceRequest& aRequest,
                      Instant aNow) const
{
  std::map<UpstreamRole, RoleCount> counts;
  for (const State* state : aSound) {
    RoleCount& count = counts[state->m_member.m_role];
    if (IsInStart(*state)) {
      ++count.m_inStart;
    } else if (!state->m_isOnProbation) {
      ++count.m_inService;
    }
  }
  std::vector<const State*> inService;
  std::vector<const State*> drawn;
  for (const State* state : aSound) {
    const RoleCount& count = counts[state->m_member.m_role];
    if (!IsInStart(*state) || !count.CanTakeTheirCalls()) {
      inService.push_back(state);
    } else if (m_starts.IsDrawn(ShortHash(state->m_member.m_id),
                                count.m_inService + count.m_inStart,
                                aRequest.m_random)) {
      drawn.push_back(state);
    }
  }
  if (inService.size() == aSound.size()) {
    return FindAmong(aSound, aRequest, aNow);
  }
  if (!drawn.empty()) {
    // A prompt may need an engine of each role.
    std::vector<const State*> among = drawn;
    std::copy_if(inService.begin(),
                 inService.end(),
                 std::back_inserter(among),
                 [&](const State* aState) {
                   return std::none_of(
                     drawn.begin(), drawn.end(), [&](const State* aDrawn) {
                       return aDrawn->m_member.m_role ==
                              aState->m_member.m_role;
                     });
                 });
    if (auto result = FindAmong(among, aRequest, aNow);
        std::holds_alternative<Place>(result)) {
      return result;
    }
  }
  if (auto result = FindAmong(inService, aRequest, aNow);
      std::holds_alternative<Place>(result)) {
    return result;
  }
  // The others have no room, so the call may go to an upstream in start.
  return FindAmong(aSound, aRequest, aNow);
}

} // namespace ridgeferry::relay
