#include "ridgeferry/native/GuardedTable.h"

namespace ridgeferry::native {

GuardedTable::GuardedTable(std::unique_ptr<TableService> aTable,
                           std::function<Instant()> aNow)
  : m_table(std::move(aTable))
  , m_now(std::move(aNow))
{
}

void
GuardedTable::Read(const std::string& aKey,
                   sigc::slot<void(table::ReadResult)> aDone)
{
  if (!m_health.Allow(m_now())) {
    aDone({});
    return;
  }
  m_table->Read(aKey, [this, aDone](const table::ReadResult& aResult) {
    m_health.Note(aResult.m_status == table::ReadStatus::Ok);
    aDone(aResult);
  });
}

void
GuardedTable::Scan(const std::string& aPrefix,
                   const std::string& aAfter,
                   std::size_t aLimit,
                   sigc::slot<void(table::ScanResult)> aDone)
{
  if (!m_health.Allow(m_now())) {
    aDone({});
    return;
  }
  m_table->Scan(
    aPrefix, aAfter, aLimit, [this, aDone](const table::ScanResult& aResult) {
      m_health.Note(aResult.m_status == table::ReadStatus::Ok);
      aDone(aResult);
    });
}

void
GuardedTable::Commit(const table::Transaction& aTransaction,
                     sigc::slot<void(table::CommitResult)> aDone)
{
  if (!m_health.Allow(m_now())) {
    aDone(table::CommitResult::NotWritten);
    return;
  }
  m_table->Commit(aTransaction, [this, aDone](table::CommitResult aResult) {
    m_health.Note(aResult == table::CommitResult::Committed ||
                  aResult == table::CommitResult::Conflict);
    aDone(aResult);
  });
}

} // namespace ridgeferry::native
