#include "QuarantineShare.h"

#include <algorithm>
#include <iterator>
#include <ridgeferry/base/Overloaded.h>
#include <ridgeferry/quarantine/CrashRecordsText.h>
#include <utility>

namespace ridgeferry::entry {

namespace {

/** Topic of the ranking of live instances (`Peers::Rank`) that decides which
 * one writes the crash records to the store, and in which order starting ones
 * read them. */
constexpr const char* kTopic = "quarantine";
/** Key of the only row in the quarantine table of the store. Peers request the
 * same data from each other under this name. */
constexpr const char* kKey = "endings";
/** A starting instance waits this long for a peer that knows the quarantined
 * calls before it reads the store. Each further instance in the ranking of the
 * topic waits this much longer, up to `kMostTurns` times, so that instances
 * that start together do not all read the store. */
constexpr Duration kAskPeersFor{ 300 };
constexpr std::size_t kMostTurns = 5;
constexpr Duration kStoreAgain{ 500 };
/** Most crash records in one heartbeat, about 30 bytes each. They suffice for
 * the crashes of a few upstreams. */
constexpr std::size_t kMaxRecordsInHeartbeat = 20;
/** Most crash records that are written to the store, about 110 bytes each. The
 * bound keeps the row below the size limit of the store. */
constexpr std::size_t kMostWritten = 400;
/** Most crash records in the answer to a peer that requests them. */
constexpr std::size_t kMostToPeer = 1000;
/** Greatest age of a crash that a heartbeat names. */
constexpr Duration kMaxAge = std::chrono::hours(24);

membership::CrashDigest
DigestFor(const quarantine::CrashRecord& aEnding, Duration aAge)
{
  membership::CrashDigest out;
  out.m_incarnationHash = aEnding.m_incarnationHash;
  out.m_cleared = aEnding.m_cleared;
  out.m_ageMs =
    static_cast<std::int32_t>(std::clamp(aAge, Duration{}, kMaxAge).count());
  std::visit(Overloaded{ [&out](const quarantine::CallDigest& aCall) {
                          out.m_callHigh = aCall.m_high;
                          out.m_callLow = aCall.m_low;
                        },
                         [&](const quarantine::PromptSegment& aSegment) {
                           out.m_callLow = aSegment.m_hash;
                           out.m_segmentDepth = aEnding.m_depth;
                         } },
             aEnding.m_suspect);
  return out;
}

quarantine::CrashRecord
EndingFrom(const membership::CrashDigest& aDigest)
{
  quarantine::CrashRecord out;
  out.m_incarnationHash = aDigest.m_incarnationHash;
  out.m_cleared = aDigest.m_cleared;
  if (aDigest.m_segmentDepth) {
    out.m_suspect = quarantine::PromptSegment{ aDigest.m_callLow };
    out.m_depth = *aDigest.m_segmentDepth;
  } else {
    out.m_suspect =
      quarantine::CallDigest{ aDigest.m_callHigh, aDigest.m_callLow };
  }
  return out;
}

} // namespace

QuarantineShare::QuarantineShare(EntryNode& aNode,
                                 StoreGenerations& aGenerations,
                                 Peers& aPeers,
                                 PeerRows& aPeerRows,
                                 const quarantine::Quarantine& aQuarantine,
                                 RecordHandler aOnRecord)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_calls(aNode, aGenerations, "the quarantine")
  , m_peers(aPeers)
  , m_peerRows(aPeerRows)
  , m_quarantine(aQuarantine)
  , m_onRecord(std::move(aOnRecord))
{
}

void
QuarantineShare::Start()
{
  m_began = m_node.Now();
  m_peers.SignalCrashes().connect(
    [this](std::span<const membership::CrashDigest> aEndings) {
      AddReportedRecords(aEndings);
    });
  m_peers.SignalListed().connect([this](bool aAny) {
    m_listed = true;
    m_hasOthers = aAny;
  });
  m_generations.SignalNewGeneration().connect(
    [this](StoreGeneration) { m_written = 0; });
  m_peerRows.Serve(kKey, [this](StorePosition) { return Slice(); });
}

void
QuarantineShare::Tick()
{
  UpdateHeartbeat();
  AskPeers();
  WriteStore();
}

void
QuarantineShare::Announce(std::span<const quarantine::ReportedCrash> aEndings,
                          When aWhen)
{
  const Instant now = m_node.Now();
  for (const quarantine::ReportedCrash& ending : aEndings) {
    const bool endsQuarantine =
      ending.m_record.m_cleared && aWhen == When::AtOnce;
    m_announcedRecords.push_back(
      { now, now - ending.m_age, ending.m_record, endsQuarantine });
  }
  UpdateHeartbeat();
  if (aWhen == When::AtOnce) {
    m_peers.SendToAll();
  }
}

std::size_t
QuarantineShare::UrgencyOf(const AnnouncedRecord& aRecord) const
{
  return aRecord.m_endsQuarantine
           ? quarantine::Quarantine::kCrashesToQuarantine
           : m_quarantine.Ends(aRecord.m_record.m_suspect);
}

void
QuarantineShare::UpdateHeartbeat()
{
  const Instant now = m_node.Now();
  const Instant since = now - m_peers.AnnouncementTime();
  while (!m_announcedRecords.empty() &&
         m_announcedRecords.front().m_at < since) {
    m_announcedRecords.pop_front();
  }
  // A heartbeat has room for `kMaxRecordsInHeartbeat` records only.
  std::vector<std::pair<std::size_t, const AnnouncedRecord*>> byUrgency;
  std::transform(m_announcedRecords.rbegin(),
                 m_announcedRecords.rend(),
                 std::back_inserter(byUrgency),
                 [this](const AnnouncedRecord& aRecord) {
                   return std::pair(UrgencyOf(aRecord), &aRecord);
                 });
  std::stable_sort(byUrgency.begin(),
                   byUrgency.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.first > aRight.first;
                   });
  byUrgency.resize(std::min(byUrgency.size(), kMaxRecordsInHeartbeat));
  std::vector<membership::CrashDigest> told;
  std::transform(byUrgency.begin(),
                 byUrgency.end(),
                 std::back_inserter(told),
                 [now](const auto& aEntry) {
                   const AnnouncedRecord& news = *aEntry.second;
                   return DigestFor(news.m_record, now - news.m_crashedAt);
                 });
  m_peers.SetCrashes(std::move(told),
                     m_known ? std::optional(m_quarantine.Fingerprint())
                             : std::nullopt);
}

