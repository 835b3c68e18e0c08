#include "QuarantineService.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace ridgeferry::entry {

namespace {

constexpr Duration kTick{ 100 };
/** A gap between two ticks from which on this process counts as having been
 * suspended. Connections that broke meanwhile may have timed out, and are no
 * evidence of a crash of their upstreams. */
constexpr Duration kSuspendedGap{ 1000 };
/** Least time between two trial runs of a call whose quarantine is doubted
 * because its crashes may have had a common cause other than the call. Within
 * this time a trial run has either succeeded or crashed its upstream. */
constexpr Duration kTrialInterval{ 10'000 };
/** Time-out of a connection probe. The machine of an upstream normally answers
 * within milliseconds, whether the upstream runs or not. */
constexpr Duration kProbeTimeout{ 300 };
/** Time from the start of a probe that got no answer to the next probe of the
 * same upstream. */
constexpr Duration kProbeAgain{ 500 };
/** Longest time after the start for which this instance accepts no calls
 * because it has not yet learned which calls its peers have quarantined. */
constexpr Duration kMaxStartDelay{ 2000 };

std::string_view
NameOf(quarantine::Change aChange, bool aIsSegment)
{
  switch (aChange) {
    case quarantine::Change::Suspected:
      return aIsSegment ? "segment-suspected" : "call-suspected";
    case quarantine::Change::Held:
      return aIsSegment ? "segment-quarantined" : "call-quarantined";
    case quarantine::Change::Cleared:
      return aIsSegment ? "segment-cleared" : "call-cleared";
    case quarantine::Change::None:
      break;
  }
  return aIsSegment ? "segment-unchanged" : "call-unchanged";
}

/** Returns the key of the log under which a suspect is named. */
std::string
KeyOf(const quarantine::Suspect& aSuspect)
{
  return quarantine::IsSegment(aSuspect) ? "segment" : "call";
}

} // namespace

QuarantineService::QuarantineService(EntryNode& aNode,
                                     StoreGenerations& aGenerations,
                                     Peers& aPeers,
                                     PeerRows& aPeerRows)
  : m_node(aNode)
  , m_peers(aPeers)
  , m_share(aNode,
            aGenerations,
            aPeers,
            aPeerRows,
            m_quarantine,
            [this](const quarantine::CrashRecord& aEnding,
                   Duration aAge,
                   std::string_view aFrom) { AddRecord(aEnding, aAge, aFrom); })
{
}

void
QuarantineService::Start()
{
  if (!m_node.m_settings.m_quarantines) {
    return;
  }
  m_began = m_node.Now();
  m_lastTick = m_began;
  m_share.Start();
  m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
}

bool
QuarantineService::IsReadyForCalls() const
{
  return !m_node.m_settings.m_quarantines || m_share.IsKnown() ||
         m_node.Now() - m_began >= kMaxStartDelay;
}

bool
QuarantineService::KnowsAny() const
{
  return !m_quarantine.IsEmpty() || !m_broken.IsEmpty();
}

std::optional<QuarantineHold>
QuarantineService::HoldOf(
  std::span<const quarantine::NamedSuspect> aSuspects) const
{
  for (const quarantine::NamedSuspect& named : aSuspects) {
    if (m_quarantine.IsQuarantined(named.m_suspect)) {
      return QuarantineHold{
        named, m_quarantine.QuarantineTimeLeft(named.m_suspect, m_node.Now())
      };
    }
    // Runs of a call whose connection broke count as crashes until it is known
    // whether the upstream crashed: the next one could crash a further
    // upstream. Segments are shared by many calls, whose connections may break
    // together for other reasons.
    if (!quarantine::IsSegment(named.m_suspect) &&
        m_quarantine.Ends(named.m_suspect) +
            m_broken.Unresolved(named.m_suspect) >=
          quarantine::Quarantine::kCrashesToQuarantine) {
      return QuarantineHold{ named, quarantine::BrokenRuns::kUnresolvedFor };
    }
  }
  return std::nullopt;
}

bool
QuarantineService::IsTrialDue(const quarantine::Suspect& aSuspect) const
{
  const Instant now = m_node.Now();
  if (!m_quarantine.IsDoubted(aSuspect, now) ||
      m_peers.Rank(quarantine::FormatSuspect(aSuspect)) != 0) {
    return false;
  }
  const auto tried = m_trialStartedAt.find(aSuspect);
  return tried == m_trialStartedAt.end() ||
         now - tried->second >= kTrialInterval;
}

bool
QuarantineService::AllowTrialRun(
  std::span<const quarantine::NamedSuspect> aSuspects)
{
  std::vector<quarantine::Suspect> held;
  for (const quarantine::NamedSuspect& named : aSuspects) {
    if (!m_quarantine.IsQuarantined(named.m_suspect)) {
      continue;
    }
    if (!IsTrialDue(named.m_suspect)) {
      return false;
    }
    held.push_back(named.m_suspect);
  }
  for (const quarantine::Suspect& suspect : held) {
    m_trialStartedAt[suspect] = m_node.Now();
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "quarantine-tried",
      { { KeyOf(suspect), quarantine::FormatSuspect(suspect) } });
  }
  return !held.empty();
}

