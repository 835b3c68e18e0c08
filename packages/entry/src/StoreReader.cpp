#include "StoreReader.h"

#include <algorithm>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::entry {

namespace {

/** How long an interrupted read of a whole table may be continued. It is
 * shorter than the history that stores keep, 20 s, so that the changes since
 * the first page can still be read. */
constexpr Duration kLongestPaging{ 10'000 };

} // namespace

StoreReader::StoreReader(EntryNode& aNode,
                         StoreGenerations& aGenerations,
                         PeerRows& aPeers,
                         PeerRows::Table aKind,
                         std::string aTable,
                         relay::KeepsKnown aKeeps)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_peers(aPeers)
  , m_kind(aKind)
  , m_table(std::move(aTable))
  , m_follower(std::move(aKeeps))
{
  m_peers.Serve(
    m_kind, [this](StorePosition aAfter) { return m_follower.Since(aAfter); });
  m_generations.SignalNewGeneration().connect(
    [this](StoreGeneration aGeneration) {
      Handle(relay::GenerationSeen{ aGeneration });
    });
}

void
StoreReader::Start()
{
  Handle(relay::FollowStarted{});
}

void
StoreReader::Handle(const relay::FollowEvent& aEvent)
{
  m_lagBefore = KnownLag();
  for (const relay::FollowAction& action :
       m_follower.Handle(aEvent, m_node.Now())) {
    std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
  }
}

std::optional<Duration>
StoreReader::KnownLag() const
{
  return m_lag.At(m_follower.Position(), m_node.Now());
}

Duration
StoreReader::Draw(Duration aMost)
{
  std::uniform_int_distribution<Duration::rep> upTo(0, aMost.count());
  return Duration{ upTo(m_node.m_random) };
}

void
StoreReader::Do(const relay::ReadTable& aAction)
{
  m_pageTimeout = aAction.m_readTimeout;
  const Instant now = m_node.Now();
  if (!m_pages.empty() && now - m_pagesSince < kLongestPaging) {
    ReadNextPage();
    return;
  }
  m_pages.clear();
  m_pagesSince = now;
  ReadPage({});
}

void
StoreReader::ReadNextPage()
{
  // The next page starts at the smallest key above the last one read.
  ReadPage(m_pages.back().m_key + '\0');
}

void
StoreReader::ReadPage(std::string aFromKey)
{
  StoreRead read;
  read.m_table = m_table;
  read.m_fromKey = std::move(aFromKey);
  Send(read, m_pageTimeout);
}

void
StoreReader::Do(const relay::ReadChanges& aAction)
{
  StoreRead read;
  read.m_table = m_table;
  read.m_after = aAction.m_after;
  read.m_wait = aAction.m_wait;
  Send(read, aAction.m_readTimeout);
}

void
StoreReader::Send(const StoreRead& aRead, Duration aTimeout)
{
  m_node.m_metrics.Count("store_reads_total");
  net::HttpRequest request = m_node.m_dialect.m_writeStoreRead(aRead);
  request.m_address = m_node.m_settings.m_store;
  request.m_timeout = aTimeout;
  request.m_maxBody = net::kMaxStoreBody;
  request.m_connectTimeout = relay::TableFollower::kResponseMargin;
  request.m_fresh = m_needsFreshConnection;
  net::HttpCallbacks callbacks;
  callbacks.m_done =
    [this, aRead, asked = m_node.Now()](const net::HttpResponse& aResponse) {
      TakeAnswer(aRead, asked, aResponse);
    };
  m_call = m_node.m_http->Send(request, std::move(callbacks));
}

void
StoreReader::NotePeer(StorePosition aPosition,
                      const membership::StoreView& aView)
{
  if (aView.m_lost) {
    Handle(relay::PeerLostStore{});
  }
  // A peer that reads an earlier generation steadily (see
  // `StoreView::m_steady`) says nothing about the present one.
  const bool isCurrent =
    aView.m_members.m_generation >= m_follower.Generation();
  if (aView.m_steady && isCurrent) {
    Handle(relay::PeerReadsSteadily{});
  }
  NoteAhead(aPosition);
}

void
StoreReader::NoteAhead(StorePosition aPosition)
{
  m_lag.NoteTold(aPosition, m_follower.Position(), m_node.Now());
  Handle(relay::PeerIsAhead{ aPosition });
}

void
StoreReader::SetPolling(bool aOnDuty, bool aByPlace)
{
  Handle(relay::PollingChanged{ aOnDuty, aByPlace });
}

void
StoreReader::NotePeersListed(bool aAny)
{
  Handle(relay::PeersListed{ aAny });
}

void
StoreReader::Do(const relay::AskPeer& aAction)
{
  m_ask = m_node.m_loop->After(
    Draw(aAction.m_jitter), [this, after = aAction.m_after] {
      m_peers.Ask(
        m_kind, after, [this](std::optional<relay::TableSlice> aSlice) {
          if (aSlice) {
            Handle(relay::PeerAnswered{ std::move(*aSlice) });
          } else {
            Handle(relay::PeerFailed{});
          }
        });
    });
}

void
StoreReader::Do(const relay::CancelRead&)
{
  m_node.m_http->Cancel(m_call);
  m_needsFreshConnection = true;
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "store-read-made-again",
    { { "table", m_table },
      { "version",
        static_cast<std::int64_t>(m_follower.Position().m_version) } });
}

