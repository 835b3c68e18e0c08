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

/** A row of a followed table, or word of its removal. */
struct FollowedRow
{
  std::string m_key;
  std::string m_value; ///< Empty if removed.
  bool m_removed = false;
  /** Of the row's own last change, in the generation of the table that it
   * belongs to; 0: not told. */
  std::uint64_t m_version = 0;
  bool operator==(const FollowedRow&) const = default;
};

/** What one instance tells another of a table. */
struct TableSlice
{
  StorePosition m_position; ///< Up to which it holds.
  /** All rows there are; else only those that changed after what was asked. */
  bool m_whole = false;
  std::vector<FollowedRow> m_rows;
  bool operator==(const TableSlice&) const = default;
};

/**
 * Whether a known row stays where a whole table differs in it: `aTold` is the
 * value there, null if it has none. A store that came back from an older copy
 * has an older row or none, and so has a peer that read that copy and nothing
 * before.
 */
using KeepsKnown = std::function<bool(std::string_view aKey,
                                      std::string_view aKnown,
                                      const std::string* aTold)>;

/**
 * The rows of a table as of one position, and what was removed lately, so that
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

  /** `aKeeps`: which rows outlast a whole table that is older in them; null:
   * none. */
  explicit FollowedTable(KeepsKnown aKeeps = {});

  /** Takes all rows as of a position; returns what differs. Precondition: it is
   * of no earlier generation than what is held. */
  std::vector<FollowedRow> Replace(std::span<const FollowedRow> aRows,
                                   StorePosition aPosition);
  /** Takes changes up to a position. Precondition: it is of the generation that
   * is held. */
  void Apply(std::span<const FollowedRow> aRows, StorePosition aPosition);

  /** What changed after a position, or all if that is not known any more, as
   * it is not of a position of another generation. */
  TableSlice Since(StorePosition aAfter) const;

  StorePosition Position() const { return m_position; }
  /** That of the last change of a row. */
  StorePosition ChangedPosition() const
  {
    return { m_position.m_generation, m_changed };
  }

private:
  friend class FollowerState; // Of the tests that enumerate states.
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
  /** The rows of a whole table, with those that are known and stay in their
   * place. */
  std::vector<FollowedRow> WithKept(std::span<const FollowedRow> aRows,
                                    std::uint64_t aVersion) const;
  /** Which of them differ from what is held, and what they lack. */
  std::vector<FollowedRow> Differences(
    std::span<const FollowedRow> aRows) const;

  KeepsKnown m_keeps;
  std::map<std::string, Kept, std::less<>> m_rows;
  std::deque<Removal> m_removals; ///< By rising version.
  std::uint64_t m_knowsAfter = 0; ///< Changes before are not known one by one.
  StorePosition m_position;
  std::uint64_t m_changed = 0; ///< In the generation of `m_position`.
};

} // namespace ridgeferry::relay
