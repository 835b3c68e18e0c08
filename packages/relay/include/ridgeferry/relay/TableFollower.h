#pragma once

#include <cstdint>
#include <map>
#include <ridgeferry/base/Time.h>
#include <string>
#include <variant>
#include <vector>

namespace ridgeferry::relay {

/** A row of a followed table, or word of its removal. */
struct FollowedRow
{
  std::string m_key;
  std::string m_value; ///< Empty if removed.
  bool m_removed = false;
};

// ---- events ----

struct FollowBegan
{};
/** All rows of the table as of one version. */
struct TableRead
{
  std::vector<FollowedRow> m_rows;
  std::uint64_t m_version = 0;
};
/** Changes after the version that was asked for; possibly none. */
struct ChangesRead
{
  std::vector<FollowedRow> m_rows;
  std::uint64_t m_version = 0;
};
/** The store no longer knows the changes after that version. */
struct HistoryGone
{};
/** No answer, or none that can be used. */
struct ReadFailed
{
  std::string m_cause;
};
struct RetryDue
{};

using FollowEvent = std::variant<FollowBegan,
                                 TableRead,
                                 ChangesRead,
                                 HistoryGone,
                                 ReadFailed,
                                 RetryDue>;

// ---- actions ----

struct ReadTable
{};
/** Ask for changes; the store holds the call until some exist. */
struct ReadChanges
{
  std::uint64_t m_after = 0;
  Duration m_wait{};
};
/** Come back with `RetryDue`. */
struct RetryLater
{
  Duration m_delay{};
};
/** Rows that are new, changed or removed, in the store's order. */
struct ApplyRows
{
  std::vector<FollowedRow> m_rows;
  /** The store was out of reach shortly before: removals may be lapses. */
  bool m_afterOutage = false;
};
struct StoreLost
{
  std::string m_cause;
};
struct StoreBack
{};

using FollowAction = std::
  variant<ReadTable, ReadChanges, RetryLater, ApplyRows, StoreLost, StoreBack>;

/**
 * Follows one table of the store: reads it whole, then its changes; whole
 * again when the history is gone. What it has told never goes back to an
 * older version. A pure state machine; not thread-safe.
 */
class TableFollower
{
public:
  /**
   * How long the store may hold a read of changes. Short enough that a silent
   * store is noticed well within the time that a change may take to be in
   * force; each such read is a priced call, half a call a second a table.
   */
  static constexpr Duration kWait{ 2000 };
  /** First and longest pause after a failed read. */
  static constexpr Duration kFirstRetry{ 150 };
  static constexpr Duration kLongestRetry{ 600 };
  /** How long after an outage a removal may still be a lapse: two heartbeats
   * of a listed member and the store's own return. */
  static constexpr Duration kOutageMemory{ 5000 };

  std::vector<FollowAction> Handle(const FollowEvent& aEvent, Instant aNow);

  bool HasRead() const { return m_hasRead; }
  std::uint64_t Version() const { return m_version; }

private:
  using Actions = std::vector<FollowAction>;

  void On(const FollowBegan& aEvent, Instant aNow, Actions& aActions);
  void On(const TableRead& aEvent, Instant aNow, Actions& aActions);
  void On(const ChangesRead& aEvent, Instant aNow, Actions& aActions);
  void On(const HistoryGone& aEvent, Instant aNow, Actions& aActions);
  void On(const ReadFailed& aEvent, Instant aNow, Actions& aActions);
  void On(const RetryDue& aEvent, Instant aNow, Actions& aActions);

  void Ask(Actions& aActions) const;
  void NoteAnswer(Instant aNow, Actions& aActions);
  bool IsAfterOutage(Instant aNow) const;

  bool m_hasRead = false;
  bool m_needsTable = true;
  bool m_lost = false;
  bool m_hadOutage = false;
  Instant m_lastFailure;
  Duration m_retry = kFirstRetry;
  std::uint64_t m_version = 0;
  std::map<std::string, std::string> m_rows;
};

} // namespace ridgeferry::relay
