// The part of `Fleet` that keeps the engines' roles, cached prefixes and
// ability to colocate prefill, as all instances announce them to each other.
// The planner of roles takes its input from here.

#include "ridgeferry/relay/Fleet.h"

#include <algorithm>
#include <utility>

namespace ridgeferry::relay {

namespace {

/**
 * Share of an engine's slots and cache that the output should use. Bursts of a
 * third more still fit.
 */
constexpr double kSteadyShare = 0.75;
/**
 * Number of other instances that must have found engines unable to sustain
 * colocated prefill before this instance believes it. A single one may be wrong
 * by chance.
 */
constexpr std::ptrdiff_t kWitnesses = 2;
/** Age from which own prefills are no longer announced. */
constexpr Duration kTellReadsFor{ 2000 };

} // namespace

const PartNewsOf*
Fleet::NewsOf(std::uint32_t aMember) const
{
  for (const auto& [instance, news] : m_news) {
    for (const PartNewsOf& item : news) {
      if (item.m_member == aMember) {
        return &item;
      }
    }
  }
  return nullptr;
}

void
Fleet::UseNews(State& aState)
{
  const PartNewsOf* news = NewsOf(ShortHash(aState.m_member.m_id));
  const Part before = aState.m_member.m_part;
  aState.m_changing = news != nullptr && !news->m_part;
  aState.m_member.m_part =
    news != nullptr && news->m_part ? *news->m_part : aState.m_listedPart;
  if (aState.m_member.m_part != before) {
    aState.m_pace.Forget(); // The samples were taken in the other role.
    aState.m_metPace = 0;
  }
  aState.m_kindPace = KindPaceOf(aState.m_member);
}

void
Fleet::SetNews(const std::string& aInstance, std::vector<PartNewsOf> aNews)
{
  const auto known = m_news.find(aInstance);
  const bool same =
    known == m_news.end() ? aNews.empty() : known->second == aNews;
  if (same) {
    return;
  }
  if (aNews.empty()) {
    m_news.erase(aInstance);
  } else {
    m_news[aInstance] = std::move(aNews);
  }
  for (auto& [id, state] : m_members) {
    UseNews(state);
  }
}

std::vector<PlannedEngine>
Fleet::EnginesOf(std::string_view aService) const
{
  std::vector<PlannedEngine> out;
  for (const auto& [id, state] : m_members) {
    const Member& member = state.m_member;
    // Ejected engines are included: they should be back before a role change
    // would be finished.
    if (member.m_service == aService && !member.m_leaving && !state.m_goneAt &&
        member.m_part != Part::Whole) {
      out.push_back({ id,
                      member.m_hall,
                      member.m_part,
                      state.m_inFlight + state.m_othersInFlight });
    }
  }
  return out;
}

bool
Fleet::HasLapsed() const
{
  return std::any_of(
    m_members.begin(), m_members.end(), [](const auto& aEntry) {
      return aEntry.second.m_goneAt.has_value();
    });
}

bool
Fleet::ReadsBeside(std::string_view aService) const
{
  const auto found = m_beliefs.find(aService);
  if (found != m_beliefs.end() && !found->second.m_beside.IsAllowed()) {
    return false;
  }
  const std::uint32_t service = ShortHash(aService);
  const auto has = [service](const std::vector<std::uint32_t>& aServices) {
    return std::find(aServices.begin(), aServices.end(), service) !=
           aServices.end();
  };
  const auto others =
    std::count_if(m_apart.begin(), m_apart.end(), [&](const auto& aItem) {
      return has(aItem.second);
    });
  return others < kWitnesses && !has(m_recalledApart);
}

void
Fleet::NoteStream(std::string_view aService, bool aPaused)
{
  m_beliefs[std::string(aService)].m_beside.NoteStream(aPaused);
}

std::vector<std::uint32_t>
Fleet::OwnApart() const
{
  std::vector<std::uint32_t> out;
  for (const auto& [service, belief] : m_beliefs) {
    if (!belief.m_beside.IsAllowed()) {
      out.push_back(ShortHash(service));
    }
  }
  return out;
}

std::vector<std::uint32_t>
Fleet::ToldApart() const
{
  std::vector<std::uint32_t> out = OwnApart();
  for (const std::uint32_t service : m_recalledApart) {
    if (std::find(out.begin(), out.end(), service) == out.end()) {
      out.push_back(service);
    }
  }
  return out;
}

void
Fleet::SetApart(const std::string& aInstance,
                std::vector<std::uint32_t> aServices)
{
  if (aServices.empty()) {
    m_apart.erase(aInstance);
  } else {
    m_apart[aInstance] = std::move(aServices);
  }
}

void
Fleet::RecallApart(std::vector<std::uint32_t> aServices)
{
  m_recalledApart = std::move(aServices);
}

double
Fleet::GeneratorsNeeded(std::string_view aService,
                        const EngineTraits& aTraits) const
{
  double running = 0;
  for (const auto& [id, state] : m_members) {
    if (state.m_member.m_service == aService &&
        state.m_member.m_part == Part::Generate && !state.m_mustProve) {
      running += static_cast<double>(state.m_inFlight + state.m_othersInFlight);
    }
  }
  const auto belief = m_beliefs.find(aService);
  const double held =
    belief == m_beliefs.end() ? 0 : belief->second.m_heldTokens * running;
  const double bySlots =
    running / (kSteadyShare * static_cast<double>(aTraits.m_slots));
  const double byMemory =
    aTraits.m_cacheTokens == 0
      ? 0
      : held / (kSteadyShare * static_cast<double>(aTraits.m_cacheTokens));
  return std::max(bySlots, byMemory);
}

void
Fleet::NoteRead(const Prompt& aPrompt, std::string_view aId, Instant aNow)
{
  // Only prefills of services with disaggregated prefill are announced, because
  // no other placement uses them and each one costs every peer some
  // microseconds.
  const auto member = m_members.find(aId);
  const bool isTold = member != m_members.end() &&
                      !ReadsBeside(member->second.m_member.m_service);
  for (const SharedPart& part : aPrompt.m_parts) {
    const KeptPart kept{ part.m_key, ShortHash(aId) };
    m_kept.Note(kept, aNow);
    if (isTold) {
      m_ownReads.emplace_back(aNow, kept);
    }
  }
  while (!m_ownReads.empty() &&
         aNow - m_ownReads.front().first >= kTellReadsFor) {
    m_ownReads.pop_front();
  }
}

void
Fleet::NoteKept(const KeptPart& aPart, Instant aNow)
{
  m_kept.Note(aPart, aNow);
}

std::vector<KeptPart>
Fleet::OwnReads(Instant aNow, Duration aSince) const
{
  std::vector<KeptPart> out;
  for (const auto& [at, kept] : m_ownReads) {
    if (aNow - at < aSince) {
      out.push_back(kept);
    }
  }
  return out;
}

} // namespace ridgeferry::relay
