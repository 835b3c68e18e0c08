#include "ridgeferry/relay/FollowedTable.h"

#include <algorithm>
#include <set>

namespace ridgeferry::relay {

void
FollowedTable::Take(const FollowedRow& aRow, std::uint64_t aVersion)
{
  // The answer's own version is no lower than that of any row in it.
  const std::uint64_t version = aRow.m_version == 0 ? aVersion : aRow.m_version;
  m_changed = std::max(m_changed, version);
  if (!aRow.m_removed) {
    m_rows[aRow.m_key] = { aRow.m_value, version };
    return;
  }
  m_rows.erase(aRow.m_key);
  m_removals.push_back({ aRow.m_key, version });
  if (m_removals.size() > kMostRemovals) {
    m_knowsAfter = std::max(m_knowsAfter, m_removals.front().m_version);
    m_removals.pop_front();
  }
}

std::vector<FollowedRow>
FollowedTable::Replace(std::span<const FollowedRow> aRows,
                       std::uint64_t aVersion)
{
  std::vector<FollowedRow> out;
  std::set<std::string_view> present;
  for (const FollowedRow& row : aRows) {
    present.insert(row.m_key);
    const auto known = m_rows.find(row.m_key);
    if (known == m_rows.end() || known->second.m_value != row.m_value) {
      out.push_back(row);
    }
  }
  for (const auto& [key, kept] : m_rows) {
    if (!present.contains(key)) {
      out.push_back({ key, {}, true });
    }
  }
  for (const FollowedRow& row : aRows) {
    Take(row, aVersion);
  }
  for (const FollowedRow& row : out) {
    if (row.m_removed) {
      m_rows.erase(row.m_key);
    }
  }
  // When the others were removed is not known, nor what came and went between.
  m_removals.clear();
  m_knowsAfter = aVersion;
  m_version = aVersion;
  return out;
}

void
FollowedTable::Apply(std::span<const FollowedRow> aRows, std::uint64_t aVersion)
{
  for (const FollowedRow& row : aRows) {
    Take(row, aVersion);
  }
  m_version = std::max(m_version, aVersion);
}

TableSlice
FollowedTable::Since(std::uint64_t aAfter) const
{
  TableSlice out{ m_version, aAfter < m_knowsAfter || aAfter == 0, {} };
  for (const auto& [key, kept] : m_rows) {
    if (out.m_whole || kept.m_version > aAfter) {
      out.m_rows.push_back({ key, kept.m_value, false, kept.m_version });
    }
  }
  if (out.m_whole) {
    return out;
  }
  for (const Removal& removal : m_removals) {
    // One that came back since is told by its row.
    if (removal.m_version > aAfter && !m_rows.contains(removal.m_key)) {
      out.m_rows.push_back({ removal.m_key, {}, true, removal.m_version });
    }
  }
  return out;
}

} // namespace ridgeferry::relay
