#include "InstanceRows.h"

namespace ridgeferry::entry {

namespace {

/** Delay before a failed write or read is retried. */
constexpr Duration kRetry{ 500 };
/** Delay after a new generation of the store is seen before the rows are
 * written again, as an older copy of the store may lack some. By then all
 * instances know of the generation. Instances that start meanwhile find the
 * others by the seeds, or half a second later. */
constexpr Duration kRewriteAfter{ 500 };
/** Most rows that the store accepts in one transaction. */
constexpr std::size_t kMostRowsAtOnce = 100;

} // namespace

InstanceRows::InstanceRows(EntryNode& aNode,
                           StoreGenerations& aGenerations,
                           const membership::Roster& aRoster)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_roster(aRoster)
  , m_calls(aNode, aGenerations, "a call for the rows of instances")
{
}

void
InstanceRows::Start()
{
  m_generations.SignalNewGeneration().connect([this](StoreGeneration) {
    m_rewrite = m_node.m_loop->After(kRewriteAfter, [this] { WriteAllRows(); });
  });
  WriteOwnRow();
}

void
InstanceRows::RetryLater(sigc::slot<void()> aWhat)
{
  m_retry = m_node.m_loop->After(kRetry, std::move(aWhat));
}

void
InstanceRows::WriteOwnRow()
{
  StoreCommit commit;
  commit.m_table = m_node.m_dialect.m_instanceTable;
  commit.m_transaction.m_puts.push_back(
    { m_node.m_settings.m_instance, m_node.m_settings.m_peers.ToString() });
  m_calls.Commit(commit, [this](table::CommitResult aResult) {
    if (aResult == table::CommitResult::Committed) {
      ReadRows();
      return;
    }
    // The row may have been written even so; writing it again is harmless.
    RetryLater([this] { WriteOwnRow(); });
  });
}

void
InstanceRows::WriteAllRows()
{
  if (m_roster.Rank(m_node.m_dialect.m_instanceTable) != 0) {
    // Only the first instance by rank among those that receive each other's
    // heartbeats writes the rows.
    return;
  }
  StoreCommit commit;
  commit.m_table = m_node.m_dialect.m_instanceTable;
  std::vector<table::Put>& puts = commit.m_transaction.m_puts;
  puts.push_back(
    { m_node.m_settings.m_instance, m_node.m_settings.m_peers.ToString() });
  for (const auto& [name, peer] : m_roster.Peers()) {
    if (!peer.m_alive || peer.m_last.m_leaving) {
      continue;
    }
    puts.push_back({ name, peer.m_last.m_peerAddress });
    if (puts.size() == kMostRowsAtOnce) {
      WriteRows(commit);
      puts.clear();
    }
  }
  if (!puts.empty()) {
    WriteRows(commit);
  }
}

void
InstanceRows::WriteRows(const StoreCommit& aCommit)
{
  const std::size_t count = aCommit.m_transaction.m_puts.size();
  m_calls.Commit(aCommit, [this, count](table::CommitResult aResult) {
    const bool written = aResult == table::CommitResult::Committed;
    m_node.m_log->Write(observe::LogLevel::Info,
                        "peers-written-again",
                        { { "count", static_cast<std::int64_t>(count) },
                          { "written", written } });
    if (!written) {
      // Retries all rows: failures are rare and writing a row twice is
      // harmless.
      m_rewrite = m_node.m_loop->After(kRetry, [this] { WriteAllRows(); });
    }
  });
}

void
InstanceRows::ReadRows()
{
  StoreRead read;
  read.m_table = m_node.m_dialect.m_instanceTable;
  m_calls.Read(read, [this](const StoreAnswer& aAnswer, StoreGeneration) {
    if (const auto* page = std::get_if<StorePage>(&aAnswer)) {
      TakeRows(*page);
    } else {
      RetryLater([this] { ReadRows(); });
    }
  });
}

void
InstanceRows::TakeRows(const StorePage& aPage)
{
  membership::InstancesListed listed;
  m_otherAddresses.clear();
  m_hasRead = true;
  for (const relay::FollowedRow& row : aPage.m_rows) {
    if (row.m_key != m_node.m_settings.m_instance) {
      listed.m_instances.push_back({ row.m_key, row.m_value });
      m_otherAddresses.push_back(row.m_value);
    }
  }
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "peers-listed",
    { { "count", static_cast<std::int64_t>(listed.m_instances.size()) } });
  m_read.emit(listed);
}

} // namespace ridgeferry::entry
