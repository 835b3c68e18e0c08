#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/relay/ExpiryGrace.h>
#include <ridgeferry/relay/FollowedTable.h>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace ridgeferry::relay {

// ---- events ----

struct FollowStarted
{};
/**
 * The instance now knows which other instances exist, or that there are none.
 */
struct PeersListed
{
  bool m_any = false;
};
/** Answer to `ReadTable`: all rows of the table as of one position. */
struct TableRead
{
  std::vector<FollowedRow> m_rows;
  StorePosition m_position;
};
/**
 * Answer to `ReadChanges`: the changes after the requested position, possibly
 * none.
 */
struct ChangesRead
{
  std::vector<FollowedRow> m_rows;
  StorePosition m_position;
};
/**
 * Answer to `ReadChanges`: the store does not know the changes after the
 * requested position. Either it has discarded that history, or it never had
 * these changes in its present generation.
 */
struct HistoryLost
{
  StoreGeneration m_generation = 0;
};
/**
 * The store is known to have this generation from a source other than a read of
 * this table: from another answer of the store, or from a peer's message.
 */
struct GenerationSeen
{
  StoreGeneration m_generation = 0;
};
/** A read of the store got no answer, or none that can be used. */
struct ReadFailed
{
  std::string m_cause;
};
struct RetryDue
{};
/** Another instance answered `AskPeer`. */
struct PeerAnswered
{
  TableSlice m_slice;
};
/**
 * No peer answered `AskPeer`, or none of the answers is newer than the table
 * held here.
 */
struct PeerFailed
{};
/** Another instance has read a change at this position. */
struct PeerIsAhead
{
  StorePosition m_position;
};
/**
 * Another instance reports that its reads of the store fail, and no instance is
 * known whose reads succeed.
 */
struct PeerLostStore
{};
/**
 * Another instance reports that its reads are steady. See
 * `ExpiryGrace::IsSteady`.
 */
struct PeerReadsSteadily
{};
/**
 * Sets whether this instance is one of those that poll the store continuously.
 */
struct PollingChanged
{
  bool m_isPoller = true;
  /**
   * True if this instance is a designated poller: its rank among the instances
   * makes it one. False if it polls only because it hears from no instance
   * whose reads succeed.
   */
  bool m_isDesignated = true;
};

using FollowEvent = std::variant<FollowStarted,
                                 PeersListed,
                                 PeerAnswered,
                                 PeerFailed,
                                 TableRead,
                                 ChangesRead,
                                 HistoryLost,
                                 GenerationSeen,
                                 ReadFailed,
                                 RetryDue,
                                 PeerIsAhead,
                                 PeerLostStore,
                                 PeerReadsSteadily,
                                 PollingChanged>;

// ---- actions ----

struct ReadTable
{
  /** A page that has not arrived within this time counts as a failed read. */
  Duration m_readTimeout{};
};
/**
 * Asks the store for changes. The store holds the call open until a change
 * exists or `m_wait` is over.
 */
struct ReadChanges
{
  StorePosition m_after;
  Duration m_wait{};
  /**
   * A read that is unanswered for this time counts as failed. Longer than
   * `m_wait`.
   */
  Duration m_readTimeout{};
};
/**
 * Asks an instance that has read further than this one, or any instance if none
 * is known to have, for the changes after a position. Version 0 asks for all
 * rows.
 */
