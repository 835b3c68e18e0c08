#include "Positions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/TableFollower.h>
#include <utility>

namespace ridgeferry::relay {
namespace {

template<typename Action>
const Action*
Find(const std::vector<FollowAction>& aActions)
{
  for (const FollowAction& action : aActions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

class TableFollowerTest : public ::testing::Test
{
protected:
  std::vector<FollowAction> Handle(const FollowEvent& aEvent, int aAtMs = 0)
  {
    return m_follower.Handle(aEvent, Instant{ Duration{ aAtMs } });
  }

  TableFollower m_follower;
};

TEST_F(TableFollowerTest, ReadsTheTableThenItsChanges)
{
  Handle(FollowStarted{});
  EXPECT_NE(Find<ReadTable>(Handle(PeersListed{ false })), nullptr);
  const auto actions = Handle(TableRead{ { { "a", "1" } }, PositionAt(5) });
  ASSERT_NE(Find<ApplyRows>(actions), nullptr);
  EXPECT_EQ(Find<ApplyRows>(actions)->m_rows.size(), 1U);
  ASSERT_NE(Find<ReadChanges>(actions), nullptr);
  EXPECT_EQ(Find<ReadChanges>(actions)->m_after, PositionAt(5));
}

TEST_F(TableFollowerTest, TableReadAgainReportsOnlyDifferences)
{
  Handle(
    TableRead{ { { "a", "1" }, { "b", "1" }, { "c", "1" } }, PositionAt(5) });
  EXPECT_NE(Find<ReadTable>(Handle(HistoryLost{})), nullptr);
  const auto actions =
    Handle(TableRead{ { { "a", "1" }, { "b", "2" } }, PositionAt(9) });
  const auto* apply = Find<ApplyRows>(actions);
  ASSERT_NE(apply, nullptr);
  ASSERT_EQ(apply->m_rows.size(), 2U);
  EXPECT_EQ(apply->m_rows[0].m_key, "b");
  EXPECT_TRUE(apply->m_rows[1].m_removed);
  EXPECT_EQ(apply->m_rows[1].m_key, "c");
}

// The store may answer a read with a state older than one it has already
// returned.
TEST_F(TableFollowerTest, AnOlderTableIsNotTaken)
{
  Handle(TableRead{ { { "a", "2" } }, PositionAt(9) });
  Handle(HistoryLost{});
  const auto actions = Handle(TableRead{ { { "a", "1" } }, PositionAt(5) });
  EXPECT_EQ(Find<ApplyRows>(actions), nullptr);
  EXPECT_NE(Find<RetryLater>(actions), nullptr);
  EXPECT_EQ(m_follower.Position(), PositionAt(9));
}

TEST_F(TableFollowerTest, OutageAndItsEndAreReportedOnce)
{
  Handle(TableRead{ {}, PositionAt(1) });
  EXPECT_NE(Find<StoreLost>(Handle(ReadFailed{ "x" })), nullptr);
  EXPECT_EQ(Find<StoreLost>(Handle(ReadFailed{ "x" })), nullptr);
  EXPECT_NE(Find<StoreBack>(Handle(ChangesRead{ {}, PositionAt(1) })), nullptr);
  EXPECT_EQ(Find<StoreBack>(Handle(ChangesRead{ {}, PositionAt(1) })), nullptr);
}

TEST_F(TableFollowerTest, RetriesSlowDownToTheirLongestPause)
{
  Duration last{};
  for (int i = 0; i < 6; ++i) {
    const auto actions = Handle(ReadFailed{ "x" });
    const auto* retry = Find<RetryLater>(actions);
    ASSERT_NE(retry, nullptr);
    EXPECT_GE(retry->m_delay, last);
    last = retry->m_delay;
  }
  EXPECT_EQ(last, TableFollower::kLongestRetry);
}

/**
 * A removal of a row that is read after an outage of the store. The first
 * answer after the outage comes at 2,000 ms. `m_untilMs` is the end of the
 * grace period in which the row may merely have expired; 0 if there is none, so
 * that the removal is final.
 */
struct RowExpiryCase
{
  const char* m_name;
  int m_readAtMs;
  int m_untilMs;
};

class RowExpiryTest
  : public TableFollowerTest
  , public ::testing::WithParamInterface<RowExpiryCase>
{};

// Guards against a grace period that depends on when the removal is read.
// Removals are final again three seconds after the store's return. The store
// returned at most `kResponseMargin`, the time-out of one unanswered read,
// before its first answer.
TEST_P(RowExpiryTest, GracePeriodEndDoesNotDependOnReadTime)
{
  Handle(TableRead{ { { "a", "1" } }, PositionAt(1) });
  Handle(ReadFailed{ "x" }, 1000);
  Handle(ChangesRead{ {}, PositionAt(1) }, 2000);
  const auto actions = Handle(
    ChangesRead{ { { "a", {}, true } }, PositionAt(2) }, GetParam().m_readAtMs);
  const auto* apply = Find<ApplyRows>(actions);
  ASSERT_NE(apply, nullptr);
  const auto until = apply->m_graceUntil.value_or(Instant{});
  EXPECT_EQ(until, Instant{ Duration{ GetParam().m_untilMs } });
  const Instant returned{ Duration{ 2000 } - TableFollower::kResponseMargin };
  EXPECT_LT(until, returned + Duration{ 3000 });
}

INSTANTIATE_TEST_SUITE_P(
  Times,
  RowExpiryTest,
  ::testing::Values(RowExpiryCase{ "AtOnce", 2000, 4100 },
                    RowExpiryCase{ "Late", 4000, 4100 },
                    RowExpiryCase{ "TooLate", 4100, 0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Releases and rolling changes write many rows in quick succession. One read
// must cover several of them.
TEST_F(TableFollowerTest, AfterAChangeItWaitsForMore)
{
  Handle(TableRead{ {}, PositionAt(1) });
  const auto actions =
    Handle(ChangesRead{ { { "a", "1", false, 2 } }, PositionAt(2) });
  ASSERT_NE(Find<RetryLater>(actions), nullptr);
  EXPECT_EQ(Find<RetryLater>(actions)->m_delay, TableFollower::kSettle);
  EXPECT_EQ(Find<ReadChanges>(actions), nullptr);
  EXPECT_NE(Find<ReadChanges>(Handle(RetryDue{})), nullptr);
}

TEST_F(TableFollowerTest, PollersReadContinuouslyAndOthersStandBy)
{
  const auto onDuty = Handle(TableRead{ {}, PositionAt(1) });
  ASSERT_NE(Find<ReadChanges>(onDuty), nullptr);
  EXPECT_EQ(Find<ReadChanges>(onDuty)->m_wait, TableFollower::kPollWait);
  EXPECT_TRUE(Handle(PollingChanged{ false }).empty());
  const auto rest = Handle(ChangesRead{ {}, PositionAt(1) });
  EXPECT_EQ(Find<ReadChanges>(rest), nullptr);
  ASSERT_NE(Find<RetryLater>(rest), nullptr);
  EXPECT_EQ(Find<RetryLater>(rest)->m_delay, TableFollower::kStandbyTimeout);
  const auto back = Handle(PollingChanged{ true });
  ASSERT_NE(Find<ReadChanges>(back), nullptr);
  EXPECT_EQ(Find<ReadChanges>(back)->m_wait, TableFollower::kPollWait);
  EXPECT_TRUE(Handle(PollingChanged{ true }).empty());
  // The timer that was set for standby has no effect once standby has ended.
  EXPECT_TRUE(Handle(RetryDue{}).empty());
}

/**
 * The versions that a peer announces while the instance's own read of the store
 * is unanswered, and how often that read is cancelled and sent again because of
 * them. The instance holds version 9.
 */
struct PeerCase
{
  const char* m_name;
  /** Time of each announcement in milliseconds, and the version that the peer
   * announces as read. */
  std::vector<std::pair<int, std::uint64_t>> m_told;
  std::size_t m_dropped; ///< Number of reads that are cancelled.
};

class PeerTest
  : public TableFollowerTest
  , public ::testing::WithParamInterface<PeerCase>
{};

// Guards against waiting for a read that the store will never answer, because
// its outage began after the read was sent.
TEST_P(PeerTest, LostReadIsSentAgain)
{
  Handle(TableRead{ { { "a", "1", false, 5 } }, PositionAt(9) });
  EXPECT_EQ(m_follower.ChangedPosition(), PositionAt(5));
  std::size_t dropped = 0;
  for (const auto& [at, version] : GetParam().m_told) {
    const auto actions = Handle(PeerIsAhead{ PositionAt(version) }, at);
    if (Find<CancelRead>(actions) != nullptr) {
      ++dropped;
      ASSERT_NE(Find<ReadChanges>(actions), nullptr);
      EXPECT_EQ(Find<ReadChanges>(actions)->m_after, PositionAt(9));
    }
  }
  EXPECT_EQ(dropped, GetParam().m_dropped);
}

INSTANTIATE_TEST_SUITE_P(
  Tellings,
  PeerTest,
  ::testing::Values(
    PeerCase{ "NothingNew", { { 0, 9 }, { 900, 9 } }, 0 },
    PeerCase{ "NewButJustNow", { { 0, 12 }, { 300, 12 } }, 0 },
    PeerCase{ "BehindForLong", { { 0, 12 }, { 400, 12 } }, 1 },
    PeerCase{ "OnceForAVersion", { { 0, 12 }, { 400, 12 }, { 900, 12 } }, 1 },
    PeerCase{ "AgainForTheNext",
              { { 0, 12 }, { 400, 12 }, { 500, 15 }, { 900, 15 } },
              2 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// When all instances start anew, the first ones that have read the table
// announce its version to all others. The announcement must not cancel the
// reads of the whole table that the other instances have under way.
TEST_F(TableFollowerTest, PeerReportDoesNotCancelWholeRead)
{
  Handle(FollowStarted{});
  EXPECT_NE(Find<ReadTable>(Handle(PeersListed{ false })), nullptr);
  EXPECT_TRUE(Handle(PeerIsAhead{ PositionAt(12) }, 0).empty());
  EXPECT_TRUE(Handle(PeerIsAhead{ PositionAt(12) }, 900).empty());
  EXPECT_NE(Find<ApplyRows>(Handle(TableRead{ {}, PositionAt(12) }, 1000)),
            nullptr);
}

TEST_F(TableFollowerTest, APeersOutageCountsForRemovals)
{
  Handle(TableRead{ { { "a", "1", false, 1 } }, PositionAt(1) });
  Handle(PeerLostStore{}, 1000);
  const auto soon =
    Handle(ChangesRead{ { { "a", {}, true, 2 } }, PositionAt(2) }, 2000);
  ASSERT_NE(Find<ApplyRows>(soon), nullptr);
  EXPECT_EQ(Find<ApplyRows>(soon)->m_graceUntil,
            Instant{ Duration{ 1000 } + ExpiryGrace::kPeerGracePeriod });
}

/**
 * An instance's reads fail from 1,000 ms on. At 8,000 ms it gets its first
 * answer, which contains a removal.
 */
struct TurnedAwayCase
{
  const char* m_name;
  /**
   * Spans of time, in milliseconds, in which peers report every 300 ms that
   * their own reads are steady (see `ExpiryGrace::IsSteady`).
   */
  std::vector<std::pair<int, int>> m_steady;
  /** Whether the removed row may merely have expired, so that the removal gets
   * a grace period. */
  bool m_mayHaveExpired;
};

class TurnedAwayTest
  : public TableFollowerTest
  , public ::testing::WithParamInterface<TurnedAwayCase>
{};

// Guards against calls to upstreams that have left. The store rejected one
// instance for seven seconds and served all others; upstreams that left in that
// time had not expired, but got calls for two more seconds. After a cut of a
// data centre, though, its upstreams' rows have expired, and the upstreams are
// sound.
TEST_P(TurnedAwayTest, RowsExpireOnlyInOutageForAll)
{
  Handle(TableRead{ { { "a", "1" } }, PositionAt(1) });
  bool failed = false;
  for (int at = 0; at < 8000; at += 300) {
    if (at >= 1000 && !std::exchange(failed, true)) {
      Handle(ReadFailed{ "no answer" }, at);
    }
    for (const auto& [from, to] : GetParam().m_steady) {
      if (at >= from && at < to) {
        Handle(PeerReadsSteadily{}, at);
      }
    }
  }
  const auto actions =
    Handle(ChangesRead{ { { "a", {}, true, 2 } }, PositionAt(2) }, 8000);
  const auto* apply = Find<ApplyRows>(actions);
  ASSERT_NE(apply, nullptr);
  EXPECT_EQ(apply->m_graceUntil.has_value(), GetParam().m_mayHaveExpired);
  Handle(PeerReadsSteadily{}, 8300); // A later report ends no grace period.
  const auto later =
    Handle(ChangesRead{ { { "b", {}, true, 3 } }, PositionAt(3) }, 8400);
  ASSERT_NE(Find<ApplyRows>(later), nullptr);
  EXPECT_EQ(Find<ApplyRows>(later)->m_graceUntil.has_value(),
            GetParam().m_mayHaveExpired);
}

INSTANTIATE_TEST_SUITE_P(
  Words,
  TurnedAwayTest,
  ::testing::Values(
    TurnedAwayCase{ "PeersReadOn", { { 0, 8000 } }, false },
    TurnedAwayCase{ "NobodyIsHeard", {}, true },
    TurnedAwayCase{ "PeersFailedLater", { { 0, 5000 } }, true },
    TurnedAwayCase{ "CutOffWithItsHall", { { 0, 900 }, { 7500, 8000 } }, true },
    TurnedAwayCase{ "CutOffWhenItBegan", { { 2500, 8000 } }, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Guards against lost or outdated rows when reads fail or history is lost: the
// follower must end with the store's rows, and must never report a value older
// than one it has already reported.
TEST(TableFollowerWorldTest, EndsWithTheRowsOfTheStore)
{
  EXPECT_TRUE(rc::check("lossy store", [] {
    TableFollower follower;
    std::map<std::string, std::string> store;
    std::vector<std::pair<std::uint64_t, FollowedRow>> history;
    std::map<std::string, std::string> told;
    std::uint64_t version = 1;
    std::uint64_t forgotten = 0;
    Instant now{};
    std::vector<FollowAction> pending = follower.Handle(FollowStarted{}, now);
    const auto take = [&](std::vector<FollowAction> aActions) {
      for (FollowAction& action : aActions) {
        if (const auto* apply = std::get_if<ApplyRows>(&action)) {
          for (const FollowedRow& row : apply->m_rows) {
            if (row.m_removed) {
              told.erase(row.m_key);
            } else {
              // The values are versions here, so they may only rise.
              const auto known = told.find(row.m_key);
              const bool rises =
                known == told.end() ||
                std::stoull(known->second) <= std::stoull(row.m_value);
              RC_ASSERT(rises);
              told[row.m_key] = row.m_value;
            }
          }
        }
      }
      pending = std::move(aActions);
    };
    const auto answer = [&](bool aLost) {
      for (const FollowAction& action : pending) {
        if (aLost) {
          take(follower.Handle(ReadFailed{ "lost" }, now));
          return;
        }
        if (std::holds_alternative<ReadTable>(action)) {
          TableRead read{ {}, PositionAt(version) };
          for (const auto& [key, value] : store) {
            read.m_rows.push_back({ key, value });
          }
          take(follower.Handle(read, now));
          return;
        }
        if (const auto* changes = std::get_if<ReadChanges>(&action)) {
          if (changes->m_after.m_version < forgotten) {
            take(follower.Handle(HistoryLost{}, now));
            return;
          }
          ChangesRead read{ {}, PositionAt(version) };
          for (const auto& [at, row] : history) {
            if (at > changes->m_after.m_version) {
              read.m_rows.push_back(row);
            }
          }
          take(follower.Handle(read, now));
          return;
        }
        if (std::holds_alternative<RetryLater>(action)) {
          take(follower.Handle(RetryDue{}, now));
          return;
        }
      }
    };
    for (int i = 0; i < 80; ++i) {
      now += Duration{ 50 };
      const int what = *rc::gen::inRange(0, 6);
      const std::string key(1, static_cast<char>('a' + i % 4));
      if (what == 0) {
        store[key] = std::to_string(++version);
        history.push_back({ version, { key, store[key] } });
      } else if (what == 1 && store.erase(key) > 0) {
        history.push_back({ ++version, { key, {}, true } });
      } else if (what == 2) {
        forgotten = version;
        history.clear();
      } else {
        answer(what == 3);
      }
    }
    for (int i = 0; i < 6; ++i) {
      answer(false);
    }
    RC_ASSERT(told == store);
  }));
}

} // namespace
} // namespace ridgeferry::relay
