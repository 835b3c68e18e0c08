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

TEST(RosterTest, CountsLivePeersThatAreNotLeaving)
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

TEST(RosterTest, ReportsThatAnEarlierIncarnationHasEnded)
{
  Roster roster("a");
  roster.Handle(HeartbeatArrived{ From("b", 5) }, kStart);
  EXPECT_EQ(Count<IncarnationEnded>(
              roster.Handle(HeartbeatArrived{ From("b", 5) }, kStart)),
            0U);
  EXPECT_EQ(Count<IncarnationEnded>(
              roster.Handle(HeartbeatArrived{ From("b", 6) }, kStart)),
            1U);
  // A delayed heartbeat of the earlier incarnation changes nothing.
  roster.Handle(HeartbeatArrived{ From("b", 5) }, kStart);
  EXPECT_EQ(roster.Peers().at("b").m_last.m_incarnation, 6U);
}

// The clock may have been set back between two incarnations of an instance. Its
// heartbeats must then be accepted once the earlier incarnation counts as dead,
// although their incarnation is lower.
TEST(RosterTest, ADeadPeerMayReturnWithALowerIncarnation)
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

TEST_P(RosterIntervalTest, GrowsWithTheDataCentre)
{
  Roster roster("self");
  for (int i = 0; i < GetParam().m_peers; ++i) {
    roster.Handle(HeartbeatArrived{ From("p" + std::to_string(i)) }, kStart);
  }
  EXPECT_EQ(roster.HeartbeatInterval(), Duration(GetParam().m_milliseconds));
}

INSTANTIATE_TEST_SUITE_P(DataCentres,
                         RosterIntervalTest,
                         ::testing::Values(IntervalCase{ 0, 1000 },
                                           IntervalCase{ 8, 1000 },
                                           IntervalCase{ 44, 1980 },
                                           IntervalCase{ 90, 4050 }));

/**
 * Simulates instances in several data centres that exchange heartbeats in
 * virtual time.
 */
class DataCentresWorld
{
public:
  DataCentresWorld(int aDataCentres, int aInDataCentre)
    : m_dataCentres(aDataCentres)
  {
    for (int i = 0; i < aDataCentres * aInDataCentre; ++i) {
      m_rosters.emplace_back(Name(i), Times(), DataCentreOf(i));
      m_heardOf.emplace_back(static_cast<std::size_t>(aDataCentres), kStart);
    }
    InstancesListed listed;
    for (int i = 0; i < aDataCentres * aInDataCentre; ++i) {
      listed.m_instances.push_back({ Name(i), Name(i) });
    }
    for (std::size_t i = 0; i < m_rosters.size(); ++i) {
      InstancesListed others = listed;
      others.m_instances.erase(others.m_instances.begin() +
                               static_cast<std::ptrdiff_t>(i));
      m_rosters[i].Handle(others, kStart);
    }
  }

  static RosterTimes Times()
  {
    RosterTimes out;
    out.m_heartbeatEvery = Duration{ 40 };
    out.m_heartbeatEachPeer = Duration{ 4 };
    out.m_deadAfterMissed = 10;
    out.m_maxRoundToAll = Duration{ 300 };
    return out;
  }

  /**
   * Runs one tick of every instance. One message in `aLostOneIn` is lost; if it
   * is 0, no message is lost.
   */
  void Step(int aLostOneIn)
  {
    m_now += Duration{ 40 };
    for (std::size_t i = 0; i < m_rosters.size(); ++i) {
      for (const RosterAction& action :
           m_rosters[i].Handle(RosterTick{}, m_now)) {
        ++m_sent;
        if (aLostOneIn > 0 && m_sent % aLostOneIn == 0) {
          continue;
        }
        if (const auto* send = std::get_if<SendHeartbeat>(&action)) {
          Deliver(i, send->m_peerAddress, false);
        }
        if (const auto* send = std::get_if<SendDataCentreLoads>(&action)) {
          Deliver(i, send->m_peerAddress, true);
        }
      }
    }
  }

  /**
   * Returns the ages of the latest summed loads that each instance has received
   * from each other data centre, in ascending order.
   */
  std::vector<Duration> Ages() const
  {
    std::vector<Duration> out;
    for (std::size_t i = 0; i < m_rosters.size(); ++i) {
      for (int dataCentre = 0; dataCentre < m_dataCentres; ++dataCentre) {
        if (dataCentre != static_cast<int>(i) % m_dataCentres) {
          out.push_back(m_now -
                        m_heardOf[i][static_cast<std::size_t>(dataCentre)]);
        }
      }
    }
    std::sort(out.begin(), out.end());
    return out;
  }

