#include "QuarantineService.h"

#include <algorithm>
#include <fmt/format.h>
#include <ridgeferry/quarantine/EndingsText.h>
#include <utility>

namespace ridgeferry::entry {

namespace {

constexpr const char* kTopic = "quarantine";
/** The only row of its table, and its name where peers ask each other. */
constexpr const char* kKey = "endings";
constexpr std::string_view kFromPeer = "a peer";
constexpr Duration kTick{ 100 };
/** A gap between two ticks above which this process stood still: connections
 * that broke meanwhile tell nothing of their upstreams. */
constexpr Duration kStoodStill{ 1000 };
/** A run that tries a doubted call has shown what it is by then. */
constexpr Duration kTryEvery{ 10'000 };
/** An upstream's machine answers within milliseconds. */
constexpr Duration kProbeTimeout{ 300 };
/** A broken send is probed again in this time if the first probe met nothing.
 */
constexpr Duration kProbeAgain{ 500 };
/** An instance that starts waits so long for a peer that knows, before it reads
 * the store; each further one in the order of the topic so much longer. */
constexpr Duration kAskPeersFor{ 300 };
constexpr std::size_t kMostTurns = 5;
/** Longest time in which it takes no calls for want of that knowledge. */
constexpr Duration kLongestAsk{ 2000 };
constexpr Duration kStoreTimeout{ 1000 };
constexpr Duration kStoreAgain{ 500 };
/** Most news of one talk, 30 bytes each: those of a few upstreams. */
constexpr std::size_t kMostNews = 20;
/** Most endings that are written, 110 bytes each: the row stays below the
 * store's bound. */
constexpr std::size_t kMostWritten = 400;
/** The same for a peer that asks. */
constexpr std::size_t kMostToPeer = 1000;

membership::EndingDigest
DigestFor(const quarantine::Ending& aEnding)
{
  return { aEnding.m_call.m_high,
           aEnding.m_call.m_low,
           aEnding.m_life,
           aEnding.m_cleared };
}

quarantine::Ending
EndingFrom(const membership::EndingDigest& aDigest)
{
  return { { aDigest.m_callHigh, aDigest.m_callLow },
           aDigest.m_life,
           aDigest.m_cleared };
}

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

} // namespace

QuarantineService::QuarantineService(EntryNode& aNode,
                                     StoreGenerations& aGenerations,
                                     Peers& aPeers,
                                     PeerRows& aPeerRows)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_peers(aPeers)
  , m_peerRows(aPeerRows)
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
  m_peers.SignalEndings().connect(
    [this](std::span<const membership::EndingDigest> aEndings) {
      TakeTold(aEndings);
    });
  m_peers.SignalListed().connect([this](bool aAny) {
    m_listed = true;
    m_hasOthers = aAny;
  });
  m_generations.SignalRisen().connect(
    [this](StoreGeneration) { m_written = 0; });
  m_peerRows.Serve(kKey, [this](StorePosition) { return Slice(); });
  m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
}

bool
QuarantineService::HasAsked() const
{
  return !m_node.m_settings.m_quarantines || m_known ||
         m_node.Now() - m_began >= kLongestAsk;
}

bool
QuarantineService::KnowsAny() const
{
  return !m_quarantine.IsEmpty() || !m_broken.IsEmpty();
}

std::optional<Duration>
QuarantineService::HeldFor(const quarantine::CallDigest& aCall) const
{
  if (m_quarantine.IsHeld(aCall)) {
    return m_quarantine.HeldFor(aCall, m_node.Now());
  }
  // Ends that are not sure yet count until they are: the next run could be one
  // more.
  const std::size_t ends =
    m_quarantine.Ends(aCall) + m_broken.Unresolved(aCall);
  if (ends >= quarantine::Quarantine::kEndsToHold) {
    return quarantine::BrokenRuns::kUnresolvedFor;
  }
  return std::nullopt;
}

bool
QuarantineService::MayTry(const quarantine::CallDigest& aCall)
{
  const Instant now = m_node.Now();
  if (!m_quarantine.IsDoubted(aCall, now) ||
      m_peers.Rank(quarantine::FormatDigest(aCall)) != 0) {
    return false;
  }
  const auto [tried, isFirst] = m_triedAt.try_emplace(aCall, now);
  const bool may = isFirst || now - tried->second >= kTryEvery;
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
         quarantine::Quarantine::kEndsToCare;
}

void
QuarantineService::NoteBroken(const Send& aSend)
{
  const relay::Member* member = m_node.m_fleet.Find(aSend.m_upstream);
  if (!m_node.m_settings.m_quarantines || member == nullptr ||
      member->m_leaving) {
    return;
  }
  m_broken.NoteBroken(aSend.m_call, member->Life(), m_node.Now());
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "send-broke",
    { { "id", aSend.m_requestId },
      { "call", quarantine::FormatDigest(aSend.m_call) },
      { "upstream", aSend.m_upstream },
      { "ends", static_cast<std::int64_t>(m_quarantine.Ends(aSend.m_call)) },
      { "unresolved",
        static_cast<std::int64_t>(m_broken.Unresolved(aSend.m_call)) } });
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
  probe.m_upstream = aMember.Life();
  probe.m_began = m_node.Now();
  probe.m_probe = std::make_unique<net::ConnectProbe>(
    *m_node.m_loop,
    *address,
    kProbeTimeout,
    [this, upstream = aMember.m_id](net::Reach aReach) {
      // Later: the probe is still on the stack.
      m_node.m_loop->Defer(
        [this, upstream, aReach] { TakeReach(upstream, aReach); });
    });
}