void
StoreReader::TakeAnswer(const StoreRead& aRead,
                        Instant aAsked,
                        const net::HttpResponse& aResponse)
{
  m_needsFreshConnection = !net::HasAnswer(aResponse);
  if (m_needsFreshConnection) {
    const bool unsent = aResponse.m_end == net::HttpEnd::NotSent;
    Handle(
      relay::ReadFailed{ unsent ? "no connection" : "no complete answer" });
    return;
  }
  const StoreGeneration generation = m_generations.Of(aResponse);
  StoreAnswer answer = m_node.m_dialect.m_readStoreAnswer(aResponse);
  std::visit(Overloaded{
               [&](StorePage& aPage) {
                 TakePage(aRead, aAsked, std::move(aPage), generation);
               },
               [&](const StoreHistoryLost&) {
                 Handle(relay::HistoryLost{ generation });
               },
               [&](const relay::ReadFailed& aFailed) { Handle(aFailed); },
             },
             answer);
  m_generations.Note(generation, "a read of " + m_table);
}

void
StoreReader::TakePage(const StoreRead& aRead,
                      Instant aAsked,
                      StorePage aPage,
                      StoreGeneration aGeneration)
{
  const StorePosition position{ aGeneration, aPage.m_version };
  const Evidence evidence{ position, aPage.m_clock, aAsked };
  if (aRead.m_after) {
    Handle(relay::ChangesRead{ std::move(aPage.m_rows), position });
    NoteProof(evidence);
    return;
  }
  if (aRead.m_fromKey.empty()) {
    // The position of the first page counts: later pages may be newer, and the
    // changes since the first page are read again.
    m_firstPage = evidence;
  } else if (aGeneration != m_firstPage.m_position.m_generation) {
    // The earlier pages belong to another generation, so the read starts again
    // at the first page.
    m_pages.clear();
    ReadPage({});
    return;
  }
  for (relay::FollowedRow& row : aPage.m_rows) {
    m_pages.push_back(std::move(row));
  }
  if (aPage.m_hasMore && !m_pages.empty()) {
    ReadNextPage();
    return;
  }
  Handle(relay::TableRead{ std::move(m_pages), m_firstPage.m_position });
  m_pages.clear();
  NoteProof(m_firstPage);
}

void
StoreReader::NoteProof(const Evidence& aEvidence)
{
  const StorePosition held = m_follower.Position();
  if (aEvidence.m_clock && held >= aEvidence.m_position &&
      held.m_generation == aEvidence.m_position.m_generation) {
    m_proved.emit({ held.m_generation, *aEvidence.m_clock }, aEvidence.m_asked);
  }
}

void
StoreReader::Do(const relay::RetryLater& aAction)
{
  const Duration delay = aAction.m_delay + Draw(aAction.m_jitter);
  m_retry = m_node.m_loop->After(delay, [this] { Handle(relay::RetryDue{}); });
}

void
StoreReader::Do(const relay::ApplyRows& aAction)
{
  if (aAction.m_positionBeforeCopy) {
    LogCopyRead(aAction);
  }
  m_rows.emit(aAction);
}

void
StoreReader::LogCopyRead(const relay::ApplyRows& aRows)
{
  const StorePosition before = *aRows.m_positionBeforeCopy;
  const StorePosition now = m_follower.Position();
  const auto missing = std::count_if(
    aRows.m_rows.begin(),
    aRows.m_rows.end(),
    [](const relay::FollowedRow& aRow) { return aRow.m_removed; });
  const auto others = static_cast<std::int64_t>(aRows.m_rows.size()) - missing;
  m_node.m_metrics.Count("store_copies_read_total");
  m_node.m_log->Write(
    observe::LogLevel::Warning,
    "store-copy-read",
    { { "table", m_table },
      { "generation", static_cast<std::int64_t>(now.m_generation) },
      { "version", static_cast<std::int64_t>(now.m_version) },
      { "generationBefore", static_cast<std::int64_t>(before.m_generation) },
      { "versionBefore", static_cast<std::int64_t>(before.m_version) },
      { "rowsThatDiffer", others },
      { "rowsMissing", static_cast<std::int64_t>(missing) } });
}

void
StoreReader::Do(const relay::AnswerIsOld& aAction)
{
  m_node.m_metrics.Count("store_old_answers_total");
  m_node.m_log->Write(
    observe::LogLevel::Warning,
    "store-answer-old",
    { { "table", m_table },
      { "generation",
        static_cast<std::int64_t>(aAction.m_position.m_generation) },
      { "version", static_cast<std::int64_t>(aAction.m_position.m_version) },
      { "held", static_cast<std::int64_t>(m_follower.Position().m_version) },
      { "heldGeneration",
        static_cast<std::int64_t>(m_follower.Generation()) } });
}

void
StoreReader::Do(const relay::StoreLost& aAction)
{
  m_node.m_metrics.Count("store_losses_total");
  m_node.m_log->Write(
    observe::LogLevel::Warning,
    "store-lost",
    { { "table", m_table },
      { "cause", aAction.m_cause },
      { "version",
        static_cast<std::int64_t>(m_follower.Position().m_version) } });
}

void
StoreReader::Do(const relay::StoreBack& aAction)
{
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "store-back",
    { { "table", m_table },
      { "awayMs", aAction.m_away.count() },
      { "version",
        static_cast<std::int64_t>(m_follower.Position().m_version) } });
}

} // namespace ridgeferry::entry
