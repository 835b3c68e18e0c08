#include "FleetFixture.h"

#include <map>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/Fleet.h>
#include <set>

namespace ridgeferry::relay {
namespace {

TEST_F(FleetTest, NothingIsPlacedWhereNothingIsListed)
{
  PlaceRequest request = PlainRequest();
  request.m_service = "unknown";
  EXPECT_TRUE(
    std::holds_alternative<PlaceFault>(m_fleet.FindPlace(request, kNow)));
}

TEST_F(FleetTest, ALeavingMemberGetsNothing)
{
  Member leaving = MakeMember("a", "desk");
  leaving.m_leaving = true;
  m_fleet.Put(leaving);
  for (std::uint64_t draw = 0; draw < 10; ++draw) {
    PlaceRequest request = PlainRequest();
    request.m_random = draw;
    EXPECT_EQ(MustFind(m_fleet, request).m_upstream, "b");
  }
}

// Another instance has read a newer state of the list of upstreams and
// announced that the member is leaving; this instance still reads the older
// row.
TEST_F(FleetTest, AnOlderRowDoesNotTakeLeavingBack)
{
  m_fleet.MarkLeaving({ "a" });
  m_fleet.Put(MakeMember("a", "desk"));
  EXPECT_TRUE(m_fleet.Find("a")->m_leaving);
}

TEST_F(FleetTest, AMemberAtWhoseAddressAnotherAnswersIsEjectedAtOnce)
{
  m_fleet.NoteSent("a", 0, kNow);
  m_fleet.NoteEnded("a", 0, AttemptEnd::Misdirected, Duration{ 5 }, kNow);
  for (std::uint64_t draw = 0; draw < 10; ++draw) {
    PlaceRequest request = PlainRequest();
    request.m_random = draw;
    EXPECT_EQ(MustFind(m_fleet, request).m_upstream, "b");
  }
}

TEST_F(FleetTest, NoMemberGetsMoreConnectionsThanItsShare)
{
  PlaceRequest request = PlainRequest();
  request.m_mostOpen = 2;
  for (int i = 0; i < 4; ++i) {
    m_fleet.NoteSent(MustFind(m_fleet, request).m_upstream, 0, kNow);
  }
  const PlaceResult full = m_fleet.FindPlace(request, kNow);
  const auto* fault = std::get_if<PlaceFault>(&full);
  ASSERT_NE(fault, nullptr);
  EXPECT_EQ(fault->m_cause,
            // The members are sound and only have too many connections open, so
            // there will be room later. That would not be so without members.
            NoPlaceCause::Full);
  EXPECT_GT(fault->m_roomIn.count(), 0);
  m_fleet.NoteEnded("a", 0, AttemptEnd::Served, Duration{ 5 }, kNow);
  EXPECT_EQ(MustFind(m_fleet, request).m_upstream, "a");
}

TEST_F(FleetTest, AnExcludedMemberGetsNothing)
{
  const std::vector<std::string> excluded{ "b" };
  PlaceRequest request = PlainRequest();
  request.m_excluded = excluded;
  EXPECT_EQ(MustFind(m_fleet, request).m_upstream, "a");
}

TEST_F(FleetTest, TheLessLoadedIsTaken)
{
  m_fleet.NoteSent("a", 0, kNow);
  EXPECT_EQ(MustFind(m_fleet, PlainRequest()).m_upstream, "b");
  m_fleet.SetPeerLoads("peer", { { Fleet::ShortHash("b"), 4, 0 } });
  EXPECT_EQ(MustFind(m_fleet, PlainRequest()).m_upstream, "a");
  m_fleet.SetPeerLoads("peer", {});
  EXPECT_EQ(MustFind(m_fleet, PlainRequest()).m_upstream, "b");
}

TEST_F(FleetTest, LoadsReportedBeforeTheMemberWasListedCount)
{
  m_fleet.SetPeerLoads("peer", { { Fleet::ShortHash("c"), 50, 0 } });
  m_fleet.Put(MakeMember("c", "desk"));
  EXPECT_NE(MustFind(m_fleet, PlainRequest()).m_upstream, "c");
}

TEST_F(FleetTest, AMemberThatFailsRepeatedlyIsEjected)
{
  Fail(m_fleet, "a", Fleet::kFailuresToEject);
  for (int i = 0; i < 20; ++i) {
    // However loaded `b` is, `a` stays ejected.
    m_fleet.NoteSent("b", 0, kNow);
  }
  EXPECT_EQ(MustFind(m_fleet, PlainRequest()).m_upstream, "b");
}

TEST_F(FleetTest, AnExpiredMemberStaysForItsGracePeriod)
{
  m_fleet.Drop("b", kNow + kGrace);
  m_fleet.Tick(kNow + kGrace - Duration{ 1 });
  EXPECT_NE(m_fleet.Find("b"), nullptr);
  m_fleet.Tick(kNow + kGrace);
  EXPECT_EQ(m_fleet.Find("b"), nullptr);
}

// `Tick` runs some time after a grace period has ended, and a leaving upstream
// may get new calls for two seconds only. The member must therefore get no
// calls from the end of the grace period on, even before `Tick` removes it.
TEST_F(FleetTest, AnExpiredMemberGetsNoCallsAfterItsGracePeriod)
{
  const std::vector<std::string> excluded{ "a" };
  PlaceRequest request = PlainRequest();
  request.m_excluded = excluded;
  m_fleet.Drop("b", kNow + kGrace);
  const Instant before = kNow + kGrace - Duration{ 1 };
  EXPECT_TRUE(
    std::holds_alternative<Place>(m_fleet.FindPlace(request, before)));
  EXPECT_FALSE(
    std::holds_alternative<Place>(m_fleet.FindPlace(request, kNow + kGrace)));
}

// When instances of a data centre report that the rows of its members cannot
// have expired, the grace periods of these members are bounded. A bound may
// shorten a grace period, and must never start or lengthen one.
TEST_F(FleetTest, AGracePeriodIsBoundedForTheMembersOfOneDataCentre)
{
  const std::string dataCentre = m_fleet.Find("b")->m_dataCentre;
  m_fleet.Drop("b", kNow + kGrace);
  m_fleet.BoundGracePeriods("another", kNow);
  m_fleet.BoundGracePeriods(dataCentre, kNow + kGrace * 2);
  m_fleet.Tick(kNow + kGrace - Duration{ 1 });
  EXPECT_NE(m_fleet.Find("b"), nullptr);
  m_fleet.BoundGracePeriods(dataCentre, kNow);
  m_fleet.Tick(kNow);
  EXPECT_EQ(m_fleet.Find("b"), nullptr);
  EXPECT_NE(m_fleet.Find("a"), nullptr);
}

TEST_F(FleetTest, AMemberThatVanishesInACalmStoreIsGone)
{
  m_fleet.Drop("b", std::nullopt);
  EXPECT_EQ(m_fleet.Find("b"), nullptr);
}

TEST_F(FleetTest, AMemberListedAgainInItsGracePeriodStays)
{
  m_fleet.Drop("b", kNow + kGrace);
  m_fleet.Put(MakeMember("b", "desk"));
  m_fleet.Tick(kNow + kGrace);
  EXPECT_NE(m_fleet.Find("b"), nullptr);
}

// A member that announced that it is leaving was not removed because its row
// expired, so it gets no grace period.
TEST_F(FleetTest, ALeavingMemberHasNoGracePeriod)
{
  Member leaving = MakeMember("b", "desk");
  leaving.m_leaving = true;
  m_fleet.Put(leaving);
  m_fleet.Drop("b", kNow + kGrace);
  EXPECT_EQ(m_fleet.Find("b"), nullptr);
}

TEST_F(FleetTest, InstancesAgreeOnTheAffinityTargetOfAChain)
{
  Fleet other;
  for (int i = 7; i >= 0; --i) {
    other.Put(MakeMember("g" + std::to_string(i), "llm", UpstreamRole::Decode));
  }
  for (int i = 0; i < 4; ++i) {
    other.Put(
      MakeMember("p" + std::to_string(i), "llm", UpstreamRole::Prefill));
  }
  std::set<std::string> used;
  for (std::uint64_t chain = 1; chain <= 200; ++chain) {
    const Place mine = MustFind(m_fleet, LongRequest(chain));
    const Place theirs = MustFind(other, LongRequest(chain));
    const auto home = [](const Place& aPlace) {
      return aPlace.m_prefillEngine.empty() ? aPlace.m_upstream
                                            : aPlace.m_prefillEngine;
    };
    EXPECT_EQ(home(mine), home(theirs));
    used.insert(home(mine));
  }
  EXPECT_GE(used.size(), 8U); // The prefixes are spread over the engines.
}

std::string
PrefillEngineOf(const Place& aPlace)
{
  return aPlace.m_prefillEngine.empty() ? aPlace.m_upstream
                                        : aPlace.m_prefillEngine;
}

/**
 * The work queued at a prompt's affinity target, and whether the prompt is
 * prefilled there all the same.
 */
struct AffinityCase
{
  const char* m_name;
  std::int64_t m_tokensAtTarget;
  bool m_isPrefilledAtTarget;
};

class AffinityTest
  : public FleetTest
  , public ::testing::WithParamInterface<AffinityCase>
{};

TEST_P(AffinityTest, IsLeftOnlyWhenItIsMuchLater)
{
  const std::string home = PrefillEngineOf(MustFind(m_fleet, LongRequest(3)));
  m_fleet.NoteSent(home, GetParam().m_tokensAtTarget, kNow);
  PlaceRequest request = LongRequest(3);
  for (request.m_random = 0; request.m_random < 50; ++request.m_random) {
    EXPECT_EQ(PrefillEngineOf(MustFind(m_fleet, request)) == home,
              GetParam().m_isPrefilledAtTarget);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Loads,
  AffinityTest,
  ::testing::Values(AffinityCase{ "Nothing", 0, true },
                    AffinityCase{ "OnePromptOrTwo", 3'000, true },
                    AffinityCase{ "AQueue", 60'000, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Guards against herding: instances that see the same loads must not all choose
// the same engine.
TEST_F(FleetTest, PromptsWithABusyAffinityTargetSpreadOverOtherEngines)
{
  const std::string home = PrefillEngineOf(MustFind(m_fleet, LongRequest(3)));
  m_fleet.NoteSent(home, 60'000, kNow);
  std::set<std::string> used;
  PlaceRequest request = LongRequest(3);
  for (request.m_random = 0; request.m_random < 200; ++request.m_random) {
    used.insert(PrefillEngineOf(MustFind(m_fleet, request)));
  }
  EXPECT_GE(used.size(), 4U);
}

// The number of decode engines that are reserved, that is, prefill no long
// prompts, depends on the number of running calls, which changes within
// seconds. If the affinity target of a prefix changed with it, the prefix would
// have to be prefilled anew each time.
TEST_F(FleetTest, AffinityTargetsStayWhenMoreEnginesAreReserved)
{
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t chain = 1; chain <= 100; ++chain) {
    before[chain] = PrefillEngineOf(MustFind(m_fleet, LongRequest(chain)));
  }
  for (int i = 0; i < 8; ++i) {
    for (int call = 0; call < 100; ++call) {
      m_fleet.NoteSent("g" + std::to_string(i), 0, kNow);
    }
  }
  for (const auto& [chain, home] : before) {
    EXPECT_TRUE(
      m_fleet.HasPrefixAffinity(*LongRequest(chain).m_prompt, home, kNow));
  }
}

/**
 * First-token times that were measured before a prompt is placed, each of which
 * was expected to be 50 ms.
 */
struct LateCase
{
  const char* m_name;
  std::vector<int> m_tookMs; ///< One measurement every 100 ms.
  /** Whether a prompt with an admission bound of 100 ms is refused. */
  bool m_refused;
};

class LateTest
  : public FleetTest
  , public ::testing::WithParamInterface<LateCase>
{};

TEST_P(LateTest, EstimatesFollowWhatWasSeen)
{
  Instant now = kNow;
  for (const int took : GetParam().m_tookMs) {
    now += Duration{ 100 };
    m_fleet.NoteFirstToken(
      "llm", *LongRequest(1).m_prompt, 50, Duration{ took }, now);
  }
  PlaceRequest request = LongRequest(1);
  request.m_admissionBound = Duration{ 100 };
  const PlaceResult result = m_fleet.FindPlace(request, now);
  EXPECT_EQ(std::holds_alternative<PlaceFault>(result), GetParam().m_refused);
}

INSTANTIATE_TEST_SUITE_P(
  Lateness,
  LateTest,
  ::testing::Values(
    LateCase{ "NothingSeen", {}, false },
    LateCase{ "AsExpected", { 50, 50, 50 }, false },
    LateCase{ "OneLateOneIsChance", { 50, 50, 50, 150, 50, 50 }, false },
    LateCase{ "LateForHalfASecond", { 300, 300, 300, 300, 300 }, true },
    LateCase{ "ThePeakIsOver",
              { 300, 300, 300, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50 },
              false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST_F(FleetTest, LateLongPromptsDoNotTurnShortOnesAway)
{
  PlaceRequest request = LongRequest(1);
  const Prompt longPrompt = *request.m_prompt;
  for (int i = 0; i < 10; ++i) {
    m_fleet.NoteFirstToken("llm", longPrompt, 50, Duration{ 500 }, kNow);
  }
  request.m_admissionBound = Duration{ 100 };
  EXPECT_TRUE(
    std::holds_alternative<PlaceFault>(m_fleet.FindPlace(request, kNow)));
  request.m_prompt = Prompt{ 1, 80, 140, 90 };
  EXPECT_TRUE(std::holds_alternative<Place>(m_fleet.FindPlace(request, kNow)));
}

TEST_F(FleetTest, TokensThatEveryEngineCachesAreNotCounted)
{
  Prompt prompt = *LongRequest(1).m_prompt;
  prompt.m_commonTokens = 2500;
  EXPECT_EQ(Fleet::TokensToPrefill(prompt, false), 3000 + 6000 - 2500);
  EXPECT_EQ(Fleet::TokensToPrefill(prompt, true), 3000);
}

TEST_F(FleetTest, APromptThatWouldComeTooLateIsRefusedWithATime)
{
  for (int i = 0; i < 8; ++i) {
    m_fleet.NoteSent("g" + std::to_string(i), 100'000, kNow);
  }
  for (int i = 0; i < 4; ++i) {
    m_fleet.NoteSent("p" + std::to_string(i), 100'000, kNow);
  }
  PlaceRequest request = LongRequest(5);
  request.m_admissionBound = Duration{ 180 };
  const PlaceResult result = m_fleet.FindPlace(request, kNow);
  const auto* fault = std::get_if<PlaceFault>(&result);
  ASSERT_NE(fault, nullptr);
  EXPECT_EQ(fault->m_cause, NoPlaceCause::Full);
  EXPECT_GT(fault->m_roomIn.count(), 0);
  request.m_admissionBound = Duration{ 10'000 };
  EXPECT_TRUE(std::holds_alternative<Place>(m_fleet.FindPlace(request, kNow)));
}

TEST_F(FleetTest, APrefillEngineIsNeverAskedToDecode)
{
  EXPECT_TRUE(rc::check("any load of the two engines", [] {
    Fleet fleet;
    fleet.Put(MakeMember("g", "llm", UpstreamRole::Decode));
    fleet.Put(MakeMember("p", "llm", UpstreamRole::Prefill));
    fleet.NoteSent("g", *rc::gen::inRange<std::int64_t>(0, 500'000), kNow);
    fleet.NoteSent("p", *rc::gen::inRange<std::int64_t>(0, 500'000), kNow);
    PlaceRequest request = LongRequest(*rc::gen::inRange(1, 1000));
    request.m_prompt->m_sharedTokens = *rc::gen::inRange(0, 9000);
    const PlaceResult result = fleet.FindPlace(request, kNow);
    const auto* place = std::get_if<Place>(&result);
    RC_ASSERT(place != nullptr);
    RC_ASSERT(place->m_upstream == "g");
    RC_ASSERT(place->m_prefillEngine.empty() || place->m_prefillEngine == "p");
  }));
}

/**
 * A row for the id of a member that was leaving and had the start time 1,000.
 * `m_born` is the start time in the row, `m_droppedBefore` whether the member
 * was removed before the row is read, `m_order` how the row's incarnation
 * relates to the known one, and `m_isUsed` whether the member gets calls
 * afterwards.
 */
struct IncarnationCase
{
  const char* m_name;
  std::optional<std::int64_t> m_born;
  bool m_droppedBefore;
  IncarnationOrder m_order;
  bool m_isUsed;
};

class FleetIncarnationTest
  : public FleetTest
  , public ::testing::WithParamInterface<IncarnationCase>
{};

TEST_P(FleetIncarnationTest, ALaterIncarnationIsNewAndAnEarlierOneStaysRemoved)
{
  Member member = MakeMember("c", "alone");
  member.m_born = 1000;
  member.m_leaving = true;
  m_fleet.Put(member);
  if (GetParam().m_droppedBefore) {
    m_fleet.Drop("c", std::nullopt);
  }
  member.m_born = GetParam().m_born;
  member.m_leaving = false;
  EXPECT_EQ(m_fleet.Put(member), GetParam().m_order);
  PlaceRequest request = PlainRequest();
  request.m_service = "alone";
  EXPECT_EQ(std::holds_alternative<Place>(m_fleet.FindPlace(request, kNow)),
            GetParam().m_isUsed);
}

INSTANTIATE_TEST_SUITE_P(
  Incarnations,
  FleetIncarnationTest,
  ::testing::Values(
    IncarnationCase{ "Later", 2000, false, IncarnationOrder::Later, true },
    IncarnationCase{ "LaterAfterItHadGone",
                     2000,
                     true,
                     IncarnationOrder::Later,
                     true },
    IncarnationCase{ "Same", 1000, false, IncarnationOrder::Same, false },
    IncarnationCase{ "SameAfterALapse",
                     1000,
                     true,
                     IncarnationOrder::Same,
                     false },
    IncarnationCase{ "Earlier", 900, false, IncarnationOrder::Earlier, false },
    IncarnationCase{ "EarlierAfterItHadGone",
                     900,
                     true,
                     IncarnationOrder::Earlier,
                     false },
    IncarnationCase{ "NotSaid", {}, false, IncarnationOrder::Same, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Calls and failures of an earlier incarnation must not affect the later one.
TEST_F(FleetTest, ALaterIncarnationInheritsNothingFromTheEarlierOne)
{
  Member member = MakeMember("c", "alone");
  member.m_born = 1000;
  m_fleet.Put(member);
  PlaceRequest request = PlainRequest();
  request.m_service = "alone";
  m_fleet.NoteSent("c", 0, kNow);
  m_fleet.NoteUnreachable("c", kNow);
  EXPECT_FALSE(std::holds_alternative<Place>(m_fleet.FindPlace(request, kNow)));
  member.m_born = 2000;
  m_fleet.Put(member);
  EXPECT_TRUE(std::holds_alternative<Place>(m_fleet.FindPlace(request, kNow)));
  EXPECT_TRUE(m_fleet.OwnLoads().empty());
}

TEST_F(FleetTest, ALeavingAnnouncementAppliesToOneIncarnation)
{
  Member member = MakeMember("c", "alone");
  member.m_born = 2000;
  m_fleet.Put(member);
  m_fleet.MarkLeaving({ "c", 1000 });
  EXPECT_FALSE(m_fleet.Find("c")->m_leaving);
  m_fleet.MarkLeaving({ "c", 2000 });
  EXPECT_TRUE(m_fleet.Find("c")->m_leaving);
}

// Applies rows, removals and leaving announcements of four incarnations in any
// order. The member must always be the latest incarnation that was seen, and
// leave for good once that one was said to leave, or to have been followed.
TEST(FleetIncarnationWorldTest, TheLatestIncarnationIsKnownInAnyOrderOfMessages)
{
  EXPECT_TRUE(rc::check("lives", [] {
    Fleet fleet;
    std::int64_t latest = 0;
    bool isListed = false;
    std::int64_t leftUpTo = 0; ///< The latest incarnation that leaves.
    const int count = *rc::gen::inRange(0, 40);
    for (int i = 0; i < count; ++i) {
      const std::int64_t born = *rc::gen::inRange(1, 5);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          fleet.Drop("e", std::nullopt);
          isListed = false;
          break;
        case 1:
          fleet.MarkLeaving({ "e", born });
          leftUpTo = std::max(leftUpTo, born);
          break;
        default:
          Member member = MakeMember("e", "alone");
          member.m_born = born;
          member.m_leaving = *rc::gen::arbitrary<bool>();
          fleet.Put(member);
          if (born < latest) {
            break;
          }
          if (member.m_leaving) {
            leftUpTo = std::max(leftUpTo, born);
          }
          latest = born;
          isListed = true;
      }
      const Member* held = fleet.Find("e");
      RC_ASSERT((held != nullptr) == isListed);
      if (held != nullptr) {
        RC_ASSERT(held->m_born == latest);
        RC_ASSERT(held->m_leaving == (latest <= leftUpTo));
      }
    }
  }));
}

} // namespace
} // namespace ridgeferry::relay
