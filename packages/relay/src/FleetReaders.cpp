// Where a prompt is read when none is read beside the output: the part of
// `Fleet` that chooses among engines that only read.

#include "ridgeferry/relay/Fleet.h"

#include "HomeScore.h"

#include <algorithm>
#include <cmath>

namespace ridgeferry::relay {

namespace {

/** Part of what its caller will still wait that a prompt may take to its first
 * token if it comes after its aim anyway: the output has to follow. */
constexpr double kMostOfLeft = 0.5;
/** How far behind the best reader a drawn one may be. */
constexpr double kMostDrawnMs = 60;
constexpr double kHomeSlackMs = 200;
/** Calls under way, as a part of the slots, that another hall's generating
 * engine must have less: memory takes twice as long to get there. */
constexpr double kAwayShare = 0.33;

} // namespace

std::vector<std::uint64_t>
Fleet::ReadersByHome(std::uint64_t aKey, std::string_view aService) const
{
  std::vector<std::pair<double, std::uint64_t>> scored;
  for (const auto& [id, state] : m_members) {
    const Member& member = state.m_member;
    if (member.m_service == aService && !member.m_leaving &&
        member.m_part == Part::Prefill && !state.m_changing) {
      scored.emplace_back(-HomeScore(aKey, state.m_hash, 1), state.m_hash);
    }
  }
  std::sort(scored.begin(), scored.end());
  std::vector<std::uint64_t> out;
  for (const auto& [score, hash] : scored) {
    out.push_back(hash);
  }
  return out;
}

const Fleet::State*
Fleet::PickTaker(const State& aReader, std::span<const State* const> aSound)
{
  const auto busy = [&](const State* aState) {
    const bool away = aState->m_member.m_hall != aReader.m_member.m_hall;
    const auto slots = static_cast<double>(aState->m_member.m_slots);
    return static_cast<double>(aState->m_inFlight + aState->m_othersInFlight) +
           (away ? kAwayShare * slots : 0);
  };
  const State* taker = nullptr;
  for (const State* state : aSound) {
    if (state->m_member.m_part == Part::Generate &&
        (taker == nullptr || busy(state) < busy(taker))) {
      taker = state;
    }
  }
  return taker;
}

const Fleet::Candidate&
Fleet::PickApart(std::span<const Candidate> aByHome,
                 const PlaceRequest& aRequest)
{
  const Candidate& best = *std::min_element(aByHome.begin(), aByHome.end());
  if (IsLong(*aRequest.m_prompt)) {
    const Candidate& home = aByHome.front();
    return home.m_ms <= best.m_ms + kHomeSlackMs ? home : best;
  }
  // Several instances see the same loads, some of them old: if all took the
  // least loaded one, it would be the most loaded one next.
  const std::size_t count = aByHome.size();
  const Candidate& one = aByHome[aRequest.m_random % count];
  const Candidate& other = aByHome[aRequest.m_random / count % count];
  const Candidate& better = one.m_ms <= other.m_ms ? one : other;
  return better.m_ms > best.m_ms + kMostDrawnMs ? best : better;
}

std::optional<PlaceResult>
Fleet::FindReader(std::span<const State* const> aSound,
                  const PlaceRequest& aRequest) const
{
  const Prompt& prompt = *aRequest.m_prompt;
  const std::vector<std::uint64_t> homes =
    ReadersByHome(prompt.m_sharedKey, aRequest.m_service);
  std::vector<Candidate> byHome;
  for (const std::uint64_t hash : homes) {
    const auto found =
      std::find_if(aSound.begin(), aSound.end(), [hash](const State* aState) {
        return aState->m_hash == hash;
      });
    if (found != aSound.end()) {
      const bool isHome = IsLong(prompt) && hash == homes.front();
      byHome.push_back(
        { *found, FirstTokenMs(**found, prompt, isHome), isHome });
    }
  }
  if (byHome.empty()) {
    return std::nullopt;
  }
  const double stretch = StretchOf(aRequest.m_service, prompt);
  const auto limit = static_cast<double>(aRequest.m_patience.count());
  const Candidate& chosen = PickApart(byHome, aRequest);
  const State* taker = PickTaker(*chosen.m_state, aSound);
  if (taker == nullptr) {
    return std::nullopt; // Nobody could give the output.
  }
  const double expected = chosen.m_ms * stretch;
  const double most = std::max(
    limit, kMostOfLeft * static_cast<double>(aRequest.m_left.count()));
  if (expected > most) {
    return PlaceFault{ true, Duration(std::llround(expected - most)) };
  }
  Place place{ taker->m_member.m_id, chosen.m_state->m_member.m_id };
  place.m_expectedMs = chosen.m_ms;
  place.m_late = expected > limit;
  return place;
}

} // namespace ridgeferry::relay
