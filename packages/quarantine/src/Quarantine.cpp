#include "ridgeferry/quarantine/Quarantine.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/base/Overloaded.h>
#include <string>
#include <utility>

namespace ridgeferry::quarantine {

namespace {

/** Share of the suspects that are evicted at once when there are too many. */
constexpr std::size_t kEvictedPart = 8;

std::uint64_t
ShortHash(const Suspect& aSuspect)
{
  return std::visit(
    Overloaded{ [](const CallDigest& aCall) { return aCall.m_low; },
                [](const PromptSegment& aSegment) { return aSegment.m_hash; } },
    aSuspect);
}

} // namespace

std::uint64_t
IncarnationHash(const UpstreamIncarnation& aUpstream)
{
  const std::string born =
    aUpstream.m_born ? std::to_string(*aUpstream.m_born) : "";
  return Hash64(aUpstream.m_id + "/" + born);
}

std::size_t
Quarantine::EndsOf(const Evidence& aEvidence)
{
  return static_cast<std::size_t>(std::count_if(
    aEvidence.m_incarnations.begin(),
    aEvidence.m_incarnations.end(),
    [](const auto& aIncarnation) { return !aIncarnation.second.m_cleared; }));
}

void
Quarantine::NoteCrashTime(Evidence& aEvidence, Instant aEndedAt)
{
  const bool isFirst = EndsOf(aEvidence) == 0;
  aEvidence.m_firstCrash =
    isFirst ? aEndedAt : std::min(aEvidence.m_firstCrash, aEndedAt);
  aEvidence.m_lastCrash =
    isFirst ? aEndedAt : std::max(aEvidence.m_lastCrash, aEndedAt);
}

Duration
Quarantine::KeptFor(const Evidence& aEvidence)
{
  // A suspect that was quarantined and then cleared is kept as long as one in
  // quarantine. Otherwise an instance that has not received the clearing would
  // report the crashes again, and they would count again.
  return aEvidence.m_incarnations.size() >= kCrashesToQuarantine
           ? kQuarantineTime
           : kSuspicionTime;
}

Duration
Quarantine::DoubtedAfter(const Suspect& aSuspect, const Evidence& aEvidence)
{
  if (MayHaveCommonCause(aEvidence)) {
    return kDoubtedAfter;
  }
  const bool isUnsure =
    IsSegment(aSuspect) && EndsOf(aEvidence) < kCrashesToBeSure;
  return isUnsure ? kSegmentDoubtedAfter : kQuarantineTime;
}

Change
Quarantine::Note(const CrashRecord& aEnding, Instant aNow, Duration aAge)
{
  if (aAge >= kQuarantineTime) {
    return Change::None;
  }
  const Suspect& suspect = aEnding.m_suspect;
  if (!m_suspects.contains(suspect)) {
    MakeRoom();
  }
  const Instant crashedAt = aNow - aAge;
  const bool wasHeld = IsQuarantined(suspect);
  Evidence& evidence = m_suspects[suspect];
  evidence.m_depth = std::max(evidence.m_depth, aEnding.m_depth);
  if (aEnding.m_cleared || WasServedSince(suspect, crashedAt)) {
    const bool isCleared = Clear(evidence, aEnding, crashedAt);
    Review(suspect);
    return isCleared && EndsOf(evidence) == 0 ? Change::Cleared : Change::None;
  }
  if (!AddCrash(evidence, aEnding, crashedAt)) {
    return Change::None;
  }
  Review(suspect);
  return IsQuarantined(suspect) && !wasHeld ? Change::Held : Change::Suspected;
}

bool
Quarantine::ForgetCleared(Evidence& aEvidence)
{
  auto oldest = aEvidence.m_incarnations.end();
  for (auto it = aEvidence.m_incarnations.begin();
       it != aEvidence.m_incarnations.end();
       ++it) {
    const bool older = oldest == aEvidence.m_incarnations.end() ||
                       it->second.m_crashedAt < oldest->second.m_crashedAt;
    if (it->second.m_cleared && older) {
      oldest = it;
    }
  }
  if (oldest == aEvidence.m_incarnations.end()) {
    return false;
  }
  aEvidence.m_incarnations.erase(oldest);
  return true;
}

bool
Quarantine::AddCrash(Evidence& aEvidence,
                     const CrashRecord& aEnding,
                     Instant aEndedAt)
{
  if (aEvidence.m_incarnations.contains(aEnding.m_incarnationHash)) {
    return false; // The crash is known, and possibly cleared.
  }
  NoteCrashTime(aEvidence, aEndedAt);
  if (aEvidence.m_incarnations.size() >= kMaxIncarnations &&
      !ForgetCleared(aEvidence)) {
    return false;
  }
  aEvidence.m_incarnations.emplace(aEnding.m_incarnationHash,
                                   Incarnation{ false, aEndedAt });
  return true;
}

bool
Quarantine::Clear(Evidence& aEvidence,
                  const CrashRecord& aEnding,
                  Instant aEndedAt)
{
  const auto known = aEvidence.m_incarnations.find(aEnding.m_incarnationHash);
  if (known != aEvidence.m_incarnations.end()) {
    return !std::exchange(known->second.m_cleared, true);
  }
  if (aEvidence.m_incarnations.empty()) {
    aEvidence.m_lastCrash = aEndedAt;
  }
  if (aEvidence.m_incarnations.size() < kMaxIncarnations) {
    aEvidence.m_incarnations.emplace(aEnding.m_incarnationHash,
                                     Incarnation{ true, aEndedAt });
  }
  return false;
}

std::vector<CrashRecord>
Quarantine::NoteServed(const Suspect& aSuspect, Instant aNow)
{
  if (const auto* segment = std::get_if<PromptSegment>(&aSuspect)) {
    m_served.Note(*segment, aNow);
  }
  std::vector<CrashRecord> out;
  const auto found = m_suspects.find(aSuspect);
  if (found == m_suspects.end()) {
    return out;
  }
  for (auto& [hash, incarnation] : found->second.m_incarnations) {
    if (!incarnation.m_cleared) {
      incarnation.m_cleared = true;
      out.push_back({ aSuspect, hash, true, found->second.m_depth });
    }
  }
  if (!out.empty()) {
    Review(aSuspect);
  }
  return out;
}

bool
Quarantine::WasServedSince(const Suspect& aSuspect, Instant aSince) const
{
  const auto* segment = std::get_if<PromptSegment>(&aSuspect);
  return segment != nullptr && m_served.WasServedSince(*segment, aSince);
}

void
Quarantine::Review(const Suspect& aSuspect)
{
  const auto changed = m_suspects.find(aSuspect);
  const bool mayBeHeld = changed != m_suspects.end() &&
                         EndsOf(changed->second) >= kCrashesToQuarantine;
  const bool wasCandidate = m_candidates.contains(aSuspect);
  if (!mayBeHeld && !wasCandidate) {
    return;
  }
  if (mayBeHeld) {
    m_candidates.insert(aSuspect);
  } else {
    m_candidates.erase(aSuspect);
  }
  std::vector<Suspects::const_iterator> deepestFirst;
  for (const Suspect& candidate : m_candidates) {
    deepestFirst.push_back(m_suspects.find(candidate));
  }
  std::stable_sort(deepestFirst.begin(),
                   deepestFirst.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft->second.m_depth > aRight->second.m_depth;
                   });
  m_held.clear();
  m_fingerprint = 0;
  std::set<std::uint64_t> explained; // By suspects that are deeper.
  std::set<std::uint64_t> alongside; // By those of the same depth.
  std::optional<Depth> depth;
  for (const auto& candidate : deepestFirst) {
    if (depth != candidate->second.m_depth) {
      explained.merge(alongside);
      depth = candidate->second.m_depth;
    }
    std::size_t unexplained = 0;
    std::size_t ends = 0;
    for (const auto& [hash, incarnation] : candidate->second.m_incarnations) {
      ends += incarnation.m_cleared ? 0 : 1;
      unexplained += incarnation.m_cleared || explained.contains(hash) ? 0 : 1;
    }
    if (unexplained < ends && unexplained < kUnexplainedCrashes) {
      continue;
    }
    Hold(candidate->first);
    for (const auto& [hash, incarnation] : candidate->second.m_incarnations) {
      if (!incarnation.m_cleared) {
        alongside.insert(hash);
      }
    }
  }
}

