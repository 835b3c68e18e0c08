#include "ridgeferry/quarantine/Quarantine.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>
#include <string>
#include <utility>

namespace ridgeferry::quarantine {

std::uint64_t
IncarnationHash(const UpstreamIncarnation& aUpstream)
{
  const std::string born =
    aUpstream.m_born ? std::to_string(*aUpstream.m_born) : "";
  return Hash64(aUpstream.m_id + "/" + born);
}

std::size_t
Quarantine::EndsOf(const Call& aCall)
{
  return static_cast<std::size_t>(std::count_if(
    aCall.m_incarnations.begin(),
    aCall.m_incarnations.end(),
    [](const auto& aIncarnation) { return !aIncarnation.second.m_cleared; }));
}

void
Quarantine::NoteCrashTime(Call& aCall, Instant aEndedAt)
{
  const bool isFirst = EndsOf(aCall) == 0;
  aCall.m_firstCrash =
    isFirst ? aEndedAt : std::min(aCall.m_firstCrash, aEndedAt);
  aCall.m_lastCrash =
    isFirst ? aEndedAt : std::max(aCall.m_lastCrash, aEndedAt);
}

Duration
Quarantine::KeptFor(const Call& aCall)
{
  // A call that was quarantined and then cleared is kept as long as one in
  // quarantine. Otherwise an instance that has not received the clearing would
  // report the crashes again, and they would count again.
  return aCall.m_incarnations.size() >= kCrashesToQuarantine ? kQuarantineTime
                                                             : kSuspicionTime;
}

Change
Quarantine::Note(const CrashRecord& aEnding, Instant aNow, Duration aAge)
{
  if (aAge >= kQuarantineTime) {
    return Change::None;
  }
  if (!m_calls.contains(aEnding.m_call)) {
    MakeRoom();
  }
  Call& call = m_calls[aEnding.m_call];
  return aEnding.m_cleared
           ? Clear(call, aEnding.m_incarnationHash, aNow - aAge)
           : AddCrash(call, aEnding.m_incarnationHash, aNow - aAge);
}

bool
Quarantine::ForgetCleared(Call& aCall)
{
  auto oldest = aCall.m_incarnations.end();
  for (auto it = aCall.m_incarnations.begin(); it != aCall.m_incarnations.end();
       ++it) {
    const bool older = oldest == aCall.m_incarnations.end() ||
                       it->second.m_crashedAt < oldest->second.m_crashedAt;
    if (it->second.m_cleared && older) {
      oldest = it;
    }
  }
  if (oldest == aCall.m_incarnations.end()) {
    return false;
  }
  aCall.m_incarnations.erase(oldest);
  return true;
}

Change
Quarantine::AddCrash(Call& aCall, std::uint64_t aIncarnation, Instant aEndedAt)
{
  if (aCall.m_incarnations.contains(aIncarnation)) {
    return Change::None; // The crash is known, and possibly cleared.
  }
  const bool held = IsQuarantined(aCall);
  NoteCrashTime(aCall, aEndedAt);
  if (aCall.m_incarnations.size() >= kMaxIncarnations &&
      !ForgetCleared(aCall)) {
    return Change::None;
  }
  aCall.m_incarnations.emplace(aIncarnation, Incarnation{ false, aEndedAt });
  return IsQuarantined(aCall) && !held ? Change::Held : Change::Suspected;
}

Change
Quarantine::Clear(Call& aCall, std::uint64_t aIncarnation, Instant aEndedAt)
{
  const auto known = aCall.m_incarnations.find(aIncarnation);
  if (known == aCall.m_incarnations.end()) {
    if (aCall.m_incarnations.size() < kMaxIncarnations) {
      aCall.m_incarnations.emplace(aIncarnation, Incarnation{ true, aEndedAt });
    }
    return Change::None;
  }
  if (std::exchange(known->second.m_cleared, true)) {
    return Change::None;
  }
  return EndsOf(aCall) == 0 ? Change::Cleared : Change::None;
}

std::vector<CrashRecord>
Quarantine::NoteServed(const CallDigest& aCall)
{
  std::vector<CrashRecord> out;
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return out;
  }
  for (auto& [hash, incarnation] : found->second.m_incarnations) {
    if (!incarnation.m_cleared) {
      incarnation.m_cleared = true;
      out.push_back({ aCall, hash, true });
    }
  }
  return out;
}

