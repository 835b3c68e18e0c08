#include "MemoryTable.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <ridgeferry/authority/Lease.h>

namespace ridgeferry::authority {
namespace {

constexpr Duration kTick{ 200 };

/** One contender and its table, whose reads can be made to fail. */
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
      Carry(aTable, m_lease.Handle(LeaseTick{}, m_now), aReadsFail);
    }
  }

  void Carry(support::MemoryTable& aTable,
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
        Carry(aTable, m_lease.Handle(read, m_now), aReadsFail);
      }
      if (const auto* write = std::get_if<WriteLease>(&action)) {
        const auto result = aTable.Commit(write->m_transaction)
                              ? table::CommitResult::Committed
                              : table::CommitResult::Conflict;
        Carry(aTable,
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

// With hundreds of instances the reads of those that never take it would be
// most of the store's calls. One at its start brings what was found before:
// after a loss of all instances nobody else could tell it.
TEST(LeaseTest, OneThatNeverContendsReadsOnce)
{
  LeaseTimes times;
  times.m_seldom = 0;
  Lease lease("hall", "p", times);
  Instant now{ Duration{ 1'000'000 } };
  const auto tick = [&](bool aContends) {
    now += kTick;
    return lease.Handle(LeaseTick{ aContends }, now).size();
  };
  EXPECT_EQ(tick(false), 1U);
  lease.Handle(LeaseRead{}, now); // It failed.
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

// The read that settles a write failed, and no further read was ever made: the
// contender never took part again.
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
  EXPECT_EQ(reads, 6); // In 60 s; a contender makes 60.
}

TEST(LeaseTest, LosesAuthorityWhenTheTableIsAway)
{
  support::MemoryTable table;
  LeaseHarness first("first");
  first.RunFor(table, Duration{ 3000 }, false);
  ASSERT_TRUE(first.Holds());
  first.RunFor(table, Duration{ 10'000 }, true);
  EXPECT_FALSE(first.Holds());
}

TEST(LeaseTest, IsTakenOverOnlyAfterAWholeTermOfSilence)
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

/** What the store has, as an answer to a read. */
LeaseRead
Answer(const support::MemoryTable& aTable)
{
  return { { table::ReadStatus::Ok, aTable.Read(LeaseKey("hall")) },
           { table::ReadStatus::Ok, aTable.Read(FenceKey("hall")) } };
}

/** Ticks until the machine writes; nothing: it never did. */
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

// Two reads overtook each other, so the holder took an older row for the newest
// and, a term later, took the lease anew with the words of its first taking. A
// read from before that second write then confirmed it, while another process
// had seen the row stand for a whole term: two held.
TEST(LeaseTest, ARowOfAnEarlierTakingConfirmsNoLaterOne)
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
  lease.Handle(before, now); // Overtaken on its way.
  EXPECT_FALSE(lease.HasAuthority(now));
  const auto again = NextWrite(lease, now);
  ASSERT_TRUE(again.has_value());
  lease.Handle(Answer(table), now); // From before that write.
  EXPECT_FALSE(lease.HasAuthority(now));
}

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

TEST(LeaseTest, IsFreeAtOnceAfterAResignation)
{
  support::MemoryTable table;
  LeaseHarness first("first");
  LeaseHarness second("second");
  first.RunFor(table, Duration{ 3000 }, false);
  first.Carry(table, first.Machine().Handle(LeaseResign{}, first.Now()), false);
  EXPECT_FALSE(first.Holds());
  second.RunFor(table, Duration{ 2000 }, false);
  EXPECT_TRUE(second.Holds());
}

} // namespace
} // namespace ridgeferry::authority
