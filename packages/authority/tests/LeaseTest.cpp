#include "MemoryTable.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <ridgeferry/authority/Lease.h>

namespace ridgeferry::authority {
namespace {

constexpr Duration kTick{ 200 };

/** A contender that executes its actions on a table; reads can be made to fail.
 */
class LeaseHarness
{
public:
  explicit LeaseHarness(const std::string& aProcess)
    : m_lease("hall", aProcess)
  {
  }

  void RunFor(support::MemoryTable& aTable, Duration aTime, bool aReadsFail)
  {
    const Instant end = m_now + aTime;
    while (m_now < end) {
      m_now += kTick;
      Execute(aTable, m_lease.Handle(LeaseTick{}, m_now), aReadsFail);
    }
  }

  void Execute(support::MemoryTable& aTable,
               const std::vector<LeaseAction>& aActions,
               bool aReadsFail)
  {
    for (const LeaseAction& action : aActions) {
      if (std::holds_alternative<ReadLease>(action)) {
        LeaseRead read;
        if (!aReadsFail) {
          read = { { table::ReadStatus::Ok, aTable.Read(LeaseKey("hall")) },
                   { table::ReadStatus::Ok, aTable.Read(FenceKey("hall")) } };
        }
        Execute(aTable, m_lease.Handle(read, m_now), aReadsFail);
      }
      if (const auto* write = std::get_if<WriteLease>(&action)) {
        const auto result = aTable.Commit(write->m_transaction)
                              ? table::CommitResult::Committed
                              : table::CommitResult::Conflict;
        Execute(aTable,
                m_lease.Handle(LeaseWritten{ write->m_attempt, result }, m_now),
                aReadsFail);
      }
    }
  }

