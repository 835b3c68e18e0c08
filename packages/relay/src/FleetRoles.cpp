// The part of `Fleet` that keeps the engines' roles, cached prefixes and
// ability to colocate prefill, as all instances announce them to each other.
// The planner of roles takes its input from here.

#include "ridgeferry/relay/Fleet.h"

#include <algorithm>
#include <utility>

namespace ridgeferry::relay {

namespace {

/**
 * Share of a decode engine's slots and KV cache that the calls in flight should
 * use. Bursts of a third more still fit.
 */
constexpr double kSteadyShare = 0.75;
/** Prefill work that waits at an engine in steady operation, in ms: about the
 * prefill of one long prompt. */
constexpr double kPrefillBacklogMs = 20;
/**
 * Number of other instances that must have found engines unable to sustain
 * colocated prefill before this instance believes it. A single one may be wrong
 * by chance.
 */
constexpr std::ptrdiff_t kWitnesses = 2;
/**
 * Age from which the prefills of this instance's own calls are no longer
 * announced, in ms.
 */
constexpr Duration kTellReadsFor{ 2000 };

} // namespace

const MemberRoleUpdate*
Fleet::FindRoleUpdate(std::uint32_t aMember) const
{
  for (const auto& [instance, news] : m_roleUpdates) {
    for (const MemberRoleUpdate& item : news) {
      if (item.m_member == aMember) {
        return &item;
      }
    }
  }
  return nullptr;
}

void
Fleet::ApplyRoleUpdate(State& aState)
{
  const MemberRoleUpdate* news =
    FindRoleUpdate(ShortHash(aState.m_member.m_id));
  const UpstreamRole before = aState.m_member.m_role;
  aState.m_changing = news != nullptr && !news->m_role;
  aState.m_member.m_role =
    news != nullptr && news->m_role ? *news->m_role : aState.m_listedRole;
  if (aState.m_member.m_role != before) {
    aState.m_throughput.Forget(); // The samples were taken in the other role.
    aState.m_observedThroughput = 0;
  }
  aState.m_roleThroughput = RoleThroughputOf(aState.m_member);
}

void
Fleet::SetRoleUpdates(const std::string& aInstance,
                      std::vector<MemberRoleUpdate> aNews)
{
  const auto known = m_roleUpdates.find(aInstance);
  const bool same =
    known == m_roleUpdates.end() ? aNews.empty() : known->second == aNews;
  if (same) {
    return;
  }
  if (aNews.empty()) {
    m_roleUpdates.erase(aInstance);
  } else {
    m_roleUpdates[aInstance] = std::move(aNews);
  }
  for (auto& [id, state] : m_members) {
    ApplyRoleUpdate(state);
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
        member.m_role != UpstreamRole::Plain) {
      out.push_back({ id,
                      member.m_dataCentre,
                      member.m_role,
                      state.m_inFlight + state.m_peerInFlight,
                      false,
                      member.m_softwareVersion });
    }
  }
  return out;
}

bool
Fleet::HasMemberInGracePeriod() const
{
  return std::any_of(
    m_members.begin(), m_members.end(), [](const auto& aEntry) {
      return aEntry.second.m_goneAt.has_value();
    });
}

bool
Fleet::AllowsColocatedPrefill(std::string_view aService) const
{
  const auto found = m_beliefs.find(aService);
  if (found != m_beliefs.end() &&
      !found->second.m_colocatedPrefill.IsAllowed()) {
    return false;
  }
  const std::uint32_t service = ShortHash(aService);
  const auto has = [service](const std::vector<std::uint32_t>& aServices) {
    return std::find(aServices.begin(), aServices.end(), service) !=
           aServices.end();
  };
  const auto others =
    std::count_if(m_peerDisaggregated.begin(),
                  m_peerDisaggregated.end(),
                  [&](const auto& aItem) { return has(aItem.second); });
  return others < kWitnesses && !has(m_restoredDisaggregated);
}

void
Fleet::NoteStream(std::string_view aService, bool aPaused)
{
  m_beliefs[std::string(aService)].m_colocatedPrefill.NoteStream(aPaused);
}

