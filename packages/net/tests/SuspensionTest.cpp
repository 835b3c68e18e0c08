// A machine that is suspended: the clock that counts all time jumps, while the
// system's timers have stood still.

#include <gtest/gtest.h>
#include <ridgeferry/net/EventLoop.h>

namespace ridgeferry::net {
namespace {

constexpr Duration kSuspension{ 10'000 };
/** Long enough for the clocks to be compared twice. */
constexpr Duration kNoticed = 3 * EventLoop::kLookEvery;

struct TimerCase
{
  Duration m_delay;
  bool m_repeats;
  int m_firesByThen; ///< Once the return is noticed.
  const char* m_name;
};

class SuspensionTest : public ::testing::TestWithParam<TimerCase>
{
protected:
  SuspensionTest()
    : m_loop(EventLoop::Make(
        { [this] { return SystemClocks().m_awake() + m_suspended; },
          [] { return SystemClocks().m_awake(); } }))
  {
  }

  void RunFor(Duration aTime)
  {
    const Watch end = m_loop->After(aTime, [this] { m_loop->Stop(); });
    m_loop->Run();
  }

  Duration m_suspended{};
  std::unique_ptr<EventLoop> m_loop;
};

TEST_P(SuspensionTest, TimersCountItsTime)
{
  int fired = 0;
  const auto fire = [&fired] { ++fired; };
  const Watch timer = GetParam().m_repeats
                        ? m_loop->Every(GetParam().m_delay, fire)
                        : m_loop->After(GetParam().m_delay, fire);
  const Instant before = m_loop->Now();
  RunFor(Duration{ 20 });
  m_suspended = kSuspension;
  RunFor(kNoticed);
  EXPECT_GE(m_loop->Now() - before, kSuspension);
  EXPECT_EQ(fired, GetParam().m_firesByThen);
}

INSTANTIATE_TEST_SUITE_P(
  Timers,
  SuspensionTest,
  ::testing::Values(
    TimerCase{ Duration{ 5000 }, false, 1, "DueMeanwhile" },
    TimerCase{ kSuspension + Duration{ 150 }, false, 1, "DueSoonBehindIt" },
    TimerCase{ kSuspension + Duration{ 5000 }, false, 0, "DueLaterBehindIt" },
    TimerCase{ Duration{ 5 }, false, 1, "FiredBefore" },
    TimerCase{ Duration{ 5000 }, true, 1, "Repeating" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(SystemClocksTest, AllTimeIsNoLessThanTimeAwake)
{
  const Clocks clocks = SystemClocks();
  const Duration first = clocks.m_all() - clocks.m_awake();
  const Duration second = clocks.m_all() - clocks.m_awake();
  EXPECT_LT(second - first, EventLoop::kSuspended);
}

} // namespace
} // namespace ridgeferry::net