  bool Holds() const { return m_lease.HasAuthority(m_now); }
  Lease& Machine() { return m_lease; }
  Instant Now() const { return m_now; }

private:
  Lease m_lease;
  Instant m_now{ Duration{ 1'000'000 } };
};

// With hundreds of instances, reads by processes that never acquire the lease
// would be most of the store's calls. Such a process still reads once at its
// start, because after all instances were lost no other process could tell it
// who held the lease.
TEST(LeaseTest, AProcessThatNeverContendsReadsOnce)
{
  LeaseTimes times;
  times.m_idlePollFactor = 0;
  Lease lease("hall", "p", times);
  Instant now{ Duration{ 1'000'000 } };
  const auto tick = [&](bool aContends) {
    now += kTick;
    return lease.Handle(LeaseTick{ aContends }, now).size();
  };
  EXPECT_EQ(tick(false), 1U);
  lease.Handle(LeaseRead{}, now); // The read failed.
  std::size_t asked = 0;
  for (Duration waited{}; waited <= times.m_pollEvery; waited += kTick) {
    asked += tick(false);
  }
  EXPECT_EQ(asked, 1U);
  const table::ReadResult empty{ table::ReadStatus::Ok, {} };
  lease.Handle(LeaseRead{ empty, empty }, now);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(tick(false), 0U);
  }
  EXPECT_EQ(tick(true), 1U);
}

// Guards against a holder that does not renew in time: the holder must keep its
// authority and its fencing number for many terms.
TEST(LeaseTest, TakesAFreeLeaseAndKeepsIt)
{
  support::MemoryTable table;
  LeaseHarness first("first");
  first.RunFor(table, Duration{ 3000 }, false);
  EXPECT_TRUE(first.Holds());
  first.RunFor(table, Duration{ 60'000 }, false);
  EXPECT_TRUE(first.Holds());
  EXPECT_EQ(first.Machine().Fencing(), 1U);
}

// Guards against a contender that stops for ever: the read that should settle
// its write failed, and the contender never made another read.
TEST(LeaseTest, GoesOnAfterTheReadBehindAWriteFailed)
{
  support::MemoryTable table;
  LeaseHarness first("first");
  first.RunFor(table, kTick, false);
  first.RunFor(table, Duration{ 3000 }, true);
  EXPECT_FALSE(first.Holds());
  first.RunFor(table, Duration{ 20'000 }, false);
  EXPECT_TRUE(first.Holds());
}

TEST(LeaseTest, ReadsSeldomWhileItDoesNotContend)
{
  Lease lease("hall", "process");
  Instant now{ Duration{ 1'000'000 } };
  int reads = 0;
  for (int i = 0; i < 300; ++i) {
    now += kTick;
    for (const LeaseAction& action : lease.Handle(LeaseTick{ false }, now)) {
      reads += std::holds_alternative<ReadLease>(action) ? 1 : 0;
    }
  }
  EXPECT_EQ(reads, 6); // Within 60 s, in which a contender reads 60 times.
}

// Guards against a holder that keeps its authority although it cannot renew its
// lease, as all reads of the store fail.
TEST(LeaseTest, LosesAuthorityWhenTheStoreIsUnreachable)
{
  support::MemoryTable table;
  LeaseHarness first("first");
  first.RunFor(table, Duration{ 3000 }, false);
  ASSERT_TRUE(first.Holds());
  first.RunFor(table, Duration{ 10'000 }, true);
  EXPECT_FALSE(first.Holds());
}

// Guards against two holders at the same time: a contender must not acquire the
// lease before the row has stayed unchanged for a whole term and margin.
TEST(LeaseTest, IsTakenOverOnlyAfterAWholeTermWithoutRenewal)
{
  const LeaseTimes times;
  support::MemoryTable table;
  LeaseHarness first("first");
  LeaseHarness second("second");
  first.RunFor(table, Duration{ 3000 }, false);
  second.RunFor(table, times.m_term, false);
  EXPECT_FALSE(second.Holds());
  second.RunFor(table, times.m_margin + Duration{ 3000 }, false);
  EXPECT_TRUE(second.Holds());
  EXPECT_EQ(second.Machine().Fencing(), 2U);
}

/** Returns the current rows of the store as the answer to a read. */
LeaseRead
Answer(const support::MemoryTable& aTable)
{
  return { { table::ReadStatus::Ok, aTable.Read(LeaseKey("hall")) },
           { table::ReadStatus::Ok, aTable.Read(FenceKey("hall")) } };
}

/**
 * Advances the time until the lease asks for a write. Returns std::nullopt if
 * it asks for none within 100 ticks.
 */
std::optional<WriteLease>
NextWrite(Lease& aLease, Instant& aNow)
{
  constexpr int kMostTicks = 100;
  for (int i = 0; i < kMostTicks; ++i) {
    aNow += kTick;
    for (const LeaseAction& action : aLease.Handle(LeaseTick{}, aNow)) {
      if (const auto* write = std::get_if<WriteLease>(&action)) {
        return *write;
      }
    }
  }
  return std::nullopt;
}

// Guards against two holders at the same time. Two reads arrive in the wrong
// order, so the holder mistakes an older row for the newest one and acquires
// the lease again. If this second write had the same content as the first one,
// a read from before the second write would confirm it, while another process
// has seen the row unchanged for a whole term and may acquire the lease.
TEST(LeaseTest, ARowOfAnEarlierAcquisitionConfirmsNoLaterOne)
{
  support::MemoryTable table;
  Lease lease("hall", "first");
  Instant now{ Duration{ 1'000'000 } };
  const LeaseRead before = Answer(table);
  lease.Handle(before, now);
  const auto taking = NextWrite(lease, now);
  ASSERT_TRUE(taking.has_value());
  table.Commit(taking->m_transaction);
  lease.Handle(
    LeaseWritten{ taking->m_attempt, table::CommitResult::Committed }, now);
  lease.Handle(Answer(table), now);
  ASSERT_TRUE(lease.HasAuthority(now));
  lease.Handle(before, now); // An older read arrives late.
  EXPECT_FALSE(lease.HasAuthority(now));
  const auto again = NextWrite(lease, now);
  ASSERT_TRUE(again.has_value());
  lease.Handle(Answer(table), now); // Read before the second write.
  EXPECT_FALSE(lease.HasAuthority(now));
}

// Guards against authority beyond the term: the term is counted from the moment
// of the write, so a write that is confirmed a whole term later gives none.
TEST(LeaseTest, AWriteConfirmedAfterItsTermGainsNothing)
{
  support::MemoryTable table;
  Lease lease("hall", "first");
  Instant now{ Duration{ 1'000'000 } };
  lease.Handle(Answer(table), now);
  const auto taking = NextWrite(lease, now);
  ASSERT_TRUE(taking.has_value());
  table.Commit(taking->m_transaction);
  now += LeaseTimes{}.m_term;
  EXPECT_TRUE(lease.Handle(Answer(table), now).empty());
  EXPECT_FALSE(lease.HasAuthority(now));
}

// Guards against a planned stop that leaves the data centre without a planner
// for a whole term.
TEST(LeaseTest, IsFreeAtOnceAfterAResignation)
{
  support::MemoryTable table;
  LeaseHarness first("first");
  LeaseHarness second("second");
  first.RunFor(table, Duration{ 3000 }, false);
  first.Execute(
    table, first.Machine().Handle(LeaseResign{}, first.Now()), false);
  EXPECT_FALSE(first.Holds());
  second.RunFor(table, Duration{ 2000 }, false);
  EXPECT_TRUE(second.Holds());
}

} // namespace
} // namespace ridgeferry::authority
