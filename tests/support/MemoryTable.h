#pragma once

#include <algorithm>
#include <map>
#include <ridgeferry/table/Table.h>
#include <string>

namespace ridgeferry::support {

/** The platform's table as a value in memory, for tests in virtual time. */
class MemoryTable
{
public:
  table::Row Read(const std::string& aKey) const
  {
    const auto it = m_rows.find(aKey);
    return it == m_rows.end() ? table::Row{ aKey, 0, {} } : it->second;
  }

  bool Commit(const table::Transaction& aTransaction)
  {
    const bool holds =
      std::all_of(aTransaction.m_conditions.begin(),
                  aTransaction.m_conditions.end(),
                  [&](const table::Condition& aItem) {
                    return Read(aItem.m_key).m_version == aItem.m_version;
                  });
    if (!holds) {
      return false;
    }
    for (const table::Put& put : aTransaction.m_puts) {
      table::Row& row = m_rows[put.m_key];
      row.m_key = put.m_key;
      ++row.m_version;
      row.m_value = put.m_value;
    }
    return true;
  }

private:
  std::map<std::string, table::Row> m_rows;
};

} // namespace ridgeferry::support
