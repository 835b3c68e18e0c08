#pragma once

#include <functional>
#include <memory>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/native/TableService.h>
#include <ridgeferry/table/Health.h>

namespace ridgeferry::native {

/**
 * Puts `table::Health` before a table: calls that it does not let through are
 * answered at once (reads as unavailable, writes as not written).
 * Not thread-safe.
 */
class GuardedTable final : public TableService
{
public:
  GuardedTable(std::unique_ptr<TableService> aTable,
               std::function<Instant()> aNow);

  void Read(const std::string& aKey,
            sigc::slot<void(table::ReadResult)> aDone) override;
  void Scan(const std::string& aPrefix,
            const std::string& aAfter,
            std::size_t aLimit,
            sigc::slot<void(table::ScanResult)> aDone) override;
  void Commit(const table::Transaction& aTransaction,
              sigc::slot<void(table::CommitResult)> aDone) override;

  bool IsDown() const { return m_health.IsDown(); }

private:
  std::unique_ptr<TableService> m_table;
  std::function<Instant()> m_now;
  table::Health m_health;
};

} // namespace ridgeferry::native
