// The part of `Fleet` that spares upstreams which have just started or
// recovered.

#include "ridgeferry/relay/Fleet.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace ridgeferry::relay {

namespace {

/** Upstreams of one role that may get a call. */
struct RoleCount
{
  std::size_t m_all = 0;
  std::size_t m_inStart = 0;

  /** Returns whether the others can do what those in start are spared: one can
   * always be spared beside another, and a tenth of all: the others are then
   * sent a tenth more at most. Of more that start at once each is needed. */
  bool CanSpare() const
  {
    constexpr std::size_t kMostShare = 10;
    return m_inStart < m_all &&
           m_inStart <= std::max<std::size_t>(1, m_all / kMostShare);
  }
};

/** Value in the middle; 0 if there is none. */
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
Fleet::IsSpared(const State& aState) const
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
        other.*aMeasured > 0 && !IsSpared(other)) {
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
  // Better than the others only if it was measured so: a guess would flood it.
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
Fleet::FindSpared(std::span<const State* const> aSound,
                  const PlaceRequest& aRequest,
                  Instant aNow) const
{
  std::map<UpstreamRole, RoleCount> counts;
  for (const State* state : aSound) {
    RoleCount& count = counts[state->m_member.m_role];
    ++count.m_all;
    count.m_inStart += IsSpared(*state) ? 1 : 0;
  }
  std::vector<const State*> inService;
  std::vector<const State*> drawn;
  for (const State* state : aSound) {
    const RoleCount& count = counts[state->m_member.m_role];
    if (!IsSpared(*state) || !count.CanSpare()) {
      inService.push_back(state);
    } else if (m_starts.IsDrawn(ShortHash(state->m_member.m_id),
                                count.m_all,
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
  // Better at an upstream in start than not at all.
  return FindAmong(aSound, aRequest, aNow);
}

} // namespace ridgeferry::relay
