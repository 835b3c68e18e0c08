// The part of `Fleet` that spares upstreams which have just started or
// recovered.

#include "ridgeferry/relay/Fleet.h"

#include <algorithm>
#include <iterator>

namespace ridgeferry::relay {

namespace {

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
  aState.m_failShare = 0;
  aState.m_tookMs = UsualOf(aState, &State::m_tookMs);
  aState.m_throughput.Forget();
  aState.m_observedThroughput = 0;
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
  std::vector<const State*> inService;
  std::vector<const State*> drawn;
  for (const State* state : aSound) {
    const auto isLikeIt = [state](const State* aOther) {
      return aOther->m_member.m_role == state->m_member.m_role;
    };
    // Where no other member could do its part, there is nobody to spare it.
    const bool isSpared =
      IsSpared(*state) &&
      std::any_of(aSound.begin(), aSound.end(), [&](const State* aOther) {
        return isLikeIt(aOther) && !IsSpared(*aOther);
      });
    if (!isSpared) {
      inService.push_back(state);
    } else if (m_starts.IsDrawn(ShortHash(state->m_member.m_id),
                                static_cast<std::size_t>(std::count_if(
                                  aSound.begin(), aSound.end(), isLikeIt)),
                                aRequest.m_random)) {
      drawn.push_back(state);
    }
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
