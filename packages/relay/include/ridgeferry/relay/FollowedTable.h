#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <ridgeferry/base/StorePosition.h>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::relay {

/** A row of a followed table, or the notice that it was removed. */
struct FollowedRow
{
  std::string m_key;
  std::string m_value; ///< Empty if the row was removed.
  bool m_removed = false;
  /**
   * Version of the row's own last change, in the generation of the table that
   * it belongs to. 0 if the sender did not give it.
   */
  std::uint64_t m_version = 0;
  bool operator==(const FollowedRow&) const = default;
};

/** Part of a table, as one instance sends it to another. */
struct TableSlice
{
  StorePosition m_position; ///< The position up to which the rows are valid.
  /**
   * True if `m_rows` are all rows of the table, false if they are only those
   * that changed after the requested position.
   */
  bool m_whole = false;
  std::vector<FollowedRow> m_rows;
  bool operator==(const TableSlice&) const = default;
};

/**
 * Returns whether a known row is retained although a whole table that was just
 * read differs from it. `aTold` is the value in that table, null if the table
 * has no such row. A store that was restored from an older copy has an older
 * row or none, and so has a peer that has read only that copy.
 */
using KeepsKnown = std::function<bool(std::string_view aKey,
                                      std::string_view aKnown,
                                      const std::string* aTold)>;

/**
 * The rows of a table as of one position, and the recent removals, so that
 * instances can pass changes on to each other. Every call costs the store
 * something: if each of hundreds of instances read each change from the store,
 * every change would cost hundreds of calls. Not thread-safe.
 */
class FollowedTable
{
public:
  /**
   * Number of removals that are remembered. An instance that is further behind
   * gets the whole table. The number allows for a release of a hundred
   * upstreams, which removes each of them once.
   */
  static constexpr std::size_t kMostRemovals = 500;

  /**
   * `aKeeps` decides which rows are retained when a whole table has an older
   * value for them. If null, no row is retained.
   */
  explicit FollowedTable(KeepsKnown aKeeps = {});

  /**
   * Replaces all rows by those of a whole table as of a position. Returns the
   * rows that differ. Precondition: the position is not of an earlier
   * generation than the table held here.
   */
  std::vector<FollowedRow> Replace(std::span<const FollowedRow> aRows,
                                   StorePosition aPosition);
  /**
   * Applies changes up to a position. Precondition: the position is of the
   * generation that the table held here has.
   */
  void Apply(std::span<const FollowedRow> aRows, StorePosition aPosition);

  /**
   * Returns what changed after a position. Returns all rows if the changes
   * since then are no longer known, or if the position is of another
   * generation.
   */
  TableSlice Since(StorePosition aAfter) const;

  StorePosition Position() const { return m_position; }
  /** Returns the position of the last change of a row. */
  StorePosition ChangedPosition() const
  {
    return { m_position.m_generation, m_changed };
  }

private:
  friend class FollowerState; // Used by the tests that enumerate states.
  struct StoredRow
  {
    std::string m_value;
    std::uint64_t m_version = 0;
  };
  struct Removal
  {
    std::string m_key;
    std::uint64_t m_version = 0;
  };

  /**
   * Stores or removes a row. `aVersion` is the version of the answer that
   * contained it.
   */
  void Take(const FollowedRow& aRow, std::uint64_t aVersion);
  /**
   * Returns the rows of a whole table, in which the known rows that are
   * retained replace the table's own.
   */
  std::vector<FollowedRow> WithRetained(std::span<const FollowedRow> aRows,
                                        std::uint64_t aVersion) const;
  /**
   * Returns the rows that differ from those held here, and a removal for each
   * row held here that `aRows` lacks.
   */
  std::vector<FollowedRow> Differences(
    std::span<const FollowedRow> aRows) const;

  KeepsKnown m_keeps;
  std::map<std::string, StoredRow, std::less<>> m_rows;
  std::deque<Removal> m_removals; ///< In order of rising version.
  /** Individual changes at or before this version are no longer known. */
  std::uint64_t m_knowsAfter = 0;
  StorePosition m_position;
  /** Version of the last change of a row, in the generation of `m_position`. */
  std::uint64_t m_changed = 0;
};

} // namespace ridgeferry::relay
