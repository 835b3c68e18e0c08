#include "FleetFixture.h"

#include <ridgeferry/relay/ServiceReach.h>

namespace ridgeferry::relay {
namespace {

TEST(ServiceReachTest, OnlyChangesAreTold)
{
  ServiceReach reach;
  EXPECT_FALSE(reach.NoteResponsive(true, kNow));
  EXPECT_TRUE(reach.NoteResponsive(false, kNow));
  EXPECT_FALSE(reach.NoteResponsive(false, kNow + Duration{ 100 }));
  EXPECT_EQ(reach.UnreachableSince(), kNow);
  EXPECT_TRUE(reach.NoteResponsive(true, kNow + Duration{ 200 }));
  EXPECT_FALSE(reach.IsUnreachable());
}

TEST(ServiceReachTest, NoCallTriesTheDirectWayBeforeAConnectionCameAbout)
{
  ServiceReach reach;
  EXPECT_FALSE(reach.AllowTrial(true, kNow));
  reach.NoteResponsive(false, kNow);
  EXPECT_FALSE(reach.AllowTrial(true, kNow + Duration{ 10'000 }));
  reach.NoteConnected(kNow);
  EXPECT_TRUE(reach.AllowTrial(true, kNow + Duration{ 10'000 }));
}

// A call that would be lost tries only if no other one comes.
TEST(ServiceReachTest, CallsThatMayBeRepeatedTryFirst)
{
  ServiceReach reach;
  reach.NoteResponsive(false, kNow);
  reach.NoteConnected(kNow);
  EXPECT_FALSE(reach.AllowTrial(false, kNow));
  EXPECT_TRUE(reach.AllowTrial(false, kNow + ServiceReach::kRepeatableFirst));
}

// Where connections come about and nothing answers, few callers may find out.
TEST(ServiceReachTest, TrialsBecomeRarer)
{
  ServiceReach reach;
  reach.NoteResponsive(false, kNow);
  reach.NoteConnected(kNow);
  int trials = 0;
  for (Duration at{}; at < Duration{ 12'000 }; at += Duration{ 10 }) {
    trials += reach.AllowTrial(true, kNow + at) ? 1 : 0;
  }
  EXPECT_EQ(trials, 6);
}

TEST_F(FleetTest, AServiceIsReachedAsLongAsOneMemberResponds)
{
  EXPECT_TRUE(m_fleet.IsAnyResponsive("desk", kNow));
  m_fleet.NoteUnreachable("a", kNow);
  EXPECT_TRUE(m_fleet.IsAnyResponsive("desk", kNow));
  m_fleet.NoteUnreachable("b", kNow);
  EXPECT_FALSE(m_fleet.IsAnyResponsive("desk", kNow));
  EXPECT_TRUE(m_fleet.IsAnyResponsive("llm", kNow));
  // The end of an ejection is no sign of life.
  EXPECT_FALSE(m_fleet.IsAnyResponsive("desk", kNow + Duration{ 60'000 }));
  m_fleet.NoteResponse("b");
  EXPECT_TRUE(m_fleet.IsAnyResponsive("desk", kNow));
}

TEST_F(FleetTest, FailuresThatAreAnswersAreNoLackOfReach)
{
  for (const char* id : { "a", "b" }) {
    for (int i = 0; i < Fleet::kFailuresToEject; ++i) {
      m_fleet.NoteSent(id, 0, kNow);
      m_fleet.NoteResponse(id);
      m_fleet.NoteEnded(id, 0, AttemptEnd::Failed, Duration{ 5 }, kNow);
    }
  }
  EXPECT_TRUE(m_fleet.IsAnyResponsive("desk", kNow));
}

// Engines that only prefill can't run a call.
TEST_F(FleetTest, PrefillEnginesAloneAreNoReach)
{
  for (int i = 0; i < 8; ++i) {
    m_fleet.NoteUnreachable("g" + std::to_string(i), kNow);
  }
  EXPECT_FALSE(m_fleet.IsAnyResponsive("llm", kNow));
}

TEST_F(FleetTest, OnceAConnectionComesAboutMembersMayBeTriedAgain)
{
  m_fleet.NoteUnreachable("a", kNow);
  m_fleet.NoteUnreachable("b", kNow);
  EXPECT_FALSE(
    std::holds_alternative<Place>(m_fleet.FindPlace(PlainRequest(), kNow)));
  m_fleet.EndEjections("desk");
  EXPECT_TRUE(
    std::holds_alternative<Place>(m_fleet.FindPlace(PlainRequest(), kNow)));
  EXPECT_FALSE(m_fleet.IsAnyResponsive("desk", kNow));
}

TEST_F(FleetTest, AServiceWithoutMembersIsNotCalledUnreachable)
{
  EXPECT_TRUE(m_fleet.IsAnyResponsive("nobody", kNow));
}

} // namespace
} // namespace ridgeferry::relay
