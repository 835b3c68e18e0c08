// Tests how members are treated that leave calls unanswered.

#include "FleetFixture.h"

namespace ridgeferry::relay {
namespace {

/** What happened between a call to member `a` and a later placement. */
struct UnresponsiveCase
{
  const char* m_name;
  Duration m_since;    ///< Time from the call to the placement.
  bool m_hasResponded; ///< Whether `a` has sent bytes in the meantime.
  /** Whether member `b` leaves its calls unanswered too. */
  bool m_otherIsUnresponsive;
  bool m_mayBeChosen;
};

class FleetUnresponsiveTest
  : public FleetTest
  , public ::testing::WithParamInterface<UnresponsiveCase>
{};

TEST_P(FleetUnresponsiveTest, UnresponsiveMembersGetNoCallsWhileOthersAreSound)
{
  m_fleet.NoteSent("a", 0, kNow);
  if (GetParam().m_hasResponded) {
    m_fleet.NoteResponse("a");
  }
  if (GetParam().m_otherIsUnresponsive) {
    m_fleet.NoteSent("b", 0, kNow);
  }
  // Member `b` has so many calls that `a` is the better place.
  for (int i = 0; i < 5; ++i) {
    m_fleet.NoteSent("b", 0, kNow);
    if (!GetParam().m_otherIsUnresponsive) {
      m_fleet.NoteResponse("b");
    }
  }
  const PlaceResult result =
    m_fleet.FindPlace(PlainRequest(), kNow + GetParam().m_since);
  const auto* place = std::get_if<Place>(&result);
  ASSERT_NE(place, nullptr);
  EXPECT_EQ(place->m_upstream == "a", GetParam().m_mayBeChosen);
}

INSTANTIATE_TEST_SUITE_P(
  Cases,
  FleetUnresponsiveTest,
  ::testing::Values(
    UnresponsiveCase{ "JustSent", Duration{ 10 }, false, false, true },
    UnresponsiveCase{ "Silent", Fleet::kResponseTimeout, false, false, false },
    UnresponsiveCase{ "Heard", Fleet::kResponseTimeout, true, false, true },
    UnresponsiveCase{ "BothSilent",
                      Fleet::kResponseTimeout,
                      false,
                      true,
                      true }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

/** How an attempt ended whose member never sent any bytes. */
class FleetUnresponsiveEndTest
  : public FleetTest
  , public ::testing::WithParamInterface<AttemptEnd>
{
protected:
  bool IsChosen(Instant aNow)
  {
    for (std::uint64_t draw = 0; draw < 10; ++draw) {
      PlaceRequest request = PlainRequest();
      request.m_random = draw;
      const PlaceResult result = m_fleet.FindPlace(request, aNow);
      if (std::get<Place>(result).m_upstream == "a") {
        return true;
      }
    }
    return false;
  }
};

TEST_P(FleetUnresponsiveEndTest, IsEjectedAtOnceAndThenProbedByOneCall)
{
  // Member `b` has so many calls that `a` is the better place.
  for (int i = 0; i < 5; ++i) {
    m_fleet.NoteSent("b", 0, kNow);
    m_fleet.NoteResponse("b");
  }
  m_fleet.NoteSent("a", 0, kNow);
  const Instant later = kNow + Fleet::kResponseTimeout;
  m_fleet.NoteEnded("a", 0, GetParam(), Fleet::kResponseTimeout, later);
  // No call to `a` is unanswered any more.
  EXPECT_FALSE(m_fleet.IsUnresponsive("a", later));
  EXPECT_FALSE(IsChosen(later));
  const Instant rested = later + Fleet::kEjectionTime;
  EXPECT_TRUE(IsChosen(rested));
  EXPECT_TRUE(m_fleet.NeedsOwnConnection("a", rested));
  m_fleet.NoteSent("a", 0, rested);
  EXPECT_FALSE(IsChosen(rested));
  m_fleet.NoteResponse("a");
  m_fleet.NoteEnded("a", 0, AttemptEnd::Served, Duration{ 5 }, rested);
  m_fleet.NoteSent("a", 0, rested);
  // The probation has ended, so `a` gets more than one call at a time.
  EXPECT_TRUE(IsChosen(rested));
  EXPECT_FALSE(m_fleet.NeedsOwnConnection("a", rested));
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         FleetUnresponsiveEndTest,
                         ::testing::Values(AttemptEnd::Failed,
                                           AttemptEnd::Abandoned));

// Connections that come about and break without a byte are no sign of life.
TEST_F(FleetTest, AMemberWhoseConnectionsOnlyBreakIsOnProbation)
{
  Fail(m_fleet, "a", Fleet::kFailuresToEject);
  EXPECT_TRUE(m_fleet.NeedsOwnConnection("a", kNow));
  EXPECT_TRUE(m_fleet.NoteResponse("a"));
  EXPECT_FALSE(m_fleet.NeedsOwnConnection("a", kNow));
}

// Streams that live on must not hide that no new connection comes about.
TEST_F(FleetTest, BytesOfAnOlderCallEndNoProbation)
{
  m_fleet.NoteUnreachable("a", kNow);
  EXPECT_FALSE(m_fleet.NoteResponse("a", kNow - Duration{ 1 }));
  m_fleet.NoteUnreachable("b", kNow);
  EXPECT_FALSE(m_fleet.IsAnyResponsive("desk", kNow));
  EXPECT_TRUE(m_fleet.NoteResponse("a", kNow + Duration{ 1 }));
  EXPECT_TRUE(m_fleet.IsAnyResponsive("desk", kNow));
}

// A call that may not be repeated would be lost.
TEST_F(FleetTest, OnlyCallsThatMayBeRepeatedProbeAMember)
{
  m_fleet.NoteUnreachable("a", kNow);
  m_fleet.EndEjections("desk");
  m_fleet.NoteSent("b", 0, kNow); // Busier than the other.
  PlaceRequest request = PlainRequest();
  EXPECT_EQ(MustFind(m_fleet, request).m_upstream, "a");
  request.m_mayProbe = false;
  EXPECT_EQ(MustFind(m_fleet, request).m_upstream, "b");
}

TEST_F(FleetTest, AnUnreachableMemberIsEjectedAtOnce)
{
  m_fleet.NoteSent("a", 0, kNow);
  m_fleet.NoteUnreachable("a", kNow);
  m_fleet.NoteEnded("a", 0, AttemptEnd::Failed, Duration{ 5 }, kNow);
  for (std::uint64_t draw = 0; draw < 10; ++draw) {
    PlaceRequest request = PlainRequest();
    request.m_random = draw;
    EXPECT_EQ(MustFind(m_fleet, request).m_upstream, "b");
  }
}

// An engine in the prefill role sends nothing before it has processed
// everything queued there. Guards against treating it as unresponsive
// meanwhile.
TEST_F(FleetTest, AnEngineNeedNotRespondDuringPrefill)
{
  constexpr Duration kReading{ 800 };
  m_fleet.NoteThroughput({ "p0", 60'000, Duration{ 1015 }, true });
  m_fleet.NoteSent("p0", 48'000, kNow);
  EXPECT_FALSE(m_fleet.IsUnresponsive("p0", kNow + kReading));
  EXPECT_TRUE(m_fleet.IsUnresponsive("p0", kNow + Fleet::kMaxResponseTimeout));
  m_fleet.NoteSent("p1", 0, kNow);
  EXPECT_TRUE(m_fleet.IsUnresponsive("p1", kNow + Fleet::kResponseTimeout));
}

// Members behind a network partition must not cost every caller on this side a
// failed attempt, so the ejection time doubles.
TEST_F(FleetTest, EjectionTimesDoubleUntilTheMemberResponds)
{
  Instant now = kNow;
  const auto restOf = [&] {
    m_fleet.NoteSent("a", 0, now);
    m_fleet.NoteUnreachable("a", now);
    m_fleet.NoteEnded("a", 0, AttemptEnd::Abandoned, Duration{ 5 }, now);
    const Instant began = now;
    PlaceRequest request = PlainRequest();
    const std::vector<std::string> others{ "b" };
    request.m_excluded = others;
    while (!std::holds_alternative<Place>(m_fleet.FindPlace(request, now))) {
      now += Duration{ 100 };
    }
    return now - began;
  };
  EXPECT_EQ(restOf(), Fleet::kEjectionTime);
  EXPECT_EQ(restOf(), Fleet::kEjectionTime);
  EXPECT_EQ(restOf(), Fleet::kEjectionTime * 2);
  EXPECT_EQ(restOf(), Fleet::kMaxEjectionTime);
  EXPECT_EQ(restOf(), Fleet::kMaxEjectionTime);
  m_fleet.NoteResponse("a");
  EXPECT_EQ(restOf(), Fleet::kEjectionTime);
}

// An engine that is changing roles refuses calls at once. Guards against
// sending it all calls because it looks idle.
TEST_F(FleetTest, AMemberThatRefusesRepeatedlyIsEjected)
{
  for (int i = 0; i < 5; ++i) {
    m_fleet.NoteSent("b", 0, kNow); // Member `a` is the better place.
  }
  const auto refuse = [&] {
    m_fleet.NoteSent("a", 0, kNow);
    m_fleet.NoteResponse("a");
    m_fleet.NoteEnded("a", 0, AttemptEnd::Declined, Duration{ 5 }, kNow);
  };
  refuse();
  EXPECT_EQ(MustFind(m_fleet, PlainRequest()).m_upstream, "a");
  refuse();
  EXPECT_EQ(MustFind(m_fleet, PlainRequest()).m_upstream, "b");
  const PlaceResult later =
    m_fleet.FindPlace(PlainRequest(), kNow + Fleet::kDeclinedEjectionTime);
  EXPECT_EQ(std::get<Place>(later).m_upstream, "a");
}

} // namespace
} // namespace ridgeferry::relay