bool
Quarantine::IsQuarantined(const CallDigest& aCall) const
{
  const auto found = m_calls.find(aCall);
  return found != m_calls.end() && IsQuarantined(found->second);
}

bool
Quarantine::IsDoubted(const CallDigest& aCall, Instant aNow) const
{
  const auto found = m_calls.find(aCall);
  return found != m_calls.end() && IsQuarantined(found->second) &&
         MayHaveCommonCause(found->second) &&
         aNow - found->second.m_lastCrash >= kDoubtedAfter;
}

Duration
Quarantine::QuarantineTimeLeft(const CallDigest& aCall, Instant aNow) const
{
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end() || !IsQuarantined(found->second)) {
    return {};
  }
  if (IsDoubted(aCall, aNow)) {
    return kDoubtedAfter;
  }
  const Duration from =
    MayHaveCommonCause(found->second) ? kDoubtedAfter : kQuarantineTime;
  return std::max(Duration{}, found->second.m_lastCrash + from - aNow);
}

std::size_t
Quarantine::Ends(const CallDigest& aCall) const
{
  const auto found = m_calls.find(aCall);
  return found == m_calls.end() ? 0 : EndsOf(found->second);
}

std::size_t
Quarantine::Held() const
{
  return static_cast<std::size_t>(
    std::count_if(m_calls.begin(), m_calls.end(), [](const auto& aEntry) {
      return IsQuarantined(aEntry.second);
    }));
}

std::size_t
Quarantine::Suspected() const
{
  return static_cast<std::size_t>(
    std::count_if(m_calls.begin(), m_calls.end(), [](const auto& aEntry) {
      return EndsOf(aEntry.second) > 0 && !IsQuarantined(aEntry.second);
    }));
}

void
Quarantine::MakeRoom()
{
  const std::size_t held = Held();
  if (held >= kMaxQuarantined) {
    ForgetOldest(true);
  }
  if (m_calls.size() - held >= kMaxSuspected) {
    ForgetOldest(false);
  }
}

void
Quarantine::ForgetOldest(bool aHeld)
{
  auto oldest = m_calls.end();
  for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
    const bool older = oldest == m_calls.end() ||
                       it->second.m_lastCrash < oldest->second.m_lastCrash;
    if (IsQuarantined(it->second) == aHeld && older) {
      oldest = it;
    }
  }
  if (oldest != m_calls.end()) {
    m_calls.erase(oldest);
  }
}

std::vector<CallDigest>
Quarantine::Tick(Instant aNow)
{
  std::vector<CallDigest> out;
  std::erase_if(m_calls, [&](const auto& aEntry) {
    const Call& call = aEntry.second;
    const bool lapsed = aNow - call.m_lastCrash >= KeptFor(call);
    if (lapsed && IsQuarantined(call)) {
      out.push_back(aEntry.first);
    }
    return lapsed;
  });
  return out;
}

std::vector<ReportedCrash>
Quarantine::Snapshot(Instant aNow, std::size_t aMost) const
{
  std::vector<Calls::const_iterator> calls;
  for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
    calls.push_back(it);
  }
  const auto weight = [](const Call& aCall) {
    return std::pair(aCall.m_incarnations.size(), aCall.m_lastCrash);
  };
  std::stable_sort(
    calls.begin(), calls.end(), [&](const auto& aLeft, const auto& aRight) {
      return weight(aLeft->second) > weight(aRight->second);
    });
  std::vector<ReportedCrash> out;
  for (const auto& it : calls) {
    const auto& [digest, call] = *it;
    if (out.size() + call.m_incarnations.size() > aMost) {
      break;
    }
    for (const auto& [hash, incarnation] : call.m_incarnations) {
      out.push_back({ { digest, hash, incarnation.m_cleared },
                      aNow - incarnation.m_crashedAt });
    }
  }
  return out;
}

std::uint64_t
Quarantine::Fingerprint() const
{
  std::uint64_t out = 0;
  for (const auto& [digest, call] : m_calls) {
    if (IsQuarantined(call)) {
      out ^= digest.m_low;
    }
  }
  return out;
}

} // namespace ridgeferry::quarantine