struct AskPeer
{
  StorePosition m_after;
  /**
   * The question is sent at a random moment within this time. Instances that
   * ask later find more peers that already have the change.
   */
  Duration m_jitter{};
};
/** Cancels the read that is under way. */
struct CancelRead
{};
/** Requests a `RetryDue` event after the delay. */
struct RetryLater
{
  Duration m_delay{};
  /**
   * The event comes at a random moment within this time after the delay, so
   * that many instances that wait for the same thing do not ask at the same
   * moment.
   */
  Duration m_jitter{};
};
/** Applies rows that are new, changed or removed, in the store's order. */
struct ApplyRows
{
  std::vector<FollowedRow> m_rows;
  /**
   * Set if the store was unreachable shortly before: until this time, a removed
   * row may only have expired and may come back. If std::nullopt, a removed row
   * is gone.
   */
  std::optional<Instant> m_graceUntil;
  /**
   * Set only on the first rows of a new generation: the position of the table
   * before them. The store was restored from an older copy, so these
   * differences are not changes: a missing row has not necessarily been
   * removed, and a row that is present again may be out of date.
   */
  std::optional<StorePosition> m_positionBeforeCopy = {};
};
/**
 * An answer was rejected because its position is older than that of the table
 * held here, or because its generation is older than one already seen. Reported
 * once, until an answer is accepted again.
 */
struct AnswerIsOld
{
  StorePosition m_position; ///< Position of the rejected answer.
};
struct StoreLost
{
  std::string m_cause;
};
struct StoreBack
{
  Duration m_away{}; ///< Time since the first read that failed.
};

using FollowAction = std::variant<ReadTable,
                                  ReadChanges,
                                  AskPeer,
                                  CancelRead,
                                  RetryLater,
                                  ApplyRows,
                                  AnswerIsOld,
                                  StoreLost,
                                  StoreBack>;

/**
 * Follows one table of the store. It reads the whole table, then its changes,
 * and the whole table again when the store has lost the history. Within one
 * generation, the rows that it reports never go back to an older version.
 *
 * A later generation is a separate history. Its versions may be lower, and the
 * changes after a version of the earlier generation may be incomplete or
 * unknown. The first sign of a later generation, in any answer or from any
 * peer, therefore starts a read of the whole table at once; instances on
 * standby first wait a moment for the others to read the table and take it from
 * them. Without generations, changes below the old version would be ignored for
 * as long as the store's counter takes to pass it; with them, such changes are
 * in force within 2 s (`StoreCopyTest`).
 *
 * Every call costs the store something, and one change answers all reads that
 * the store holds open. So only a few instances, the pollers, keep a read open
 * at the store; the read is short enough that they notice by themselves when
 * the store stops responding. The other instances are on standby. When a peer
 * has read further, they ask such a peer, and ask the store only if that does
 * not help. An instance that starts asks its peers first. The number of
 * instances that call the store therefore does not grow with the deployment. An
 * instance that hears from no poller becomes a poller itself. A poller cancels
 * its read and sends it again when reports of its peers show that the read must
 * have been lost.
 *
 * While reads fail, the store is not asked to hold any of them open. Each read
 * only probes whether the store is back, and the next one follows as soon as
 * the last one has failed. Designated pollers probe like this; the other
 * instances probe rarely and rely on what their peers have read. A change that
 * is accepted as the store returns is therefore in force within 1.5 s, while an
 * instance on standby calls an unreachable store only once every 3 s.
 *
 * A pure state machine; not thread-safe.
 */
