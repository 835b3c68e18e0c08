#include "ridgeferry/relay/FollowedTable.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace ridgeferry::relay {

FollowedTable::FollowedTable(KeepsKnown aKeeps)
  : m_keeps(std::move(aKeeps))
{
}

void
FollowedTable::Take(const FollowedRow& aRow, std::uint64_t aVersion)
{
  // A row that has no version of its own gets the version of the answer, which
  // is not lower than that of any row in it.
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
FollowedTable::WithRetained(std::span<const FollowedRow> aRows,
                            std::uint64_t aVersion) const
{
  if (!m_keeps) {
    return { aRows.begin(), aRows.end() };
  }
  std::map<std::string_view, const FollowedRow*> told;
  for (const FollowedRow& row : aRows) {
    told.emplace(row.m_key, &row);
  }
  std::set<std::string_view> stay;
  std::vector<FollowedRow> out;
  for (const auto& [key, kept] : m_rows) {
    const auto found = told.find(key);
    const std::string* value =
      found == told.end() ? nullptr : &found->second->m_value;
    const bool differs = value == nullptr || *value != kept.m_value;
    if (differs && m_keeps(key, kept.m_value, value)) {
      stay.insert(key);
      out.push_back({ key, kept.m_value, false, aVersion });
    }
  }
  for (const FollowedRow& row : aRows) {
    if (!stay.contains(row.m_key)) {
      out.push_back(row);
    }
  }
  return out;
}

std::vector<FollowedRow>
FollowedTable::Differences(std::span<const FollowedRow> aRows) const
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
  return out;
}

std::vector<FollowedRow>
FollowedTable::Replace(std::span<const FollowedRow> aRows,
                       StorePosition aPosition)
{
  assert(aPosition.m_generation >= m_position.m_generation);
  const std::uint64_t version = aPosition.m_version;
  const std::vector<FollowedRow> rows = WithRetained(aRows, version);
  if (aPosition.m_generation > m_position.m_generation) {
    m_changed = 0; // `m_changed` belongs to the previous generation.
  }
  std::vector<FollowedRow> out = Differences(rows);
  m_rows.clear();
  for (const FollowedRow& row : rows) {
    Take(row, version);
  }
  // The versions at which the rows that `aRows` lacks were removed are not
  // known, nor are the rows that were added and removed since the previous
  // position.
  m_removals.clear();
  m_knowsAfter = version;
  m_position = aPosition;
  return out;
}

void
FollowedTable::Apply(std::span<const FollowedRow> aRows,
                     StorePosition aPosition)
{
  assert(aPosition.m_generation == m_position.m_generation);
  for (const FollowedRow& row : aRows) {
    Take(row, aPosition.m_version);
  }
  m_position = std::max(m_position, aPosition);
}

TableSlice
FollowedTable::Since(StorePosition aAfter) const
{
  const std::uint64_t after = aAfter.m_version;
  const bool isOfThis = aAfter.m_generation == m_position.m_generation;
  const bool isWhole = !isOfThis || after < m_knowsAfter || after == 0;
  TableSlice out{ m_position, isWhole, {} };
  for (const auto& [key, kept] : m_rows) {
    if (out.m_whole || kept.m_version > after) {
      out.m_rows.push_back({ key, kept.m_value, false, kept.m_version });
    }
  }
  if (out.m_whole) {
    return out;
  }
  for (const Removal& removal : m_removals) {
    // A row that was added again since its removal is already in the slice.
    if (removal.m_version > after && !m_rows.contains(removal.m_key)) {
      out.m_rows.push_back({ removal.m_key, {}, true, removal.m_version });
    }
  }
  return out;
}

} // namespace ridgeferry::relay