std::vector<std::uint32_t>
Fleet::OwnDisaggregatedServices() const
{
  std::vector<std::uint32_t> out;
  for (const auto& [service, belief] : m_beliefs) {
    if (!belief.m_colocatedPrefill.IsAllowed()) {
      out.push_back(ShortHash(service));
    }
  }
  return out;
}

std::vector<std::uint32_t>
Fleet::ReportedDisaggregatedServices() const
{
  std::vector<std::uint32_t> out = OwnDisaggregatedServices();
  for (const std::uint32_t service : m_restoredDisaggregated) {
    if (std::find(out.begin(), out.end(), service) == out.end()) {
      out.push_back(service);
    }
  }
  return out;
}

void
Fleet::SetDisaggregatedServices(const std::string& aInstance,
                                std::vector<std::uint32_t> aServices)
{
  if (aServices.empty()) {
    m_peerDisaggregated.erase(aInstance);
  } else {
    m_peerDisaggregated[aInstance] = std::move(aServices);
  }
}

void
Fleet::RestoreDisaggregatedServices(std::vector<std::uint32_t> aServices)
{
  m_restoredDisaggregated = std::move(aServices);
}

double
Fleet::DecodeEnginesNeeded(std::string_view aService,
                           const EngineTraits& aTraits) const
{
  double running = 0;
  for (const auto& [id, state] : m_members) {
    if (state.m_member.m_service == aService &&
        state.m_member.m_role == UpstreamRole::Decode &&
        !state.m_isOnProbation) {
      running += static_cast<double>(state.m_inFlight + state.m_peerInFlight);
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

double
Fleet::UpstreamsNeeded(const Service& aService) const
{
  double running = 0;
  double prefillMs = 0;
  std::int64_t slots = 1;
  for (const auto& [id, state] : m_members) {
    if (state.m_member.m_service != aService.m_name) {
      continue;
    }
    running += static_cast<double>(state.m_inFlight + state.m_peerInFlight);
    slots = std::max(slots, state.m_member.m_slots);
    if (state.m_member.m_role != UpstreamRole::Plain) {
      prefillMs += static_cast<double>(state.m_tokens + state.m_peerTokens) /
                   ThroughputOf(state);
    }
  }
  const double bySlots = running / (kSteadyShare * static_cast<double>(slots));
  return bySlots + prefillMs / kPrefillBacklogMs;
}

std::vector<const Member*>
Fleet::Members() const
{
  std::vector<const Member*> out;
  out.reserve(m_members.size());
  for (const auto& [id, state] : m_members) {
    out.push_back(&state.m_member);
  }
  return out;
}

std::vector<const Member*>
Fleet::MembersOf(std::string_view aService) const
{
  std::vector<const Member*> out;
  for (const auto& [id, state] : m_members) {
    if (state.m_member.m_service == aService) {
      out.push_back(&state.m_member);
    }
  }
  return out;
}

void
Fleet::NotePrefill(const Prompt& aPrompt, std::string_view aId, Instant aNow)
{
  // Only prefills of services with disaggregated prefill are announced, because
  // no other placement uses them and each one costs every peer some
  // microseconds.
  const auto member = m_members.find(aId);
  const bool isTold =
    member != m_members.end() &&
    !AllowsColocatedPrefill(member->second.m_member.m_service);
  for (const PrefixSegment& part : aPrompt.m_prefixSegments) {
    const CachedSegment kept{ part.m_key, ShortHash(aId) };
    m_prefixCaches.Note(kept, aNow);
    if (isTold) {
      m_ownPrefills.emplace_back(aNow, kept);
    }
  }
  while (!m_ownPrefills.empty() &&
         aNow - m_ownPrefills.front().first >= kTellReadsFor) {
    m_ownPrefills.pop_front();
  }
}

void
Fleet::NoteCached(const CachedSegment& aPart, Instant aNow)
{
  m_prefixCaches.Note(aPart, aNow);
}

std::vector<CachedSegment>
Fleet::OwnPrefills(Instant aNow, Duration aSince) const
{
  std::vector<CachedSegment> out;
  for (const auto& [at, kept] : m_ownPrefills) {
    if (aNow - at < aSince) {
      out.push_back(kept);
    }
  }
  return out;
}

} // namespace ridgeferry::relay
