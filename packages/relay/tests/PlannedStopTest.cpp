#include <gtest/gtest.h>
#include <ridgeferry/relay/PlannedStop.h>

namespace ridgeferry::relay {
namespace {

constexpr Duration kGrace{ 8000 };

/** The decisions that are expected at a time after the signal to stop, while a
 * number of calls is still running. */
struct StopCase
{
  const char* m_name;
  int m_afterMs;
  std::size_t m_running;
  bool m_acceptsCalls;
  bool m_closesIdleConnections;
  bool m_mayEnd;
};

class PlannedStopTest : public ::testing::TestWithParam<StopCase>
{};

TEST_P(PlannedStopTest, TakesEachStepAtItsTime)
{
  const StopCase& given = GetParam();
  PlannedStop stop;
  const Instant start{ Duration{ 1000 } };
  stop.Begin(kGrace, start);
  const Instant now = start + Duration{ given.m_afterMs };
  EXPECT_EQ(stop.AcceptsCalls(now), given.m_acceptsCalls);
  EXPECT_EQ(stop.ClosesIdleConnections(now), given.m_closesIdleConnections);
  EXPECT_EQ(stop.MayEnd(given.m_running, now), given.m_mayEnd);
}

INSTANTIATE_TEST_SUITE_P(
  Moments,
  PlannedStopTest,
  ::testing::Values(
    StopCase{ "AtOnce", 0, 0, true, false, false },
    StopCase{ "TheBalancerMayStillSend", 2000, 0, true, false, false },
    StopCase{ "RestingConnectionsGoFirst", 2600, 3, true, true, false },
    // A stream accepted at this time could be interrupted by the end of the
    // grace period.
    StopCase{ "NoCallAfterThreeSeconds", 3000, 3, false, true, false },
    StopCase{ "EndsWhenNothingRuns", 3600, 0, false, true, true },
    StopCase{ "WaitsForWhatRuns", 7000, 1, false, true, false },
    StopCase{ "EndsBeforeItIsKilled", 7500, 1, false, true, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// If a second signal restarted the stop, calls would be accepted again and the
// process could be killed before they end.
TEST(PlannedStopOnceTest, ASecondSignalChangesNothing)
{
  PlannedStop stop;
  const Instant start{ Duration{ 1000 } };
  EXPECT_TRUE(stop.AcceptsCalls(start));
  EXPECT_FALSE(stop.ClosesIdleConnections(start));
  EXPECT_FALSE(stop.MayEnd(0, start));
  stop.Begin(kGrace, start);
  stop.Begin(kGrace, start + Duration{ 3000 });
  EXPECT_FALSE(stop.AcceptsCalls(start + Duration{ 3100 }));
}

} // namespace
} // namespace ridgeferry::relay