void
QuarantineService::TakeReach(const std::string& aUpstream, net::Reach aReach)
{
  const auto found = m_probes.find(aUpstream);
  if (found == m_probes.end()) {
    return;
  }
  const UpstreamLife upstream = found->second.m_upstream;
  const Instant began = found->second.m_began;
  if (aReach == net::Reach::Unknown) {
    found->second.m_probe.reset(); // `Tick` probes it again.
    return;
  }
  m_probes.erase(found);
  if (aReach == net::Reach::Refused) {
    NoteEnded(upstream, "nobody listens");
  } else {
    m_broken.NoteAlive(aUpstream, began);
  }
}

void
QuarantineService::NoteRefused(const std::string& aUpstream)
{
  const relay::Member* member = m_node.m_fleet.Find(aUpstream);
  if (member != nullptr && !m_broken.IsEmpty()) {
    NoteEnded(member->Life(), "nobody listens");
  }
}

void
QuarantineService::NoteAnswered(const std::string& aUpstream, Instant aSince)
{
  m_broken.NoteAlive(aUpstream, aSince);
}

void
QuarantineService::NoteGone(const UpstreamLife& aUpstream)
{
  NoteEnded(aUpstream, "not listed");
}

void
QuarantineService::NoteLaterLife(const std::string& aUpstream)
{
  for (const UpstreamLife& life : m_broken.LivesOf(aUpstream)) {
    NoteEnded(life, "a later life");
  }
}

void
QuarantineService::NoteEnded(const UpstreamLife& aUpstream,
                             std::string_view aFrom)
{
  const std::uint64_t life = quarantine::LifeHash(aUpstream);
  std::vector<quarantine::Ending> endings;
  for (const auto& [call, brokeAt] : m_broken.NoteEnded(aUpstream)) {
    endings.push_back({ call, life });
    Take(endings.back(), m_node.Now() - brokeAt, aFrom);
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
  Tell(std::move(endings));
}

void
QuarantineService::NoteServed(const Send& aSend)
{
  m_broken.NoteServed(aSend.m_call);
  std::vector<quarantine::Ending> cleared =
    m_quarantine.NoteServed(aSend.m_call, m_node.Now());
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
  Tell(std::move(cleared));
}

void
QuarantineService::Take(const quarantine::Ending& aEnding,
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
  if (change == quarantine::Change::Suspected && aFrom == kFromPeer &&
      m_quarantine.Ends(aEnding.m_call) < quarantine::Quarantine::kEndsToCare) {
    return; // Logged by who saw it: all that an upstream ran is told.
  }
  m_node.m_log->Write(
    held ? observe::LogLevel::Warning : observe::LogLevel::Info,
    NameOf(change),
    { { "call", quarantine::FormatDigest(aEnding.m_call) },
      { "life", fmt::format("{:016x}", aEnding.m_life) },
      { "ends", static_cast<std::int64_t>(m_quarantine.Ends(aEnding.m_call)) },
      { "ageMs", aAge.count() },
      { "from", std::string(aFrom) } });
}

void
QuarantineService::Tell(std::vector<quarantine::Ending> aEndings)
{
  // Those that tell most come first: a talk has room for some of them.
  std::stable_sort(aEndings.begin(),
                   aEndings.end(),
                   [this](const auto& aLeft, const auto& aRight) {
                     return m_quarantine.Ends(aLeft.m_call) >
                            m_quarantine.Ends(aRight.m_call);
                   });
  for (const quarantine::Ending& ending : aEndings) {
    m_news.push_back({ m_node.Now(), ending });
  }
  TellNews();
  m_peers.TellAll();
}

void
QuarantineService::TellNews()
{
  const Instant since = m_node.Now() - m_peers.NewsFor();
  while (!m_news.empty() && m_news.front().m_at < since) {
    m_news.pop_front();
  }
  std::vector<membership::EndingDigest> told;
  for (const News& news : m_news) {
    if (told.size() == kMostNews) {
      break;
    }
    told.push_back(DigestFor(news.m_ending));
  }
  m_peers.SetEndings(std::move(told),
                     m_known ? std::optional(m_quarantine.Fingerprint())
                             : std::nullopt);
}

void
QuarantineService::TakeTold(std::span<const membership::EndingDigest> aEndings)
{
  for (const membership::EndingDigest& digest : aEndings) {
    Take(EndingFrom(digest), {}, kFromPeer);
  }
}

void
QuarantineService::TakeText(const std::string& aText, std::string_view aFrom)
{
  const auto told = quarantine::ParseEndings(aText, net::EventLoop::WallNow());
  if (!told) {
    m_node.m_log->Write(
      observe::LogLevel::Error,
      "endings-rejected",
      { { "from", std::string(aFrom) }, { "fault", told.error() } });
    return;
  }
  for (const quarantine::ToldEnding& ending : *told) {
    Take(ending.m_ending, ending.m_age, aFrom);
  }
}

void
QuarantineService::NoteKnown(std::string_view aFrom)
{
  if (std::exchange(m_known, true)) {
    return;
  }
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "quarantine-known",
    { { "from", std::string(aFrom) },
      { "held", static_cast<std::int64_t>(m_quarantine.Held()) },
      { "tookMs", (m_node.Now() - m_began).count() } });
}

