#include "ridgeferry/relay/CallLease.h"

#include <utility>

namespace ridgeferry::relay {

namespace {

/** A look that comes later than this shows that the process stood still. */
constexpr Duration kLateLook = 3 * HeldLeases::kLookEvery;

} // namespace

void
AwaitedCalls::Begin(PassedOnCallId aId, std::string aAddress, Instant aNow)
{
  m_calls.insert_or_assign(aId, Call{ std::move(aAddress), aNow });
}

std::vector<LeaseRenewal>
AwaitedCalls::TakeDue(Instant aNow)
{
  std::map<std::string, LeaseRenewal> open;
  std::vector<LeaseRenewal> out;
  for (auto& [id, call] : m_calls) {
    if (aNow - call.m_renewedAt < CallLease::kRenewEvery) {
      continue;
    }
    call.m_renewedAt = aNow;
    LeaseRenewal& renewal = open[call.m_address];
    renewal.m_address = call.m_address;
    renewal.m_calls.push_back(id);
    if (renewal.m_calls.size() == kMostCalls) {
      out.push_back(std::exchange(renewal, {}));
    }
  }
  for (auto& [address, renewal] : open) {
    if (!renewal.m_calls.empty()) {
      out.push_back(std::move(renewal));
    }
  }
  return out;
}

std::optional<Instant>
AwaitedCalls::MayRunUntil(PassedOnCallId aId) const
{
  const auto found = m_calls.find(aId);
  return found == m_calls.end()
           ? std::nullopt
           : std::optional(found->second.m_renewedAt + CallLease::kTerm);
}

void
HeldLeases::Grant(const CallLease& aLease, Instant aNow)
{
  if (m_leases.empty()) {
    m_lookedAt = aNow;
  }
  m_leases.insert_or_assign(aLease.m_id,
                            Lease{ aLease.m_term, aNow + aLease.m_term });
}

void
HeldLeases::Renew(std::span<const PassedOnCallId> aCalls, Instant aNow)
{
  for (const PassedOnCallId id : aCalls) {
    if (const auto found = m_leases.find(id); found != m_leases.end()) {
      found->second.m_until = aNow + found->second.m_term;
    }
  }
}

std::vector<PassedOnCallId>
HeldLeases::TakeExpired(Instant aNow)
{
  const bool isLate = aNow - std::exchange(m_lookedAt, aNow) > kLateLook;
  const bool isFirstLate = isLate && !m_wasLate;
  m_wasLate = isLate;
  std::vector<PassedOnCallId> out;
  if (isFirstLate) {
    return out;
  }
  std::erase_if(m_leases, [&](const auto& aLease) {
    const bool hasExpired = aNow >= aLease.second.m_until;
    if (hasExpired) {
      out.push_back(aLease.first);
    }
    return hasExpired;
  });
  return out;
}

} // namespace ridgeferry::relay