void
Quarantine::Hold(const Suspect& aSuspect)
{
  m_held.insert(aSuspect);
  m_fingerprint ^= ShortHash(aSuspect);
}

bool
Quarantine::IsDoubted(const Suspect& aSuspect, Instant aNow) const
{
  if (!IsQuarantined(aSuspect)) {
    return false;
  }
  const Evidence& evidence = m_suspects.at(aSuspect);
  const Duration after = DoubtedAfter(aSuspect, evidence);
  return after < kQuarantineTime && aNow - evidence.m_lastCrash >= after;
}

Duration
Quarantine::QuarantineTimeLeft(const Suspect& aSuspect, Instant aNow) const
{
  if (!IsQuarantined(aSuspect)) {
    return {};
  }
  if (IsDoubted(aSuspect, aNow)) {
    return kDoubtedAfter;
  }
  const Evidence& evidence = m_suspects.at(aSuspect);
  return std::max(
    Duration{}, evidence.m_lastCrash + DoubtedAfter(aSuspect, evidence) - aNow);
}

std::size_t
Quarantine::Ends(const Suspect& aSuspect) const
{
  const auto found = m_suspects.find(aSuspect);
  return found == m_suspects.end() ? 0 : EndsOf(found->second);
}

std::size_t
Quarantine::Suspected() const
{
  return static_cast<std::size_t>(std::count_if(
    m_suspects.begin(), m_suspects.end(), [this](const auto& aEntry) {
      return EndsOf(aEntry.second) > 0 && !IsQuarantined(aEntry.first);
    }));
}

