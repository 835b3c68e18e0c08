#include <algorithm>
#include <gtest/gtest.h>
#include <ridgeferry/membership/Roster.h>

namespace ridgeferry::membership {
namespace {

constexpr Instant kStart{ Duration{ 1'000'000 } };

Heartbeat
From(const std::string& aInstance, std::uint64_t aIncarnation = 1)
{
  Heartbeat out;
  out.m_instance = aInstance;
  out.m_incarnation = aIncarnation;
  out.m_peerAddress = aInstance + ":1";
  return out;
}

template<typename Action>
std::size_t
Count(const std::vector<RosterAction>& aActions)
{
  return static_cast<std::size_t>(std::count_if(
    aActions.begin(), aActions.end(), [](const RosterAction& aAction) {
      return std::holds_alternative<Action>(aAction);
    }));
}

TEST(RosterTest, CountsWhoIsHeardAndNotLeaving)
{
  Roster roster("a");
  roster.Handle(HeartbeatArrived{ From("b") }, kStart);
  roster.Handle(HeartbeatArrived{ From("c") }, kStart);
  EXPECT_EQ(roster.LiveCount(), 3U);
  Heartbeat leaving = From("c");
  leaving.m_leaving = true;
  roster.Handle(HeartbeatArrived{ leaving }, kStart);
  EXPECT_EQ(roster.LiveCount(), 2U);
  roster.Handle(RosterTick{}, kStart + Duration{ 4000 });
  EXPECT_EQ(roster.LiveCount(), 1U);
}

TEST(RosterTest, TellsThatAnEarlierLifeHasEnded)
{
  Roster roster("a");
  roster.Handle(HeartbeatArrived{ From("b", 5) }, kStart);
  EXPECT_EQ(Count<IncarnationEnded>(
              roster.Handle(HeartbeatArrived{ From("b", 5) }, kStart)),
            0U);
  EXPECT_EQ(Count<IncarnationEnded>(
              roster.Handle(HeartbeatArrived{ From("b", 6) }, kStart)),
            1U);
  // Late news of the earlier life change nothing.
  roster.Handle(HeartbeatArrived{ From("b", 5) }, kStart);
  EXPECT_EQ(roster.Peers().at("b").m_last.m_incarnation, 6U);
}

// The time of day may have been set back between two lives of an instance.
TEST(RosterTest, ASilentPeerMayComeBackWithAnEarlierStart)
{
  Roster roster("a");
  roster.Handle(HeartbeatArrived{ From("b", 6) }, kStart);
  const Instant later = kStart + Duration{ 5000 };
  roster.Handle(RosterTick{}, later);
  ASSERT_EQ(roster.LiveCount(), 1U);
  roster.Handle(HeartbeatArrived{ From("b", 5) }, later);
  EXPECT_EQ(roster.LiveCount(), 2U);
  EXPECT_EQ(roster.Peers().at("b").m_last.m_incarnation, 5U);
}

TEST(RosterTest, SendsToListedAndHeardPeersOnceAnInterval)
{
  Roster roster("a");
  roster.Handle(InstancesListed{ { { "b", "b:1" } } }, kStart);
  roster.Handle(HeartbeatArrived{ From("c") }, kStart);
  EXPECT_EQ(Count<SendHeartbeat>(roster.Handle(RosterTick{}, kStart)), 2U);
  EXPECT_EQ(
    Count<SendHeartbeat>(roster.Handle(RosterTick{}, kStart + Duration{ 999 })),
    0U);
  EXPECT_EQ(Count<SendHeartbeat>(
              roster.Handle(RosterTick{}, kStart + Duration{ 1000 })),
            2U);
}

TEST(RosterTest, RanksEachInstanceOnceForATopic)
{
  const std::vector<std::string> names = { "a", "b", "c", "d", "e" };
  for (const std::string topic : { "planner", "engine-1", "engine-2" }) {
    std::vector<std::size_t> ranks;
    for (const std::string& self : names) {
      Roster roster(self);
      for (const std::string& peer : names) {
        roster.Handle(HeartbeatArrived{ From(peer) }, kStart);
      }
      ranks.push_back(roster.Rank(topic));
    }
    std::sort(ranks.begin(), ranks.end());
    EXPECT_EQ(ranks, (std::vector<std::size_t>{ 0, 1, 2, 3, 4 }));
  }
}

struct IntervalCase
{
  int m_peers;
  int m_milliseconds;
};

class RosterIntervalTest : public ::testing::TestWithParam<IntervalCase>
{};

TEST_P(RosterIntervalTest, GrowsWithTheHall)
{
  Roster roster("self");
  for (int i = 0; i < GetParam().m_peers; ++i) {
    roster.Handle(HeartbeatArrived{ From("p" + std::to_string(i)) }, kStart);
  }
  EXPECT_EQ(roster.HeartbeatInterval(), Duration(GetParam().m_milliseconds));
}

INSTANTIATE_TEST_SUITE_P(Halls,
                         RosterIntervalTest,
                         ::testing::Values(IntervalCase{ 0, 1000 },
                                           IntervalCase{ 8, 1000 },
                                           IntervalCase{ 44, 1980 },
                                           IntervalCase{ 90, 4050 }));

} // namespace
} // namespace ridgeferry::membership
