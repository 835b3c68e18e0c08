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
NameOf(quarantine::Change aChange)
{
  switch (aChange) {
    case quarantine::Change::Suspected:
      return "call-suspected";
    case quarantine::Change::Held:
      return "call-quarantined";
    case quarantine::Change::Cleared:
      return "call-cleared";
    case quarantine::Change::None:
      break;
  }
  return "call-unchanged";
}

/** Returns the segments for a log line, separated by commas. */
std::string
NamesOf(std::span<const quarantine::PromptSegment> aSegments)
{
  std::string out;
  for (const quarantine::PromptSegment& segment : aSegments) {
    out += (out.empty() ? "" : ",") + quarantine::FormatSegment(segment);
  }
  return out;
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

std::optional<Duration>
QuarantineService::QuarantineTimeLeft(const quarantine::CallDigest& aCall) const
{
  if (m_quarantine.IsQuarantined(aCall)) {
    return m_quarantine.QuarantineTimeLeft(aCall, m_node.Now());
  }
  // Runs whose connection broke count as crashes until it is known whether the
  // upstream crashed: the next run of the call could crash a further upstream.
  const std::size_t ends =
    m_quarantine.Ends(aCall) + m_broken.Unresolved(aCall);
  if (ends >= quarantine::Quarantine::kCrashesToQuarantine) {
    return quarantine::BrokenRuns::kUnresolvedFor;
  }
  return std::nullopt;
}

bool
QuarantineService::AllowTrialRun(const quarantine::CallDigest& aCall)
{
  const Instant now = m_node.Now();
  if (!m_quarantine.IsDoubted(aCall, now) ||
      m_peers.Rank(quarantine::FormatDigest(aCall)) != 0) {
    return false;
  }
  const auto [tried, isFirst] = m_trialStartedAt.try_emplace(aCall, now);
  const bool may = isFirst || now - tried->second >= kTrialInterval;
  if (may) {
    tried->second = now;
    m_node.m_log->Write(observe::LogLevel::Info,
                        "quarantine-tried",
                        { { "call", quarantine::FormatDigest(aCall) } });
  }
  return may;
}

bool
QuarantineService::MayRepeat(const quarantine::CallDigest& aCall) const
{
  return m_quarantine.Ends(aCall) + m_broken.Unresolved(aCall) <
         quarantine::Quarantine::kCrashesToStopRetries;
}

void
QuarantineService::NoteBroken(const Send& aSend)
{
  const relay::Member* member = m_node.m_fleet.Find(aSend.m_upstream);
  if (!m_node.m_settings.m_quarantines || member == nullptr ||
      member->m_leaving) {
    return;
  }
  m_broken.NoteBroken(aSend.m_call, member->Incarnation(), m_node.Now());
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "send-broke",
    { { "id", aSend.m_requestId },
      { "call", quarantine::FormatDigest(aSend.m_call) },
      { "upstream", aSend.m_upstream },
      { "ends", static_cast<std::int64_t>(m_quarantine.Ends(aSend.m_call)) },
      { "unresolved",
        static_cast<std::int64_t>(m_broken.Unresolved(aSend.m_call)) },
      { "segments", NamesOf(aSend.m_segments) } });
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
  std::vector<quarantine::CrashRecord> endings;
  for (const auto& [call, brokeAt] : m_broken.NoteEnded(aUpstream)) {
    endings.push_back({ call, incarnation });
    AddRecord(endings.back(), m_node.Now() - brokeAt, aFrom);
  }
  if (endings.empty()) {
    return;
  }
  m_node.m_metrics.Count("upstreams_ended_under_calls_total");
  m_node.m_log->Write(
    observe::LogLevel::Warning,
    "upstream-ended",
    { { "upstream", aUpstream.m_id },
      { "from", std::string(aFrom) },
      { "calls", static_cast<std::int64_t>(endings.size()) } });
  m_share.Announce(std::move(endings));
}

void
QuarantineService::NoteServed(const Send& aSend)
{
  m_broken.NoteServed(aSend.m_call);
  std::vector<quarantine::CrashRecord> cleared =
    m_quarantine.NoteServed(aSend.m_call);
  if (cleared.empty()) {
    return;
  }
  m_node.m_log->Write(
    observe::LogLevel::Info,
    NameOf(quarantine::Change::Cleared),
    { { "id", aSend.m_requestId },
      { "call", quarantine::FormatDigest(aSend.m_call) },
      { "upstream", aSend.m_upstream },
      { "ends", static_cast<std::int64_t>(cleared.size()) } });
  m_share.Announce(std::move(cleared));
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
  const bool held = change == quarantine::Change::Held;
  if (held) {
    m_node.m_metrics.Count("calls_quarantined_total");
  }
  if (change == quarantine::Change::Suspected &&
      aFrom == QuarantineShare::kFromPeer &&
      m_quarantine.Ends(aEnding.m_call) <
        quarantine::Quarantine::kCrashesToStopRetries) {
    // The peer that observed the crash has logged it. A crash record arrives
    // for each call that ran on the upstream, so logging them at each instance
    // would be too much.
    return;
  }
  m_node.m_log->Write(
    held ? observe::LogLevel::Warning : observe::LogLevel::Info,
    NameOf(change),
    { { "call", quarantine::FormatDigest(aEnding.m_call) },
      { "life", fmt::format("{:016x}", aEnding.m_incarnationHash) },
      { "ends", static_cast<std::int64_t>(m_quarantine.Ends(aEnding.m_call)) },
      { "ageMs", aAge.count() },
      { "from", std::string(aFrom) } });
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
  for (const quarantine::CallDigest& call : m_quarantine.Tick(now)) {
    m_node.m_log->Write(observe::LogLevel::Info,
                        "quarantine-lapsed",
                        { { "call", quarantine::FormatDigest(call) } });
  }
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
