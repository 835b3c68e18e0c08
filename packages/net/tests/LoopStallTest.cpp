// A loop that made no turn for a while tells it.

#include <ctime>
#include <gtest/gtest.h>
#include <ridgeferry/net/EventLoop.h>

namespace ridgeferry::net {
namespace {

struct StallCase
{
  Duration m_paused;    ///< Both clocks go on, nothing runs.
  Duration m_suspended; ///< Only the clock that counts all time goes on.
  int m_stalls;
  const char* m_name;
};

class LoopStallTest : public ::testing::TestWithParam<StallCase>
{
protected:
  LoopStallTest()
    : m_loop(
        EventLoop::Make({ [this] { return m_turnAt + m_paused + m_suspended; },
                          [this] { return m_turnAt + m_paused; } }))
    , m_turn(m_loop->Every(Duration{ 1 },
                           [this] { m_turnAt = SystemClocks().m_awake(); }))
  {
  }

  /** Both clocks go by it, so that they agree in each callback. */
  Instant m_turnAt = SystemClocks().m_awake();
  Duration m_paused{};
  Duration m_suspended{};
  std::unique_ptr<EventLoop> m_loop;
  Watch m_turn;
};

TEST_P(LoopStallTest, IsTold)
{
  std::vector<LoopStall> stalls;
  m_loop->SignalStalled().connect(
    [&stalls](const LoopStall& aStall) { stalls.push_back(aStall); });
  const Watch pause = m_loop->After(
    2 * EventLoop::kLookEvery + EventLoop::kLookEvery / 2, [this] {
      m_paused = GetParam().m_paused;
      m_suspended = GetParam().m_suspended;
    });
  const Watch end =
    m_loop->After(10 * EventLoop::kLookEvery, [this] { m_loop->Stop(); });
  m_loop->Run();
  ASSERT_EQ(static_cast<int>(stalls.size()), GetParam().m_stalls);
  for (const LoopStall& stall : stalls) {
    EXPECT_GE(stall.m_for, GetParam().m_paused + GetParam().m_suspended);
    EXPECT_EQ(stall.m_suspended, GetParam().m_suspended);
    EXPECT_LT(stall.m_busy, EventLoop::kStall); // Only the clocks went on.
  }
}

TEST(LoopBusyTest, AStallByACallbackIsTold)
{
  const auto loop = EventLoop::Make();
  std::vector<LoopStall> stalls;
  loop->SignalStalled().connect(
    [&stalls](const LoopStall& aStall) { stalls.push_back(aStall); });
  const Watch work = loop->After(Duration{ 1 }, [] {
    const auto processorTime = [] {
      return Duration{ 1000 * clock() / CLOCKS_PER_SEC };
    };
    const Duration began = processorTime();
    while (processorTime() - began < 2 * EventLoop::kStall) {
    }
  });
  const Watch end =
    loop->After(10 * EventLoop::kLookEvery, [&] { loop->Stop(); });
  loop->Run();
  ASSERT_FALSE(stalls.empty());
  EXPECT_GE(stalls.front().m_busy, EventLoop::kStall);
}

INSTANTIATE_TEST_SUITE_P(
  Pauses,
  LoopStallTest,
  ::testing::Values(
    StallCase{ EventLoop::kStall / 10, {}, 0, "TooShort" },
    StallCase{ EventLoop::kStall, {}, 1, "Paused" },
    StallCase{ {}, EventLoop::kStall, 1, "Suspended" },
    StallCase{ EventLoop::kStall, EventLoop::kStall, 1, "PausedAndSuspended" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::net
