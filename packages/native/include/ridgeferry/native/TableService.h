#pragma once

#include <cstddef>
#include <ridgeferry/table/Table.h>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::native {

/**
 * The platform's transactional table. Every call is answered exactly once,
 * within the adapter's time limit, perhaps before the call returns.
 * Not thread-safe.
 */
class TableService
{
public:
  virtual ~TableService() = default;

  virtual void Read(const std::string& aKey,
                    sigc::slot<void(table::ReadResult)> aDone) = 0;
  /** Rows with the prefix and a key after `aAfter`, at most `aLimit`. */
  virtual void Scan(const std::string& aPrefix,
                    const std::string& aAfter,
                    std::size_t aLimit,
                    sigc::slot<void(table::ScanResult)> aDone) = 0;
  virtual void Commit(const table::Transaction& aTransaction,
                      sigc::slot<void(table::CommitResult)> aDone) = 0;
};

} // namespace ridgeferry::native