bool
QuarantineService::MayRepeat(
  std::span<const quarantine::NamedSuspect> aSuspects) const
{
  return std::all_of(aSuspects.begin(),
                     aSuspects.end(),
                     [this](const quarantine::NamedSuspect& aNamed) {
                       const bool isCall =
                         !quarantine::IsSegment(aNamed.m_suspect);
                       const std::size_t unresolved =
                         isCall ? m_broken.Unresolved(aNamed.m_suspect) : 0;
                       return m_quarantine.Ends(aNamed.m_suspect) + unresolved <
                              quarantine::Quarantine::kCrashesToStopRetries;
                     });
}

std::size_t
QuarantineService::HeldCalls() const
{
  return m_quarantine.Held().size() - HeldSegments();
}

std::size_t
QuarantineService::HeldSegments() const
{
  const auto& held = m_quarantine.Held();
  return static_cast<std::size_t>(
    std::count_if(held.begin(), held.end(), &quarantine::IsSegment));
}

void
QuarantineService::NoteBroken(const Send& aSend)
{
  const relay::Member* member = m_node.m_fleet.Find(aSend.m_upstream);
  if (!m_node.m_settings.m_quarantines || member == nullptr ||
      member->m_leaving) {
    return;
  }
  m_broken.NoteBroken(aSend.m_suspects, member->Incarnation(), m_node.Now());
  std::string segments;
  std::vector<observe::LogField> fields{ { "id", aSend.m_requestId },
                                         { "upstream", aSend.m_upstream } };
  for (const quarantine::NamedSuspect& named : aSend.m_suspects) {
    const std::string text = quarantine::FormatSuspect(named.m_suspect);
    if (quarantine::IsSegment(named.m_suspect)) {
      segments.insert(0, segments.empty() ? text : text + ",");
      continue;
    }
    fields.push_back({ "call", text });
    fields.push_back(
      { "ends",
        static_cast<std::int64_t>(m_quarantine.Ends(named.m_suspect)) });
    fields.push_back(
      { "unresolved",
        static_cast<std::int64_t>(m_broken.Unresolved(named.m_suspect)) });
  }
  fields.push_back({ "segments", std::move(segments) });
  m_node.m_log->Write(observe::LogLevel::Info, "send-broke", fields);
  Probe(*member);
}

void
QuarantineService::Probe(const relay::Member& aMember)
{
  const auto address = net::Address::Parse(aMember.m_address);
  if (!address || m_probes.contains(aMember.m_id)) {
    return;
  }
  ProbeOf& probe = m_probes[aMember.m_id];
  probe.m_upstream = aMember.Incarnation();
  probe.m_began = m_node.Now();
  probe.m_probe = std::make_unique<net::ConnectProbe>(
    *m_node.m_loop,
    *address,
    kProbeTimeout,
    [this, upstream = aMember.m_id](net::Reach aReach) {
      // Deferred, since handling the result destroys the probe, whose functions
      // are still on the stack.
      m_node.m_loop->Defer(
        [this, upstream, aReach] { HandleProbeResult(upstream, aReach); });
    });
}

