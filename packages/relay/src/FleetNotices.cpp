// The part of `Fleet` that deals with what upstreams say about themselves.

#include "ridgeferry/relay/Fleet.h"

#include <algorithm>

namespace ridgeferry::relay {

bool
Fleet::MarkLeaving(const UpstreamIncarnation& aUpstream)
{
  const bool isNew = m_notices.NoteLeaving(aUpstream);
  const auto found = m_members.find(aUpstream.m_id);
  if (found != m_members.end()) {
    Member& member = found->second.m_member;
    member.m_leaving =
      member.m_leaving || m_notices.IsLeaving(member.Incarnation());
  }
  return isNew;
}

std::optional<SendTarget>
Fleet::TargetFor(std::string_view aId,
                 RequestPurpose aPurpose,
                 Instant aNow) const
{
  const auto found = m_members.find(aId);
  if (found == m_members.end()) {
    return std::nullopt;
  }
  const State& state = found->second;
  const bool refusesWork =
    state.m_member.m_leaving && aPurpose == RequestPurpose::Work;
  const bool backsOff = state.m_backOffUntil && aNow < *state.m_backOffUntil;
  if (refusesWork || backsOff) {
    return std::nullopt;
  }
  return SendTarget(state.m_member);
}

bool
Fleet::NoteBackOff(const UpstreamIncarnation& aUpstream,
                   Duration aFor,
                   Instant aNow)
{
  const bool isNew = m_notices.NoteBackOff(aUpstream, aFor, aNow);
  const auto found = m_members.find(aUpstream.m_id);
  if (found != m_members.end()) {
    State& state = found->second;
    state.m_backOffUntil = m_notices.BackOffUntil(state.m_member.Incarnation());
  }
  return isNew;
}

Duration
Fleet::BackOffLeft(const State& aState, Instant aNow)
{
  if (!aState.m_backOffUntil) {
    return {};
  }
  if (aNow < *aState.m_backOffUntil) {
    return *aState.m_backOffUntil - aNow;
  }
  return aState.m_isBackOffTried ? kBackOffTrialWait : Duration{};
}

std::optional<Duration>
Fleet::BackOffOf(std::string_view aService, Instant aNow) const
{
  std::optional<Duration> soonest;
  for (const auto& [id, state] : m_members) {
    if (!MayRunCalls(state, aService, aNow)) {
      continue;
    }
    const Duration left = BackOffLeft(state, aNow);
    if (left.count() == 0) {
      return std::nullopt;
    }
    soonest = std::min(soonest.value_or(left), left);
  }
  return soonest;
}

void
Fleet::NoteAccepted(std::string_view aId, Instant aNow)
{
  const auto found = m_members.find(aId);
  if (found == m_members.end()) {
    return;
  }
  State& state = found->second;
  if (state.m_backOffUntil && aNow >= *state.m_backOffUntil) {
    state.m_backOffUntil.reset();
    state.m_isBackOffTried = false;
  }
}

} // namespace ridgeferry::relay
