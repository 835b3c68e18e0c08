#include "StreamOriginStore.h"

#include <ridgeferry/streams/OriginsText.h>
#include <utility>

namespace ridgeferry::entry {

namespace {

constexpr Duration kTick{ 50 };
/** For each page: the callers of streams wait for it. */
constexpr Duration kReadTimeout{ 300 };
/** Least time between two reads, and from a failed one to the next. */
constexpr Duration kReadEvery{ 1000 };

} // namespace

StreamOriginStore::StreamOriginStore(EntryNode& aNode,
                                     StoreGenerations& aGenerations,
                                     const streams::VersionHistory& aHistory,
                                     RecordHandler aOnRecord)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_calls(aNode, aGenerations, "the origins of streams")
  , m_history(aHistory)
  , m_onRecord(std::move(aOnRecord))
{
}

void
StreamOriginStore::Start()
{
  m_generations.SignalNewGeneration().connect(
    [this](StoreGeneration) { m_log.NoteNewGeneration(); });
  Read([](bool) {});
  m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
}

void
StreamOriginStore::NoteBegan(const streams::OriginRecord& aRecord)
{
  m_log.NoteBegan(aRecord, m_node.Now());
}

void
StreamOriginStore::Tick()
{
  if (!m_hasRead) {
    Read([](bool) {});
    return;
  }
  const Instant now = m_node.Now();
  const streams::OriginLog::Terms terms{ m_node.m_instances,
                                         m_history.HasSeveral(m_memory, now) };
  if (const auto records = m_log.Due(now, terms)) {
    Write(*records);
  }
}

void
StreamOriginStore::Write(const std::vector<streams::OriginRecord>& aRecords)
{
  StoreCommit commit;
  commit.m_table = m_node.m_dialect.m_streamOriginTable;
  commit.m_transaction.m_puts.push_back(
    { m_node.m_settings.m_instance,
      streams::FormatOrigins(aRecords, net::EventLoop::WallNow()) });
  m_calls.Commit(commit, [this](table::CommitResult aResult) {
    const bool isDone = aResult == table::CommitResult::Committed;
    m_node.m_metrics.Count(isDone ? "stream_origin_writes_total"
                                  : "stream_origin_writes_failed_total");
    if (!isDone) {
      m_node.m_log->Write(
        observe::LogLevel::Warning,
        "stream-origins-not-written",
        { { "streams", static_cast<std::int64_t>(m_log.Size()) } });
    }
    m_log.NoteWritten(isDone, m_node.Now());
  });
}

void
StreamOriginStore::Read(const ReadDone& aDone)
{
  const Instant now = m_node.Now();
  if (!m_isReading && m_readAt && now - *m_readAt < kReadEvery) {
    aDone(m_isLastReadDone);
    return;
  }
  m_waiting.push_back(aDone);
  if (!std::exchange(m_isReading, true)) {
    m_readAt = now;
    m_recordsRead = 0;
    m_ownRecords.clear();
    ReadPage({});
  }
}

void
StreamOriginStore::ReadPage(std::string aFromKey)
{
  StoreRead read;
  read.m_table = m_node.m_dialect.m_streamOriginTable;
  read.m_fromKey = std::move(aFromKey);
  m_node.m_metrics.Count("stream_origin_reads_total");
  m_calls.Read(
    read,
    [this](const StoreAnswer& aAnswer, StoreGeneration) { TakePage(aAnswer); },
    kReadTimeout);
}

void
StreamOriginStore::TakePage(const StoreAnswer& aAnswer)
{
  const auto* page = std::get_if<StorePage>(&aAnswer);
  if (page == nullptr) {
    EndRead(false);
    return;
  }
  for (const relay::FollowedRow& row : page->m_rows) {
    TakeRow(row);
  }
  if (page->m_hasMore && !page->m_rows.empty()) {
    // The next page starts at the smallest key above the last one read.
    ReadPage(page->m_rows.back().m_key + '\0');
    return;
  }
  EndRead(true);
}

void
StreamOriginStore::TakeRow(const relay::FollowedRow& aRow)
{
  const auto records =
    streams::ParseOrigins(aRow.m_value, net::EventLoop::WallNow(), m_memory);
  if (!records) {
    m_node.m_log->Write(
      observe::LogLevel::Error,
      "stream-origins-rejected",
      { { "row", aRow.m_key }, { "fault", records.error() } });
    return;
  }
  m_recordsRead += records->size();
  for (const streams::OriginRecord& record : *records) {
    m_onRecord(record);
  }
  if (aRow.m_key == m_node.m_settings.m_instance) {
    m_ownRecords = *records;
  }
}

void
StreamOriginStore::EndRead(bool aIsRead)
{
  m_isReading = false;
  m_isLastReadDone = aIsRead;
  if (aIsRead && !std::exchange(m_hasRead, true)) {
    for (const streams::OriginRecord& record : m_ownRecords) {
      m_log.NoteEarlier(record, m_node.Now());
    }
  }
  m_node.m_log->Write(
    aIsRead ? observe::LogLevel::Info : observe::LogLevel::Warning,
    aIsRead ? "stream-origins-read" : "stream-origins-not-read",
    { { "streams", static_cast<std::int64_t>(m_recordsRead) },
      { "tookMs", (m_node.Now() - *m_readAt).count() } });
  for (const ReadDone& done : std::exchange(m_waiting, {})) {
    done(aIsRead);
  }
}

} // namespace ridgeferry::entry