  std::size_t Sent() const { return m_sent; }
  const Roster& Of(std::size_t aIndex) const { return m_rosters[aIndex]; }

private:
  static std::string Name(int aIndex) { return "i" + std::to_string(aIndex); }
  std::string DataCentreOf(int aIndex) const
  {
    return "hall" + std::to_string(aIndex % m_dataCentres);
  }

  void Deliver(std::size_t aFrom, const std::string& aTo, bool aOfDataCentre)
  {
    const auto to = static_cast<std::size_t>(std::stoi(aTo.substr(1)));
    if (aOfDataCentre) {
      m_heardOf[to][aFrom % static_cast<std::size_t>(m_dataCentres)] = m_now;
      return;
    }
    Heartbeat heartbeat = From(Name(static_cast<int>(aFrom)));
    heartbeat.m_peerAddress = heartbeat.m_instance;
    heartbeat.m_dataCentre = DataCentreOf(static_cast<int>(aFrom));
    m_rosters[to].Handle(HeartbeatArrived{ heartbeat }, m_now);
  }

  int m_dataCentres;
  std::vector<Roster> m_rosters;
  /**
   * Time of the latest summed loads, by receiving instance and data centre.
   */
  std::vector<std::vector<Instant>> m_heardOf;
  std::size_t m_sent = 0;
  Instant m_now = kStart;
};

struct DataCentresCase
{
  const char* m_name;
  int m_dataCentres;
  int m_inDataCentre;
  int m_lostOneIn;
};

class RosterDataCentresTest : public ::testing::TestWithParam<DataCentresCase>
{};

// Guards against stale loads of engines in other data centres. The loads in a
// message are a quarter of a second old at most and half of that in the median,
// so the load known of an engine is 0.4 s old in the median; with heartbeats to
// all peers it was 0.6 s and more.
TEST_P(RosterDataCentresTest, EachInstanceHearsOfEachDataCentreOften)
{
  const DataCentresCase& that = GetParam();
  DataCentresWorld world(that.m_dataCentres, that.m_inDataCentre);
  for (int i = 0; i < 60; ++i) {
    world.Step(that.m_lostOneIn);
  }
  const std::size_t before = world.Sent();
  constexpr int kSteps = 50; // 50 steps of 40 ms are two seconds.
  std::vector<Duration> ages;
  for (int i = 0; i < kSteps; ++i) {
    world.Step(that.m_lostOneIn);
    const std::vector<Duration> now = world.Ages();
    ages.insert(ages.end(), now.begin(), now.end());
  }
  std::sort(ages.begin(), ages.end());
  EXPECT_LE(ages[ages.size() / 2], Duration{ 300 });
  EXPECT_LE(ages[ages.size() * 95 / 100], Duration{ 1000 });
  // A heartbeat to all peers every 4 ms times the number of peers would send
  // 250 messages a second per instance.
  const double each = static_cast<double>(world.Sent() - before) /
                      (that.m_dataCentres * that.m_inDataCentre) / 2.0;
  EXPECT_LE(each, 450);
  const std::size_t all = static_cast<std::size_t>(that.m_dataCentres) *
                          static_cast<std::size_t>(that.m_inDataCentre);
  // A peer that receives heartbeats seldom may count as dead for a moment where
  // messages are lost.
  EXPECT_GE(world.Of(0).LiveCount(),
            that.m_lostOneIn == 0 ? all : all * 9 / 10);
  EXPECT_TRUE(world.Of(0).SendsLoadsPerDataCentre());
}

INSTANTIATE_TEST_SUITE_P(
  Sizes,
  RosterDataCentresTest,
  ::testing::Values(DataCentresCase{ "FiveHallsOfTwenty", 5, 20, 0 },
                    DataCentresCase{ "FiveHallsOfThirtyWithLosses", 5, 30, 10 },
                    DataCentresCase{ "EightHallsOfTwenty", 8, 20, 0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(RosterDataCentresSmallTest, FewInstancesSendToAll)
{
  DataCentresWorld world(3, 20);
  for (int i = 0; i < 50; ++i) {
    world.Step(0);
  }
  EXPECT_FALSE(world.Of(0).SendsLoadsPerDataCentre());
  EXPECT_EQ(world.Of(0).LiveCount(), 60U);
}

} // namespace
} // namespace ridgeferry::membership