void
QuarantineShare::AddReportedRecords(
  std::span<const membership::CrashDigest> aEndings)
{
  for (const membership::CrashDigest& digest : aEndings) {
    m_onRecord(EndingFrom(digest), Duration{ digest.m_ageMs }, kFromPeer);
  }
}

void
QuarantineShare::AddRecordsFromText(const std::string& aText,
                                    std::string_view aFrom)
{
  const auto told =
    quarantine::ParseCrashRecords(aText, net::EventLoop::WallNow());
  if (!told) {
    m_node.m_log->Write(
      observe::LogLevel::Error,
      "endings-rejected",
      { { "from", std::string(aFrom) }, { "fault", told.error() } });
    return;
  }
  for (const quarantine::ReportedCrash& ending : *told) {
    m_onRecord(ending.m_record, ending.m_age, aFrom);
  }
}

void
QuarantineShare::NoteKnown(std::string_view aFrom)
{
  if (std::exchange(m_known, true)) {
    return;
  }
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "quarantine-known",
    { { "from", std::string(aFrom) },
      { "held", static_cast<std::int64_t>(m_quarantine.Held().size()) },
      { "tookMs", (m_node.Now() - m_began).count() } });
}

void
QuarantineShare::AskPeers()
{
  if (m_asking) {
    return;
  }
  const std::uint64_t own = m_quarantine.Fingerprint();
  const auto peer = m_known ? m_peers.PickPeerWithOtherQuarantine(own)
                            : m_peers.PickPeerWithQuarantine();
  const bool differed = std::exchange(m_differed, peer.has_value());
  if (peer && (!m_known || differed)) {
    AskPeer(*peer);
    return;
  }
  if (m_known || !m_listed || m_node.Now() < m_storeAgainAt) {
    return;
  }
  const auto turn =
    static_cast<Duration::rep>(std::min(m_peers.Rank(kTopic), kMostTurns));
  const Duration patience =
    m_hasOthers ? kAskPeersFor * (turn + 1) : Duration{};
  if (m_node.Now() - m_began >= patience) {
    ReadStore();
  }
}

void
QuarantineShare::AskPeer(const std::string& aAddress)
{
  m_asking = true;
  m_peerRows.AskPeer(
    aAddress, kKey, {}, [this](std::optional<relay::TableSlice> aSlice) {
      m_asking = false;
      if (!aSlice) {
        return;
      }
      for (const relay::FollowedRow& row : aSlice->m_rows) {
        AddRecordsFromText(row.m_value, "a peer's full list");
      }
      NoteKnown(kFromPeer);
    });
}

std::string
QuarantineShare::Text(std::size_t aMost) const
{
  return quarantine::FormatCrashRecords(
    m_quarantine.Snapshot(m_node.Now(), aMost), net::EventLoop::WallNow());
}

relay::TableSlice
QuarantineShare::Slice() const
{
  relay::TableSlice out;
  out.m_whole = true;
  relay::FollowedRow row;
  row.m_key = kKey;
  row.m_value = Text(kMostToPeer);
  out.m_rows.push_back(std::move(row));
  return out;
}

void
QuarantineShare::ReadStore()
{
  StoreRead read;
  read.m_table = m_node.m_dialect.m_quarantineTable;
  m_asking = true;
  m_calls.Read(read, [this](const StoreAnswer& aAnswer, StoreGeneration) {
    m_asking = false;
    const auto* page = std::get_if<StorePage>(&aAnswer);
    if (page == nullptr) {
      m_node.m_metrics.Count("quarantine_reads_failed_total");
      m_storeAgainAt = m_node.Now() + kStoreAgain;
      return;
    }
    for (const relay::FollowedRow& row : page->m_rows) {
      AddRecordsFromText(row.m_value, "the store");
    }
    m_written = m_quarantine.Fingerprint();
    NoteKnown("the store");
  });
}

void
QuarantineShare::WriteStore()
{
  const std::uint64_t held = m_quarantine.Fingerprint();
  // The instance of the first rank writes for all instances. If it dies first,
  // the next one in the ranking writes.
  if (!m_known || m_writing || held == m_written ||
      m_node.Now() < m_storeAgainAt || m_node.m_stop.HasBegun() ||
      m_peers.Rank(kTopic) != 0) {
    return;
  }
  StoreCommit commit;
  commit.m_table = m_node.m_dialect.m_quarantineTable;
  commit.m_transaction.m_puts.push_back({ kKey, Text(kMostWritten) });
  m_writing = true;
  m_calls.Commit(commit, [this, held](table::CommitResult aResult) {
    m_writing = false;
    const bool written = aResult == table::CommitResult::Committed;
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "quarantine-written",
      { { "written", written },
        { "held", static_cast<std::int64_t>(m_quarantine.Held().size()) } });
    if (written) {
      m_written = held;
    } else {
      m_storeAgainAt = m_node.Now() + kStoreAgain;
    }
  });
}

} // namespace ridgeferry::entry
