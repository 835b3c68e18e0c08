#include <algorithm>
#include <gtest/gtest.h>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/membership/StorePollers.h>

namespace ridgeferry::membership {
namespace {

constexpr Instant kStart{ Duration{ 1'000'000 } };

/**
 * Returns names of instances in the order in which they become pollers of their
 * data centre.
 */
std::vector<std::string>
NamesInPollerOrder(std::size_t aCount)
{
  std::vector<std::string> out;
  for (std::size_t i = 0; i < aCount; ++i) {
    out.push_back("i-" + std::to_string(i));
  }
  std::sort(out.begin(), out.end(), [](const auto& aLeft, const auto& aRight) {
    return Hash64(aLeft) < Hash64(aRight);
  });
  return out;
}

Heartbeat
From(const std::string& aInstance, const std::string& aDataCentre, bool aLost)
{
  Heartbeat out;
  out.m_instance = aInstance;
  out.m_incarnation = 1;
  out.m_dataCentre = aDataCentre;
  out.m_peerAddress = aInstance + ":1";
  out.m_store = StoreView{ { 1, 1 }, { 1, 1 }, aLost };
  return out;
}

/**
 * The heartbeats that the third instance of a data centre, which is no poller
 * by its hash, receives, and whether it must poll the store.
 */
struct PollerCase
{
  const char* m_name;
  /** Whether the reads of the first and of the second poller fail. */
  bool m_firstLost;
  bool m_secondLost;
  bool m_firstHeard;
  /**
   * A heartbeat arrived from a poller of another data centre whose reads
   * succeed.
   */
  bool m_otherDataCentre;
  bool m_onDuty;
};

class StorePollersTest : public ::testing::TestWithParam<PollerCase>
{};

TEST_P(StorePollersTest, PollsUnlessAnotherPollerReads)
{
  const PollerCase& that = GetParam();
  const auto names = NamesInPollerOrder(3);
  Roster roster(names[2]);
  if (that.m_firstHeard) {
    roster.Handle(HeartbeatArrived{ From(names[0], "hall", that.m_firstLost) },
                  kStart);
    roster.Handle(HeartbeatArrived{ From(names[1], "hall", that.m_secondLost) },
                  kStart);
  }
  if (that.m_otherDataCentre) {
    roster.Handle(HeartbeatArrived{ From("far", "other", false) }, kStart);
  }
  const StorePollers duty(roster, { names[2], "hall", false });
  EXPECT_EQ(duty.IsPoller(kStart), that.m_onDuty);
  EXPECT_EQ(duty.HearsWorkingPoller(kStart), !that.m_onDuty);
}

INSTANTIATE_TEST_SUITE_P(
  Heard,
  StorePollersTest,
  ::testing::Values(
    PollerCase{ "BothRead", false, false, true, false, false },
    PollerCase{ "OneIsCutOff", true, false, true, false, false },
    PollerCase{ "BothAreCutOff", true, true, true, false, true },
    PollerCase{ "AnotherHallReads", true, true, true, true, false },
    PollerCase{ "Alone", false, false, false, false, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(StorePollersTimeTest, APollerWithoutRecentHeartbeatsDoesNotCount)
{
  const auto names = NamesInPollerOrder(3);
  Roster roster(names[2]);
  for (std::size_t i = 0; i < 2; ++i) {
    roster.Handle(HeartbeatArrived{ From(names[i], "hall", false) }, kStart);
  }
  const StorePollers duty(roster, { names[2], "hall", false });
  const Duration fresh =
    roster.HeartbeatInterval() * StorePollers::kFreshHeartbeats;
  EXPECT_FALSE(duty.IsPoller(kStart + fresh));
  EXPECT_TRUE(duty.IsPoller(kStart + fresh + Duration{ 1 }));
}

TEST(StorePollersTimeTest, ADataCentreHasTwoOnDutyByWhatEachOfThemHears)
{
  const auto names = NamesInPollerOrder(5);
  std::size_t onDuty = 0;
  for (const std::string& self : names) {
    Roster roster(self);
    for (const std::string& peer : names) {
      roster.Handle(HeartbeatArrived{ From(peer, "hall", false) }, kStart);
    }
    const StorePollers duty(roster, { self, "hall", false });
    onDuty += duty.IsPoller(kStart) ? 1 : 0;
  }
  EXPECT_EQ(onDuty, 2U);
}

// A leaving instance must hand over to the next one; otherwise its data centre
// is left with one poller.
TEST(StorePollersTimeTest, ALeavingInstanceIsNoPoller)
{
  const auto names = NamesInPollerOrder(3);
  Roster roster(names[2]);
  Heartbeat leaving = From(names[0], "hall", false);
  leaving.m_leaving = true;
  roster.Handle(HeartbeatArrived{ leaving }, kStart);
  roster.Handle(HeartbeatArrived{ From(names[1], "hall", false) }, kStart);
  const StorePollers duty(roster, { names[2], "hall", false });
  EXPECT_TRUE(duty.IsPoller(kStart));
}

/**
 * What the heartbeat of one instance says of its reads of the store, and since
 * when its data centre then counts as reading, evaluated half a second after
 * the start.
 */
struct ReadsCase
{
  const char* m_name;
  const char* m_dataCentre;
  std::optional<int> m_readsForMs;
  bool m_lost;
  int m_heardBeforeMs;
  /** Relative to `kStart`; negative if before it. */
  std::optional<int> m_sinceMs;
};

class DataCentreReadsTest : public ::testing::TestWithParam<ReadsCase>
{};

TEST_P(DataCentreReadsTest, ADataCentreReadsAsLongAsOneOfItsInstancesDoes)
{
  const ReadsCase& that = GetParam();
  const Instant now = kStart + Duration{ 500 };
  Heartbeat heartbeat = From("a", that.m_dataCentre, that.m_lost);
  if (that.m_readsForMs) {
    heartbeat.m_store->m_readsFor = Duration{ *that.m_readsForMs };
  }
  Roster roster("self");
  roster.Handle(HeartbeatArrived{ heartbeat },
                now - Duration{ that.m_heardBeforeMs });
  const StorePollers duty(roster, { "self", "here", false });
  const auto since = duty.ReadsSince("hall", 1, now);
  ASSERT_EQ(since.has_value(), that.m_sinceMs.has_value());
  if (since) {
    EXPECT_EQ(*since, kStart + Duration{ *that.m_sinceMs });
  }
}

INSTANTIATE_TEST_SUITE_P(
  Words,
  DataCentreReadsTest,
  ::testing::Values(
    ReadsCase{ "Reads", "hall", 900, false, 0, -400 },
    ReadsCase{ "HeardALittleBefore", "hall", 900, false, 100, -500 },
    ReadsCase{ "OfAnotherHall", "other", 900, false, 0, {} },
    ReadsCase{ "MakesNoReads", "hall", {}, false, 0, {} },
    ReadsCase{ "Fails", "hall", 900, true, 0, {} },
    ReadsCase{ "SilentSince", "hall", 900, false, 9000, {} }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// After the store was restored from an older copy, reads of the earlier
// generation say nothing about the rows that it has now, so they must not
// count.
TEST(DataCentreReadsGenerationTest, ReadsOfAnEarlierGenerationDoNotCount)
{
  Roster roster("self");
  Heartbeat heartbeat = From("a", "hall", false);
  heartbeat.m_store->m_readsFor = Duration{ 900 };
  roster.Handle(HeartbeatArrived{ heartbeat }, kStart);
  const StorePollers duty(roster, { "self", "here", false });
  EXPECT_TRUE(duty.ReadsSince("hall", 1, kStart).has_value());
  EXPECT_FALSE(duty.ReadsSince("hall", 2, kStart).has_value());
}

TEST(DataCentreReadsTwoTest, TheLongestReaderSpeaksForTheDataCentre)
{
  Roster roster("self");
  for (const int readsForMs : { 300, 5000, 40 }) {
    Heartbeat heartbeat =
      From("i-" + std::to_string(readsForMs), "hall", false);
    heartbeat.m_store->m_readsFor = Duration{ readsForMs };
    roster.Handle(HeartbeatArrived{ heartbeat }, kStart);
  }
  const StorePollers duty(roster, { "self", "here", false });
  EXPECT_EQ(duty.ReadsSince("hall", 1, kStart), kStart - Duration{ 5000 });
}

} // namespace
} // namespace ridgeferry::membership
