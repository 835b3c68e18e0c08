#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::relay {

/** A row of a followed table, or word of its removal. */
struct FollowedRow
{
  std::string m_key;
  std::string m_value; ///< Empty if removed.
  bool m_removed = false;
  std::uint64_t m_version = 0; ///< Of the row's own last change; 0: not told.
  bool operator==(const FollowedRow&) const = default;
};

/** What one instance tells another of a table. */
struct TableSlice
{
  std::uint64_t m_version = 0; ///< Up to which it holds.
  /** All rows there are; else only those that changed after what was asked. */
  bool m_whole = false;
  std::vector<FollowedRow> m_rows;
  bool operator==(const TableSlice&) const = default;
};

/**
 * The rows of a table as of one version, and what was removed lately, so that
 * instances can pass changes on to each other: a call of the store has its
 * price, and with hundreds of instances each change would cost hundreds.
 * Not thread-safe.
 */
class FollowedTable
{
public:
  /** Removals that are remembered; whoever is further behind gets the whole
   * table. A release of a hundred upstreams removes each of them once. */
  static constexpr std::size_t kMostRemovals = 500;

  /** Takes all rows as of a version; returns what differs. */
  std::vector<FollowedRow> Replace(std::span<const FollowedRow> aRows,
                                   std::uint64_t aVersion);
  /** Takes changes up to a version. */
  void Apply(std::span<const FollowedRow> aRows, std::uint64_t aVersion);

  /** What changed after a version, or all if that is not known any more. */
  TableSlice Since(std::uint64_t aAfter) const;

  std::uint64_t Version() const { return m_version; }
  /** Highest version of a row or a removal. */
  std::uint64_t ChangedVersion() const { return m_changed; }

private:
  struct Kept
  {
    std::string m_value;
    std::uint64_t m_version = 0;
  };
  struct Removal
  {
    std::string m_key;
    std::uint64_t m_version = 0;
  };

  /** `aVersion`: of the answer that brought the row. */
  void Take(const FollowedRow& aRow, std::uint64_t aVersion);

  std::map<std::string, Kept, std::less<>> m_rows;
  std::deque<Removal> m_removals; ///< By rising version.
  std::uint64_t m_knowsAfter = 0; ///< Changes before are not known one by one.
  std::uint64_t m_version = 0;
  std::uint64_t m_changed = 0;
};

} // namespace ridgeferry::relay
