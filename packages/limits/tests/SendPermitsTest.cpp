#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/limits/SendPermits.h>

namespace ridgeferry::limits {
namespace {

constexpr Instant kStart{ Duration{ 100'000 } };

/** Sends whenever it may, each millisecond, and returns how often. */
int
SendFor(SendPermits& aPermits, Instant aFrom, Duration aTime)
{
  int sent = 0;
  for (Instant now = aFrom; now < aFrom + aTime; now += Duration{ 1 }) {
    if (aPermits.MaySend(false, now)) {
      aPermits.Take(now);
      ++sent;
    }
  }
  return sent;
}

TEST(SendPermitsTest, NothingMayBeSentWithoutARate)
{
  SendPermits permits(0);
  EXPECT_FALSE(permits.MaySend(false, kStart));
  EXPECT_EQ(permits.RoomIn(false, kStart), Duration::max());
  permits.SetRate(2, kStart);
  EXPECT_TRUE(permits.MaySend(false, kStart));
  permits.SetRate(0, kStart);
  EXPECT_FALSE(permits.MaySend(false, kStart + Duration{ 9000 }));
}

TEST(SendPermitsTest, PermitsThatAreNotUsedExpire)
{
  SendPermits permits(0);
  permits.SetRate(2, kStart);
  const Instant later = kStart + Duration{ 60'000 };
  int sent = 0;
  for (; permits.MaySend(false, later); ++sent) {
    permits.Take(later);
  }
  EXPECT_LE(sent, 5);
  EXPECT_GE(sent, 4);
}

// A less urgent call must not take what a more urgent one waits for.
TEST(SendPermitsTest, LessUrgentCallsLeaveFreshPermits)
{
  SendPermits permits(0);
  permits.SetRate(1, kStart);
  EXPECT_TRUE(permits.MaySend(false, kStart));
  EXPECT_FALSE(permits.MaySend(true, kStart));
  EXPECT_EQ(permits.RoomIn(true, kStart), SendPermits::kYieldTime);
  EXPECT_TRUE(permits.MaySend(true, kStart + SendPermits::kYieldTime));
}

TEST(SendPermitsTest, ASendWithoutAPermitDelaysTheNext)
{
  SendPermits permits(0);
  permits.SetRate(1, kStart);
  permits.Take(kStart);
  permits.Take(kStart);
  EXPECT_EQ(permits.RoomIn(false, kStart), Duration{ 2000 });
}

RC_GTEST_PROP(SendPermitsProperty, TheRateHolds, ())
{
  const double phase = *rc::gen::inRange(0, 1000) / 1000.0;
  SendPermits permits(phase);
  Instant now = kStart;
  double most = 0;
  int sent = 0;
  const int changes = *rc::gen::inRange(1, 8);
  double highest = 0;
  for (int i = 0; i < changes; ++i) {
    const double rate = *rc::gen::inRange(1, 400) / 10.0;
    const Duration time(*rc::gen::inRange(1, 3000));
    permits.SetRate(rate, now);
    sent += SendFor(permits, now, time);
    now += time;
    most += rate * std::chrono::duration<double>(time).count();
    highest = std::max(highest, rate);
  }
  // One more may stand at each end.
  RC_ASSERT(sent <= most + 2);
}

} // namespace
} // namespace ridgeferry::limits
