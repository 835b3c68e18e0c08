// Tests `TableFollower` with a store that was restored from an older copy,
// which starts a new generation of the store.

#include "Positions.h"

#include <gtest/gtest.h>
#include <ridgeferry/relay/TableFollower.h>
#include <type_traits>

namespace ridgeferry::relay {
namespace {

// A number must not convert to a position, so that code that compares the two
// does not compile.
static_assert(!std::is_convertible_v<std::uint64_t, StorePosition>);

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

struct OrderCase
{
  const char* m_name;
  StorePosition m_lower;
  StorePosition m_higher;
};

class StorePositionTest : public ::testing::TestWithParam<OrderCase>
{};

TEST_P(StorePositionTest, TheGenerationGoesFirst)
{
  EXPECT_LT(GetParam().m_lower, GetParam().m_higher);
}

INSTANTIATE_TEST_SUITE_P(
  Orders,
  StorePositionTest,
  ::testing::Values(OrderCase{ "Version", { 1, 4 }, { 1, 5 } },
                    OrderCase{ "Generation", { 1, 500 }, { 2, 3 } },
                    OrderCase{ "NoneTold", { 0, 500 }, { 1, 0 } },
                    OrderCase{ "SameVersion", { 1, 7 }, { 2, 7 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** Position of the table before the store is restored. */
constexpr StorePosition kHeld = PositionAt(54);
/** Generation of the restored store. */
constexpr StoreGeneration kNext = kOnlyGeneration + 1;
/** Position of the restored store. */
constexpr StorePosition kOfCopy{ kNext, 30 };

enum class State
{
  Poller,
  Standby,
  Lost, ///< The instance's reads fail.
};

/**
 * The event by which a follower learns of the next generation, and its first
 * reaction.
 */
struct SightCase
{
  const char* m_name;
  State m_state;
  FollowEvent m_sight;
  bool m_readsTable;
  bool m_asksPeer;
};

class GenerationSightTest : public ::testing::TestWithParam<SightCase>
{
protected:
  GenerationSightTest()
  {
    Handle(TableRead{ { { "a", "1", false, 50 } }, kHeld });
    if (GetParam().m_state == State::Standby) {
      Handle(PollingChanged{ false, false });
      // Answer to the read that was under way.
      Handle(ChangesRead{ {}, kHeld });
    }
    if (GetParam().m_state == State::Lost) {
      Handle(ReadFailed{ "away" });
    }
  }

  std::vector<FollowAction> Handle(const FollowEvent& aEvent, int aAtMs = 0)
  {
    return m_follower.Handle(aEvent, Instant{ Duration{ aAtMs } });
  }

  TableFollower m_follower;
};

TEST_P(GenerationSightTest, StartsAWholeReadAtOnce)
{
  const auto actions = Handle(GetParam().m_sight, 10);
  EXPECT_EQ(Find<ReadTable>(actions) != nullptr, GetParam().m_readsTable);
  EXPECT_EQ(Find<AskPeer>(actions) != nullptr, GetParam().m_asksPeer);
  EXPECT_EQ(m_follower.Generation(), kNext);
  // No row of the new generation is known yet, so the position is still the
  // previous one.
  EXPECT_EQ(m_follower.Position(), kHeld);
  // Only the first sign of a generation counts.
  EXPECT_TRUE(Handle(GenerationSeen{ kNext }, 11).empty());
}

INSTANTIATE_TEST_SUITE_P(
  Sights,
  GenerationSightTest,
  ::testing::Values(
    SightCase{ "Forgotten", State::Poller, HistoryLost{ kNext }, true, false },
    SightCase{ "Changes",
               State::Poller,
               ChangesRead{ { { "b", "1", false, 60 } }, { kNext, 60 } },
               true,
               false },
    SightCase{ "NoChanges",
               State::Poller,
               ChangesRead{ {}, { kNext, 54 } },
               true,
               false },
    SightCase{ "OtherAnswer",
               State::Poller,
               GenerationSeen{ kNext },
               true,
               false },
    SightCase{ "Peer", State::Poller, PeerIsAhead{ kOfCopy }, true, false },
    SightCase{ "PeerOfOneAtRest",
               State::Standby,
               PeerIsAhead{ kOfCopy },
               false,
               true },
    SightCase{ "OtherAnswerOfOneAtRest",
               State::Standby,
               GenerationSeen{ kNext },
               false,
               true },
    SightCase{ "PeerOfOneTurnedAway",
               State::Lost,
               PeerIsAhead{ kOfCopy },
               false,
               true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

class OlderCopyTest : public ::testing::Test
{
protected:
  std::vector<FollowAction> Handle(const FollowEvent& aEvent, int aAtMs = 0)
  {
    return m_follower.Handle(aEvent, Instant{ Duration{ aAtMs } });
  }

  TableFollower m_follower;
};

TEST_F(OlderCopyTest, IsAcceptedAndMarkedAsCopy)
{
  Handle(
    TableRead{ { { "a", "2", false, 50 }, { "b", "1", false, 52 } }, kHeld });
  Handle(HistoryLost{ kNext }, 10);
  const auto actions =
    Handle(TableRead{ { { "a", "1", false, 20 } }, kOfCopy }, 20);
  const auto* apply = Find<ApplyRows>(actions);
  ASSERT_NE(apply, nullptr);
  EXPECT_EQ(apply->m_positionBeforeCopy, kHeld);
  ASSERT_EQ(apply->m_rows.size(), 2U);
  EXPECT_EQ(apply->m_rows[0].m_value, "1");
  EXPECT_TRUE(apply->m_rows[1].m_removed);
  // A row that the copy lacks may be written again, so its removal gets a grace
  // period although no read has failed.
  EXPECT_EQ(apply->m_graceUntil,
            Instant{ Duration{ 10 } + ExpiryGrace::kGracePeriod });
  EXPECT_EQ(m_follower.Position(), kOfCopy);
  EXPECT_EQ(m_follower.ChangedPosition(), (StorePosition{ kNext, 20 }));
  // Later changes are ordinary changes again.
  const auto later =
    Handle(ChangesRead{ { { "b", "1", false, 31 } }, { kNext, 31 } }, 30);
  ASSERT_NE(Find<ApplyRows>(later), nullptr);
  EXPECT_FALSE(Find<ApplyRows>(later)->m_positionBeforeCopy.has_value());
}

// Guards against data of the previous generation: answers and slices that were
// made before the store went away may arrive after its return.
TEST_F(OlderCopyTest, AnswersOfPreviousGenerationAreRejected)
{
  Handle(TableRead{ {}, kHeld });
  Handle(HistoryLost{ kNext });
  const StorePosition late = PositionAt(99);
  const auto whole = Handle(TableRead{ { { "a", "1" } }, late });
  EXPECT_EQ(Find<ApplyRows>(whole), nullptr);
  ASSERT_NE(Find<AnswerIsOld>(whole), nullptr);
  EXPECT_EQ(Find<AnswerIsOld>(whole)->m_position, late);
  EXPECT_NE(Find<RetryLater>(whole), nullptr);
  const auto changes = Handle(ChangesRead{ { { "a", "1", false, 98 } }, late });
  EXPECT_EQ(Find<ApplyRows>(changes), nullptr);
  const TableSlice slice{ late, true, { { "a", "1", false, 98 } } };
  EXPECT_EQ(Find<ApplyRows>(Handle(PeerAnswered{ slice })), nullptr);
  EXPECT_TRUE(Handle(PeerIsAhead{ late }).empty());
}

// Guards against an incomplete table. The changes were requested by an instance
// whose reads fail, and were answered after a peer had delivered the present
// generation. The answer lacks the changes of that generation below the version
// that the request named.
TEST_F(OlderCopyTest, ChangesRequestedOfPreviousGenerationAreIncomplete)
{
  Handle(TableRead{ {}, kHeld });
  Handle(ReadFailed{ "away" });
  EXPECT_NE(Find<ReadChanges>(Handle(RetryDue{}, 200)), nullptr);
  Handle(PeerIsAhead{ kOfCopy }, 210);
  const TableSlice slice{ kOfCopy, true, {} };
  Handle(PeerAnswered{ slice }, 220);
  const auto actions =
    Handle(ChangesRead{ { { "b", "1", false, 60 } }, { kNext, 60 } }, 230);
  EXPECT_EQ(Find<ApplyRows>(actions), nullptr);
  ASSERT_NE(Find<ReadChanges>(actions), nullptr);
  EXPECT_EQ(Find<ReadChanges>(actions)->m_after, kOfCopy);
}

// Guards against waiting for a read that was lost with the previous generation.
// An instance that has just stopped polling still has a held read under way;
// that read must not keep it from asking a peer.
TEST_F(OlderCopyTest, ReadUnderWayIsCancelled)
{
  Handle(TableRead{ {}, kHeld });
  Handle(PollingChanged{ false, false });
  const auto actions = Handle(PeerIsAhead{ kOfCopy }, 10);
  EXPECT_NE(Find<CancelRead>(actions), nullptr);
  EXPECT_NE(Find<AskPeer>(actions), nullptr);
  EXPECT_NE(Find<ReadTable>(Handle(RetryDue{}, 900)), nullptr);
}

TEST_F(OlderCopyTest, StandbyInstanceTakesCopyFromPeer)
{
  Handle(PollingChanged{ false, false });
  Handle(TableRead{ { { "a", "2", false, 50 } }, kHeld });
  const auto asks = Handle(PeerIsAhead{ kOfCopy }, 10);
  ASSERT_NE(Find<AskPeer>(asks), nullptr);
  EXPECT_EQ(Find<AskPeer>(asks)->m_after, (StorePosition{ kNext, 0 }));
  const TableSlice slice{ kOfCopy, true, { { "a", "1", false, 20 } } };
  const auto taken = Handle(PeerAnswered{ slice }, 20);
  ASSERT_NE(Find<ApplyRows>(taken), nullptr);
  EXPECT_EQ(Find<ApplyRows>(taken)->m_positionBeforeCopy, kHeld);
  // The instance goes back on standby.
  EXPECT_EQ(Find<ReadTable>(taken), nullptr);
}

TEST_F(OlderCopyTest, StandbyInstanceReadsStoreIfNoPeerHasCopy)
{
  Handle(PollingChanged{ false, false });
  Handle(TableRead{ {}, kHeld });
  const auto asks = Handle(GenerationSeen{ kNext }, 10);
  ASSERT_NE(Find<RetryLater>(asks), nullptr);
  EXPECT_EQ(Find<RetryLater>(asks)->m_delay, TableFollower::kAskPeerTimeout);
  // Another peer is asked.
  EXPECT_NE(Find<AskPeer>(Handle(PeerFailed{}, 200)), nullptr);
  EXPECT_NE(Find<ReadTable>(Handle(RetryDue{}, 810)), nullptr);
}

// Guards against an instance that serves outdated rows because the store,
// restored from a copy, does not answer it. A poller asked the store for the
// whole table, and asked no peer while that read was under way, which took 2.5
// s or more. Found by enumerating all states that two faults lead to
// (`FreshnessModelTest`).
TEST_F(OlderCopyTest, IgnoredInstanceTakesCopyFromPeer)
{
  constexpr int kBehind =
    static_cast<int>(TableFollower::kBehindTimeout.count());
  Handle(TableRead{ { { "a", "2", false, 50 } }, kHeld });
  const auto seen = Handle(PeerIsAhead{ kOfCopy }, 10);
  EXPECT_NE(Find<ReadTable>(seen), nullptr);
  // The store usually answers within `kBehindTimeout`, so no peer is needed.
  EXPECT_TRUE(Handle(PeerIsAhead{ kOfCopy }, 110).empty());
  EXPECT_TRUE(Handle(PeerIsAhead{ kOfCopy }, 109 + kBehind).empty());
  const auto asks = Handle(PeerIsAhead{ kOfCopy }, 110 + kBehind);
  EXPECT_NE(Find<AskPeer>(asks), nullptr);
  // The store may still answer the read.
  EXPECT_EQ(Find<CancelRead>(asks), nullptr);
  const TableSlice slice{ kOfCopy, true, { { "a", "1", false, 20 } } };
  EXPECT_NE(Find<ApplyRows>(Handle(PeerAnswered{ slice }, 700)), nullptr);
  EXPECT_EQ(m_follower.Position(), kOfCopy);
}

/**
 * A known row, the row in a restored copy, and the rows that are reported then.
 */
struct CachedCase
{
  const char* m_name;
  /** std::nullopt if the copy has no such row. */
  std::optional<std::string> m_copy;
  StorePosition m_position; ///< Position of the table read from the copy.
  std::size_t m_told;       ///< Number of rows reported as different.
  /** The value that a peer gets afterwards; empty if it gets no row. */
  std::string m_kept;
};

class KeptRowTest : public ::testing::TestWithParam<CachedCase>
{};

TEST_P(KeptRowTest, OutlastsAnOlderCopyOnly)
{
  FollowedTable table(
    [](std::string_view, std::string_view aKnown, const std::string* aTold) {
      return aTold == nullptr || *aTold < aKnown;
    });
  table.Replace(std::vector<FollowedRow>{ { "c", "5", false, 50 } }, kHeld);
  std::vector<FollowedRow> copy;
  if (GetParam().m_copy) {
    copy.push_back({ "c", *GetParam().m_copy, false, 20 });
  }
  EXPECT_EQ(table.Replace(copy, GetParam().m_position).size(),
            GetParam().m_told);
  const TableSlice slice = table.Since({});
  EXPECT_EQ(slice.m_rows.empty() ? "" : slice.m_rows[0].m_value,
            GetParam().m_kept);
}

INSTANTIATE_TEST_SUITE_P(
  Copies,
  KeptRowTest,
  ::testing::Values(CachedCase{ "Older", "4", kOfCopy, 0, "5" },
                    CachedCase{ "Missing", std::nullopt, kOfCopy, 0, "5" },
                    CachedCase{ "TheSame", "5", kOfCopy, 0, "5" },
                    CachedCase{ "Newer", "6", kOfCopy, 1, "6" },
                    // A peer has read only the copy and a later change.
                    CachedCase{ "OlderAtAPeer", "4", PositionAt(60), 0, "5" },
                    CachedCase{ "NewerAtAPeer", "6", PositionAt(60), 1, "6" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
