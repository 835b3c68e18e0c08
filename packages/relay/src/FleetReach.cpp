// The part of `Fleet` that tells whether this instance reaches a service.

#include "ridgeferry/relay/Fleet.h"

namespace ridgeferry::relay {

bool
Fleet::MayRunCalls(const State& aState, std::string_view aService, Instant aNow)
{
  const bool isGone = aState.m_goneAt && aNow >= *aState.m_goneAt;
  return aState.m_member.m_service == aService && !aState.m_member.m_leaving &&
         !isGone && aState.m_member.m_role != UpstreamRole::Prefill;
}

bool
Fleet::IsAnyResponsive(std::string_view aService, Instant aNow) const
{
  bool anyListed = false;
  for (const auto& [id, state] : m_members) {
    if (!MayRunCalls(state, aService, aNow)) {
      continue;
    }
    anyListed = true;
    if (!state.m_isOnProbation && !IsUnresponsive(state, aNow)) {
      return true;
    }
  }
  return !anyListed;
}

void
Fleet::EndEjections(std::string_view aService)
{
  for (auto& [id, state] : m_members) {
    if (state.m_member.m_service == aService && state.m_isOnProbation) {
      state.m_ejectedUntil.reset();
      state.m_nextEjectionTime = kEjectionTime;
    }
  }
}

} // namespace ridgeferry::relay