class TableFollower
{
public:
  /**
   * How long the store may hold a poller's read of changes open. This costs
   * half a call per second for each table, and is short enough that a poller
   * notices an unresponsive store well within the time in which a change must
   * be in force.
   */
  static constexpr Duration kPollWait{ 2000 };
  /**
   * How long an instance that starts asks its peers before it reads the store.
   * A peer answers within a few milliseconds, and after a loss of all instances
   * the pollers find each other within this time. An instance that is not a
   * poller waits for this time once more, until the pollers have read the
   * table.
   */
  static constexpr Duration kStartTimeout{ 500 };
  /** Number of peers that a starting instance asks one after the other. */
  static constexpr int kStartTries = 3;
  /**
   * Instances on standby ask a peer at a random moment within this time after
   * the first report of a change. If all asked at once, they would all ask the
   * first peers that know the change.
   */
  static constexpr Duration kAskSpread{ 250 };
  /**
   * If no peer has delivered the change within this time after the first
   * report, the instance reads the store. The sum of this time, a poller's read
   * and the delivery of the report is below two seconds, the time in which a
   * change must be in force.
   */
  static constexpr Duration kAskPeerTimeout{ 800 };
  /**
   * Longest time on standby without a read of the store. It only matters if all
   * reports of changes are lost.
   */
  static constexpr Duration kStandbyTimeout{ 60'000 };
  /**
   * Pause after changes, so that changes made in quick succession are read
   * together. It is about a sixth of the time in which a change must be in
   * force.
   */
  static constexpr Duration kSettle{ 300 };
  /**
   * How long a peer may be ahead before this instance's own read counts as
   * lost. The store answers all held reads at once; even a slow store does so
   * within this time.
   */
  static constexpr Duration kBehindTimeout{ 400 };
  /**
   * How long the store may take to respond, beyond the time that it was asked
   * to hold the read. The store normally answers within milliseconds; this
   * allows for a store that is sixty times slower than usual.
   */
  static constexpr Duration kResponseMargin{ 800 };
  /**
   * Time-out for one page of a whole table. After a loss of all instances,
   * hundreds of them read a megabyte each at the same moment, over links of
   * some megabits per second.
   */
  static constexpr Duration kPageTimeout{ 2500 };
  /**
   * Shortest and longest time from the start of a read that fails to the start
   * of the next read, for designated pollers. A read that fails because the
   * store does not respond has already used up that time, so the next read
   * follows at once.
   */
  static constexpr Duration kFirstRetry{ 150 };
  static constexpr Duration kLongestRetry{ 600 };
  /**
   * After a failed read, an instance that is not a designated poller pauses for
   * a random time between these two. Usually it learns from the designated
   * pollers within 0.3 s that the store is back. If the store rejects all
   * designated pollers, the first of ten such instances notices the return
   * within 1.5 s on average, at one call every 3 s for each instance.
   */
  static constexpr Duration kMinStandbyRetry{ 1000 };
  static constexpr Duration kMaxStandbyRetry{ 4000 };

  /** `aKeeps`: see `FollowedTable`. */
  explicit TableFollower(KeepsKnown aKeeps = {});

  std::vector<FollowAction> Handle(const FollowEvent& aEvent, Instant aNow);

  bool HasRead() const { return m_hasRead; }
  /** Returns the position up to which the table was read. */
  StorePosition Position() const { return m_table.Position(); }
  /**
   * Returns the latest generation seen. The table may still be of an earlier
   * one.
   */
  StoreGeneration Generation() const { return m_generation; }
  /** Returns the position of the last change of a row that was read. */
  StorePosition ChangedPosition() const { return m_table.ChangedPosition(); }
  /**
   * Returns, for a peer, what changed after a position. The version of the
   * returned slice is 0 if nothing was read yet.
   */
  TableSlice Since(StorePosition aAfter) const { return m_table.Since(aAfter); }
  bool IsLost() const { return m_grace.IsLost(); }
  /** See `ExpiryGrace::IsSteady`. */
  bool IsSteady(Instant aNow) const { return m_grace.IsSteady(aNow); }
  /** See `ExpiryGrace::ReadsFor`. */
  std::optional<Duration> ReadsFor(Instant aNow) const
  {
    return m_grace.ReadsFor(aNow);
  }

private:
  friend class FollowerState; // Used by the tests that enumerate states.
  using Actions = std::vector<FollowAction>;

  void On(const FollowStarted& aEvent, Instant aNow, Actions& aActions);
  void On(const PeersListed& aEvent, Instant aNow, Actions& aActions);
  void On(const PeerAnswered& aEvent, Instant aNow, Actions& aActions);
  void On(const PeerFailed& aEvent, Instant aNow, Actions& aActions);
  void On(const TableRead& aEvent, Instant aNow, Actions& aActions);
  void On(const ChangesRead& aEvent, Instant aNow, Actions& aActions);
  void On(const HistoryLost& aEvent, Instant aNow, Actions& aActions);
  void On(const GenerationSeen& aEvent, Instant aNow, Actions& aActions);
  void On(const ReadFailed& aEvent, Instant aNow, Actions& aActions);
  void On(const RetryDue& aEvent, Instant aNow, Actions& aActions);
  void On(const PeerIsAhead& aEvent, Instant aNow, Actions& aActions);
  void On(const PeerLostStore& aEvent, Instant aNow, Actions& aActions);
  void On(const PeerReadsSteadily& aEvent, Instant aNow, Actions& aActions);
  void On(const PollingChanged& aEvent, Instant aNow, Actions& aActions);

  void Ask(Instant aNow, Actions& aActions);
  /**
   * Reads the table or its changes from the store. `aWait` is the time for
   * which the store may hold a read of changes open.
   */
  void Ask(Instant aNow, Duration aWait, Actions& aActions);
  /** Asks a peer; see `AskPeer::m_jitter` for `aWithin`. */
  void AskAPeer(Duration aWithin, Actions& aActions);
  void TakeTable(std::span<const FollowedRow> aRows,
                 StorePosition aPosition,
                 Instant aNow,
                 Actions& aActions);
  void TakeChanges(std::span<const FollowedRow> aRows,
                   StorePosition aPosition,
                   Instant aNow,
                   Actions& aActions);
  /**
   * Called after an answer was accepted: starts the next read, or goes on
   * standby.
   */
  void ScheduleNextRead(Instant aNow, Actions& aActions);
  void ReissueRead(Instant aNow, Actions& aActions);
  /**
   * Called when a peer is ahead while the whole table is still needed here, so
   * that this instance's own read may miss what the peer has read. Asks a peer
   * for the whole table. If a read of the store is under way, an instance that
   * has no table yet waits for it, and one that has a table asks a peer after
   * `kBehindTimeout`.
   */
  void AskForTable(Instant aNow, Actions& aActions);
  /** Returns when to read again after a read that failed. */
  RetryLater NextTry(Instant aNow) const;
  void RejectAnswer(StorePosition aPosition, Actions& aActions);
  /**
   * Records the generation if it is later than any seen before. Returns whether
   * it is.
   */
  bool RaiseGeneration(StoreGeneration aGeneration, Instant aNow);
  /**
   * Called when a later generation was seen elsewhere: arranges a read of the
   * whole table.
   */
  void FollowGeneration(Instant aNow, Actions& aActions);
  /** Returns the position after which peers are asked for changes. */
  StorePosition PositionForPeers() const;
  void NoteAnswer(Instant aNow, Actions& aActions);

  bool m_hasRead = false;
  bool m_needsTable = true;
  ExpiryGrace m_grace;
  bool m_isPoller = true;
  bool m_isDesignatedPoller = true;
  bool m_isReading = false; ///< True while a read of the store is under way.
  /** Position that the last read of changes was sent with. */
  StorePosition m_askedAfter;
  Instant m_askedAt;           ///< Time when the last read began.
  bool m_isAskingPeer = false; ///< True while a question to a peer is open.
  /** Number of unanswered questions to peers since the start. */
  int m_startTries = 0;
  /** True once the first `kStartTimeout` has passed without a table. */
  bool m_startTimedOut = false;
  /** True while no read is under way and none is due soon. */
  bool m_isOnStandby = false;
  /**
   * Since when this instance has waited for a change or generation that is
   * known elsewhere; empty if it waits for none.
   */
  std::optional<Instant> m_behindSince;
  /** The peer's position for which a lost read was last cancelled and sent
   * again. */
  StorePosition m_reissuedFor;
  /** True if `AnswerIsOld` was reported since an answer was last accepted. */
  bool m_reportedOldAnswer = false;
  Duration m_retry = kFirstRetry;
  /** Time of the first read that failed. Only valid while the store is lost. */
  Instant m_lostAt;
  StoreGeneration m_generation = 0; ///< Latest generation seen.
  FollowedTable m_table;
};

} // namespace ridgeferry::relay