void
QuarantineService::HandleProbeResult(const std::string& aUpstream,
                                     net::Reach aReach)
{
  const auto found = m_probes.find(aUpstream);
  if (found == m_probes.end()) {
    return;
  }
  const UpstreamIncarnation upstream = found->second.m_upstream;
  const Instant began = found->second.m_began;
  if (aReach == net::Reach::Unknown) {
    found->second.m_probe.reset(); // `Tick` probes the upstream again.
    return;
  }
  m_probes.erase(found);
  if (aReach == net::Reach::Refused) {
    NoteEnded(upstream, "connection refused");
  } else {
    m_broken.NoteAlive(aUpstream, began);
  }
}

void
QuarantineService::NoteRefused(const std::string& aUpstream)
{
  const relay::Member* member = m_node.m_fleet.Find(aUpstream);
  if (member != nullptr && !m_broken.IsEmpty()) {
    NoteEnded(member->Incarnation(), "connection refused");
  }
}

void
QuarantineService::NoteAnswered(const std::string& aUpstream, Instant aSince)
{
  m_broken.NoteAlive(aUpstream, aSince);
}

void
QuarantineService::NoteGone(const UpstreamIncarnation& aUpstream)
{
  NoteEnded(aUpstream, "no longer listed");
}

void
QuarantineService::NoteLaterIncarnation(const std::string& aUpstream)
{
  for (const UpstreamIncarnation& incarnation :
       m_broken.UnresolvedIncarnations(aUpstream)) {
    NoteEnded(incarnation, "later incarnation listed");
  }
}

void
QuarantineService::NoteEnded(const UpstreamIncarnation& aUpstream,
                             std::string_view aFrom)
{
  const std::uint64_t incarnation = quarantine::IncarnationHash(aUpstream);
  const Instant now = m_node.Now();
  std::vector<quarantine::ReportedCrash> endings;
  std::int64_t calls = 0;
  std::int64_t segments = 0;
  std::int64_t postponed = 0;
  for (const auto& [suspect, broken] : m_broken.NoteEnded(aUpstream)) {
    const quarantine::CrashRecord record{
      suspect, incarnation, false, broken.m_depth
    };
    ++(quarantine::IsSegment(suspect) ? segments : calls);
    if (quarantine::PostponedCrashes::Holds(
          m_quarantine, record, broken.m_at)) {
      m_postponed.Add(record, broken.m_at);
      ++postponed;
    } else {
      endings.push_back({ record, now - broken.m_at });
    }
  }
  if (calls + segments == 0) {
    return;
  }
  m_node.m_metrics.Count("upstreams_ended_under_calls_total");
  m_node.m_log->Write(observe::LogLevel::Warning,
                      "upstream-ended",
                      { { "upstream", aUpstream.m_id },
                        { "from", std::string(aFrom) },
                        { "calls", calls },
                        { "segments", segments },
                        { "postponed", postponed } });
  AddOwnRecords(endings, aFrom);
}

void
QuarantineService::AddOwnRecords(
  std::span<const quarantine::ReportedCrash> aEndings,
  std::string_view aFrom)
{
  if (aEndings.empty()) {
    return;
  }
  std::vector<quarantine::ReportedCrash> deepestFirst(aEndings.begin(),
                                                      aEndings.end());
  std::stable_sort(deepestFirst.begin(),
                   deepestFirst.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.m_record.m_depth > aRight.m_record.m_depth;
                   });
  for (const quarantine::ReportedCrash& ending : deepestFirst) {
    AddRecord(ending.m_record, ending.m_age, aFrom);
  }
  m_share.Announce(deepestFirst, QuarantineShare::When::AtOnce);
}

void
QuarantineService::NoteServed(
  std::span<const quarantine::PromptSegment> aSegments)
{
  for (const quarantine::PromptSegment& segment : aSegments) {
    m_quarantine.NoteServed(segment, m_node.Now());
  }
}