void
Quarantine::MakeRoom()
{
  if (m_held.size() >= kMaxQuarantined) {
    ForgetOldest(true);
  }
  if (m_suspects.size() - m_held.size() >= kMaxSuspected) {
    ForgetOldest(false);
  }
}

void
Quarantine::ForgetOldest(bool aHeld)
{
  std::vector<Suspects::const_iterator> all;
  for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it) {
    if (IsQuarantined(it->first) == aHeld) {
      all.push_back(it);
    }
  }
  const std::size_t evicted =
    aHeld ? std::min<std::size_t>(1, all.size())
          : std::max<std::size_t>(1, all.size() / kEvictedPart);
  std::partial_sort(all.begin(),
                    all.begin() + static_cast<std::ptrdiff_t>(evicted),
                    all.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft->second.m_lastCrash <
                             aRight->second.m_lastCrash;
                    });
  for (std::size_t i = 0; i < evicted; ++i) {
    const Suspect suspect = all[i]->first;
    m_suspects.erase(all[i]);
    Review(suspect);
  }
}

std::vector<Suspect>
Quarantine::Tick(Instant aNow)
{
  m_served.Tick(aNow);
  std::vector<Suspect> expired;
  std::vector<Suspect> out;
  for (const auto& [suspect, evidence] : m_suspects) {
    if (aNow - evidence.m_lastCrash >= KeptFor(evidence)) {
      expired.push_back(suspect);
      if (IsQuarantined(suspect)) {
        out.push_back(suspect);
      }
    }
  }
  for (const Suspect& suspect : expired) {
    m_suspects.erase(suspect);
    Review(suspect);
  }
  return out;
}

std::vector<ReportedCrash>
Quarantine::Snapshot(Instant aNow, std::size_t aMost) const
{
  std::vector<Suspects::const_iterator> suspects;
  for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it) {
    suspects.push_back(it);
  }
  const auto weight = [](const Evidence& aEvidence) {
    return std::pair(aEvidence.m_incarnations.size(), aEvidence.m_lastCrash);
  };
  std::stable_sort(suspects.begin(),
                   suspects.end(),
                   [&](const auto& aLeft, const auto& aRight) {
                     return weight(aLeft->second) > weight(aRight->second);
                   });
  std::vector<ReportedCrash> out;
  for (const auto& it : suspects) {
    const auto& [suspect, evidence] = *it;
    if (out.size() + evidence.m_incarnations.size() > aMost) {
      break;
    }
    for (const auto& [hash, incarnation] : evidence.m_incarnations) {
      out.push_back(
        { { suspect, hash, incarnation.m_cleared, evidence.m_depth },
          aNow - incarnation.m_crashedAt });
    }
  }
  return out;
}

} // namespace ridgeferry::quarantine