void
QuarantineService::Tick()
{
  const Instant now = m_node.Now();
  if (now - std::exchange(m_lastTick, now) >= kStoodStill) {
    m_broken.ForgetAll();
  }
  m_broken.Tick(now);
  std::erase_if(m_triedAt, [this](const auto& aEntry) {
    return !m_quarantine.IsHeld(aEntry.first);
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
  TellNews();
  AskPeers();
  WriteStore();
}

void
QuarantineService::AskPeers()
{
  if (m_asking) {
    return;
  }
  const std::uint64_t own = m_quarantine.Fingerprint();
  const auto peer =
    m_known ? m_peers.PickHoldingOther(own) : m_peers.PickHoldingAny();
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
QuarantineService::AskPeer(const std::string& aAddress)
{
  m_asking = true;
  m_peerRows.AskPeer(
    aAddress, kKey, {}, [this](std::optional<relay::TableSlice> aSlice) {
      m_asking = false;
      if (!aSlice) {
        return;
      }
      for (const relay::FollowedRow& row : aSlice->m_rows) {
        TakeText(row.m_value, "a peer's whole");
      }
      NoteKnown(kFromPeer);
    });
}

std::string
QuarantineService::Text(std::size_t aMost) const
{
  return quarantine::FormatEndings(m_quarantine.Snapshot(m_node.Now(), aMost),
                                   net::EventLoop::WallNow());
}

relay::TableSlice
QuarantineService::Slice() const
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
QuarantineService::ReadStore()
{
  StoreRead read;
  read.m_table = m_node.m_dialect.m_quarantineTable;
  net::HttpRequest request = m_node.m_dialect.m_writeStoreRead(read);
  request.m_address = m_node.m_settings.m_store;
  request.m_timeout = kStoreTimeout;
  net::HttpCallbacks callbacks;
  m_asking = true;
  callbacks.m_done = [this](const net::HttpResponse& aResponse) {
    m_asking = false;
    m_generations.Note(m_generations.Of(aResponse), "the quarantine");
    const bool whole = aResponse.m_end == net::HttpEnd::Complete;
    const StoreAnswer answer =
      whole ? m_node.m_dialect.m_readStoreAnswer(aResponse)
            : StoreAnswer(relay::ReadFailed{ "no whole answer" });
    const auto* page = std::get_if<StorePage>(&answer);
    if (page == nullptr) {
      m_node.m_metrics.Count("quarantine_reads_failed_total");
      m_storeAgainAt = m_node.Now() + kStoreAgain;
      return;
    }
    for (const relay::FollowedRow& row : page->m_rows) {
      TakeText(row.m_value, "the store");
    }
    m_written = m_quarantine.Fingerprint();
    NoteKnown("the store");
  };
  m_node.m_http->Send(request, std::move(callbacks));
}

void
QuarantineService::WriteStore()
{
  const std::uint64_t held = m_quarantine.Fingerprint();
  // One instance writes for all; where it ends first, the next in order does.
  if (!m_known || m_writing || held == m_written ||
      m_node.Now() < m_storeAgainAt || m_node.m_stop.HasBegun() ||
      m_peers.Rank(kTopic) != 0) {
    return;
  }
  StoreCommit commit;
  commit.m_table = m_node.m_dialect.m_quarantineTable;
  commit.m_transaction.m_puts.push_back({ kKey, Text(kMostWritten) });
  net::HttpRequest request = m_node.m_dialect.m_writeStoreCommit(commit);
  request.m_address = m_node.m_settings.m_store;
  request.m_timeout = kStoreTimeout;
  net::HttpCallbacks callbacks;
  m_writing = true;
  callbacks.m_done = [this, held](const net::HttpResponse& aResponse) {
    m_writing = false;
    m_generations.Note(m_generations.Of(aResponse), "the quarantine");
    const bool written = m_node.m_dialect.m_readStoreCommit(aResponse) ==
                         table::CommitResult::Committed;
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "quarantine-written",
      { { "written", written },
        { "held", static_cast<std::int64_t>(m_quarantine.Held()) } });
    if (written) {
      m_written = held;
    } else {
      m_storeAgainAt = m_node.Now() + kStoreAgain;
    }
  };
  m_node.m_http->Send(request, std::move(callbacks));
}

} // namespace ridgeferry::entry