void
QuarantineService::NoteServed(const Send& aSend)
{
  std::vector<quarantine::ReportedCrash> cleared;
  bool isUrgent = false;
  for (const quarantine::NamedSuspect& named : aSend.m_suspects) {
    m_broken.NoteServed(named.m_suspect);
    const bool wasHeld = m_quarantine.IsQuarantined(named.m_suspect);
    const std::vector<quarantine::CrashRecord> records =
      m_quarantine.NoteServed(named.m_suspect, m_node.Now());
    if (records.empty()) {
      continue;
    }
    const bool isSegment = quarantine::IsSegment(named.m_suspect);
    isUrgent |= wasHeld || !isSegment;
    for (const quarantine::CrashRecord& record : records) {
      cleared.push_back({ record, {} });
    }
    m_node.m_log->Write(
      observe::LogLevel::Info,
      NameOf(quarantine::Change::Cleared, isSegment),
      { { "id", aSend.m_requestId },
        { KeyOf(named.m_suspect), quarantine::FormatSuspect(named.m_suspect) },
        { "upstream", aSend.m_upstream },
        { "ends", static_cast<std::int64_t>(records.size()) } });
  }
  if (!cleared.empty()) {
    // Each instance that serves a popular segment clears it by its own runs.
    m_share.Announce(cleared,
                     isUrgent ? QuarantineShare::When::AtOnce
                              : QuarantineShare::When::WithNextHeartbeat);
  }
}

void
QuarantineService::AddRecord(const quarantine::CrashRecord& aEnding,
                             Duration aAge,
                             std::string_view aFrom)
{
  const quarantine::Change change =
    m_quarantine.Note(aEnding, m_node.Now(), aAge);
  if (change == quarantine::Change::None) {
    return;
  }
  const bool isSegment = quarantine::IsSegment(aEnding.m_suspect);
  const bool held = change == quarantine::Change::Held;
  if (held) {
    m_node.m_metrics.Count(isSegment ? "segments_quarantined_total"
                                     : "calls_quarantined_total");
  }
  const std::size_t ends = m_quarantine.Ends(aEnding.m_suspect);
  if (change == quarantine::Change::Suspected &&
      (aFrom == QuarantineShare::kFromPeer || isSegment) &&
      ends < quarantine::Quarantine::kCrashesToStopRetries) {
    // A crash record arrives for all that ran on the upstream, so logging them
    // at each instance would be too much. `send-broke` of the instance that
    // observed the crash names them.
    return;
  }
  m_node.m_log->Write(
    held ? observe::LogLevel::Warning : observe::LogLevel::Info,
    NameOf(change, isSegment),
    { { KeyOf(aEnding.m_suspect),
        quarantine::FormatSuspect(aEnding.m_suspect) },
      { "life", fmt::format("{:016x}", aEnding.m_incarnationHash) },
      { "ends", static_cast<std::int64_t>(ends) },
      { "ageMs", aAge.count() },
      { "from", std::string(aFrom) } });
}

void
QuarantineService::LogReleased()
{
  for (const quarantine::Suspect& suspect : m_wereHeld) {
    if (!m_quarantine.IsQuarantined(suspect)) {
      m_node.m_log->Write(
        observe::LogLevel::Info,
        "quarantine-released",
        { { KeyOf(suspect), quarantine::FormatSuspect(suspect) },
          { "ends", static_cast<std::int64_t>(m_quarantine.Ends(suspect)) } });
    }
  }
  m_wereHeld = m_quarantine.Held();
}

void
QuarantineService::Tick()
{
  const Instant now = m_node.Now();
  if (now - std::exchange(m_lastTick, now) >= kSuspendedGap) {
    m_broken.ForgetAll();
  }
  m_broken.Tick(now);
  std::erase_if(m_trialStartedAt, [this](const auto& aEntry) {
    return !m_quarantine.IsQuarantined(aEntry.first);
  });
  for (const quarantine::Suspect& suspect : m_quarantine.Tick(now)) {
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "quarantine-lapsed",
      { { KeyOf(suspect), quarantine::FormatSuspect(suspect) } });
  }
  AddOwnRecords(m_postponed.TakeDue(m_quarantine, now), "not served since");
  LogReleased();
  std::erase_if(m_probes, [&](const auto& aEntry) {
    return aEntry.second.m_probe == nullptr &&
           now - aEntry.second.m_began >= kProbeAgain;
  });
  for (const std::string& upstream : m_broken.Upstreams()) {
    if (const relay::Member* member = m_node.m_fleet.Find(upstream)) {
      Probe(*member);
    }
  }
  m_share.Tick();
}

} // namespace ridgeferry::entry
