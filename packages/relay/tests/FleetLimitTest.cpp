// The limits that members state decide where calls go.

#include "FleetFixture.h"

namespace ridgeferry::relay {
namespace {

constexpr Instant kLater = kNow + Duration{ 60'000 };

class FleetLimitTest : public FleetTest
{
protected:
  /** The member accepts one request in five seconds and has just got one. */
  void UseUp(const std::string& aId)
  {
    m_fleet.NoteStatedLimit(aId, 0.2, kNow);
    m_fleet.TakePermit(aId, kNow);
  }
};

TEST_F(FleetLimitTest, AnotherMemberGetsTheCall)
{
  UseUp("a");
  for (std::uint64_t i = 0; i < 20; ++i) {
    PlaceRequest request = PlainRequest();
    request.m_random = i;
    EXPECT_EQ(MustFind(m_fleet, request).m_upstream, "b");
  }
}

TEST_F(FleetLimitTest, WhereAllLimitsAreUsedTheCallIsRefusedAtOnce)
{
  UseUp("a");
  UseUp("b");
  const PlaceResult result = m_fleet.FindPlace(PlainRequest(), kNow);
  const auto* fault = std::get_if<PlaceFault>(&result);
  ASSERT_NE(fault, nullptr);
  EXPECT_EQ(fault->m_cause, NoPlaceCause::Limited);
  EXPECT_GT(fault->m_roomIn, Duration{});
  EXPECT_LT(fault->m_roomIn, Duration{ 15'000 });
}

TEST_F(FleetLimitTest, PromptsGoToNoEngineWhoseLimitIsUsed)
{
  const std::string engine = MustFind(m_fleet, LongRequest(7)).m_upstream;
  UseUp(engine);
  for (std::uint64_t i = 0; i < 20; ++i) {
    PlaceRequest request = LongRequest(7);
    request.m_random = i;
    const Place place = MustFind(m_fleet, request);
    EXPECT_NE(place.m_upstream, engine);
    EXPECT_NE(place.m_prefillEngine, engine);
  }
}

// Prefixes must not be looked for where few calls may go.
TEST_F(FleetLimitTest, ALimitedEngineIsNoAffinityTarget)
{
  const PlaceRequest request = LongRequest(7);
  std::string home;
  for (int i = 0; i < 8; ++i) {
    const std::string engine = "g" + std::to_string(i);
    if (m_fleet.HasPrefixAffinity(*request.m_prompt, engine, kNow)) {
      home = engine;
    }
  }
  ASSERT_FALSE(home.empty());
  m_fleet.NoteStatedLimit(home, 5.0, kNow);
  EXPECT_FALSE(m_fleet.HasPrefixAffinity(*request.m_prompt, home, kNow));
}

TEST_F(FleetLimitTest, ALaterIncarnationHasNoLimit)
{
  Member first = MakeMember("a", "desk");
  first.m_born = 1;
  m_fleet.Put(first);
  UseUp("a");
  first.m_born = 2;
  m_fleet.Put(first);
  EXPECT_FALSE(m_fleet.Limits().HasLimit(Fleet::ShortHash("a")));
}

TEST_F(FleetLimitTest, WhatAPeerHeardCounts)
{
  const limits::LimitReport report{ Fleet::ShortHash("a"),
                                    0.2,
                                    Duration{ 50 } };
  EXPECT_EQ(m_fleet.NotePeerLimit(report, kNow), limits::LimitChange::Named);
  EXPECT_TRUE(m_fleet.Limits().HasLimit(Fleet::ShortHash("a")));
  const limits::LimitReport other{ Fleet::ShortHash("nobody"), 0.2, {} };
  EXPECT_EQ(m_fleet.NotePeerLimit(other, kNow), limits::LimitChange::None);
}

TEST_F(FleetLimitTest, ACallThatYieldsWaitsForOlderRoom)
{
  UseUp("b");
  m_fleet.NoteStatedLimit("a", 10.0, kNow);
  PlaceRequest request = PlainRequest();
  Instant now = kNow;
  while (std::holds_alternative<PlaceFault>(m_fleet.FindPlace(request, now))) {
    ASSERT_LT(now, kLater);
    now += Duration{ 1 };
  }
  request.m_yieldsToUrgent = true;
  EXPECT_TRUE(
    std::holds_alternative<PlaceFault>(m_fleet.FindPlace(request, now)));
  now += limits::SendPermits::kYieldTime;
  EXPECT_TRUE(std::holds_alternative<Place>(m_fleet.FindPlace(request, now)));
}

} // namespace
} // namespace ridgeferry::relay
