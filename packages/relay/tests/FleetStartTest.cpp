// Upstreams that have just started or recovered get as many calls as their
// answers speak for.

#include "FleetFixture.h"

#include <cmath>
#include <functional>

namespace ridgeferry::relay {
namespace {

constexpr int kCalls = 4000;
/** Relative error of a share that is measured over so many calls. */
constexpr double kTolerance = 0.2;
constexpr Duration kRound = pacing::StartPace::kRound;
constexpr Duration kTook{ 20 };

class FleetStartTest : public FleetTest
{
protected:
  FleetStartTest()
  {
    m_fleet.Starts().SetEnabled(true);
    Serve("a", kTook);
    Serve("b", kTook);
  }

  /** One call, from its send to its end. */
  void Serve(const std::string& aId,
             Duration aTook,
             AttemptEnd aEnd = AttemptEnd::Served)
  {
    m_fleet.NoteSent(aId, 0, m_now);
    m_now += aTook;
    m_fleet.NoteResponse(aId);
    m_fleet.NoteEnded(aId, 0, aEnd, aTook, m_now);
  }

  /** Share of an even part of the calls that a member would get now. */
  double ShareOf(std::string_view aId,
                 const PlaceRequest& aLike,
                 std::size_t aMembers)
  {
    int got = 0;
    for (std::uint64_t i = 0; i < kCalls; ++i) {
      PlaceRequest request = aLike;
      request.m_random = i * 7919;
      const PlaceResult result = m_fleet.FindPlace(request, m_now);
      const auto* place = std::get_if<Place>(&result);
      EXPECT_NE(place, nullptr);
      got += place != nullptr &&
                 (place->m_upstream == aId || place->m_prefillEngine == aId)
               ? 1
               : 0;
    }
    return got * static_cast<double>(aMembers) / kCalls;
  }
  double PlainShareOf(std::string_view aId)
  {
    return ShareOf(aId, PlainRequest(), 3);
  }

  Instant m_now = kNow;
};

/** What happens to a member that was listed beside others, and what it then
 * gets. */
struct StartCase
{
  const char* m_name;
  /** Answers, a round apart. */
  std::vector<std::pair<Duration, AttemptEnd>> m_answers;
  double m_share;
};

class FleetStartAnswersTest
  : public FleetStartTest
  , public ::testing::WithParamInterface<StartCase>
{};

TEST_P(FleetStartAnswersTest, DecideWhatItGets)
{
  m_fleet.Put(MakeMember("c", "desk"), m_now);
  for (const auto& [took, end] : GetParam().m_answers) {
    m_now += kRound;
    Serve("c", took, end);
  }
  const double share = GetParam().m_share;
  EXPECT_NEAR(PlainShareOf("c"), share, kTolerance * share);
}

const std::pair<Duration, AttemptEnd> kGood{ kTook, AttemptEnd::Served };
const std::pair<Duration, AttemptEnd> kSlow{ kTook * 10, AttemptEnd::Served };
const std::pair<Duration, AttemptEnd> kFailed{ kTook, AttemptEnd::Failed };
const std::pair<Duration, AttemptEnd> kLeft{ kTook, AttemptEnd::Abandoned };

INSTANTIATE_TEST_SUITE_P(
  Answers,
  FleetStartAnswersTest,
  ::testing::Values(StartCase{ "None", {}, 0.25 },
                    StartCase{ "Good", { kGood }, 0.5 },
                    StartCase{ "Slow", { kSlow }, 0.125 },
                    StartCase{ "Failed", { kFailed }, 0.125 },
                    StartCase{ "OfCallersThatLeft", { kLeft }, 0.25 },
                    StartCase{ "GoodThenSlow", { kGood, kSlow }, 0.25 },
                    StartCase{ "SlowThenGood", { kSlow, kGood }, 0.25 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Guards against a slow beginning keeping calls away after it is over.
TEST_F(FleetStartTest, WhatItTookAtFirstIsForgotten)
{
  m_fleet.Put(MakeMember("c", "desk"), m_now);
  Serve("c", kTook * 30);
  for (int i = 0; i < 3; ++i) {
    m_now += kRound;
    Serve("c", kTook);
  }
  EXPECT_EQ(m_fleet.Starts().CountInStart(), 0U);
  EXPECT_NEAR(PlainShareOf("c"), 1, kTolerance);
}

// The same where the start ends as nobody finds out about it.
TEST_F(FleetStartTest, WhatItTookAtFirstIsForgottenWithoutAnAnswer)
{
  m_fleet.Put(MakeMember("c", "desk"), m_now);
  Serve("c", kTook * 30);
  while (m_fleet.Starts().CountInStart() > 0) {
    ASSERT_LE(m_now, kNow + 4 * pacing::StartPace::kFresh);
    m_now += kRound;
    m_fleet.Tick(m_now);
  }
  EXPECT_GT(PlainShareOf("c"), 0.7);
}

// Guards against a start that ends without an answer flooding the member: what
// is unknown would count as fast.
TEST_F(FleetStartTest, AMemberWithoutAnswersCountsAsTheOthersBehindItsStart)
{
  for (int i = 0; i < 30; ++i) {
    Serve("a", kTook * 10);
    Serve("b", kTook * 10);
  }
  m_fleet.Put(MakeMember("c", "desk"), m_now);
  m_fleet.NotePeerPace(
    { Fleet::ShortHash("c"), 2, pacing::StartPace::kFullLevel, Duration{ 10 } },
    m_now);
  EXPECT_NEAR(PlainShareOf("c"), 1, 0.5);
}

TEST_F(FleetStartTest, AMemberThatIsEjectedIsInStartBehindThat)
{
  m_fleet.Put(MakeMember("c", "desk"), m_now);
  for (int i = 0; i < 2; ++i) {
    m_now += kRound;
    Serve("c", kTook);
  }
  ASSERT_EQ(m_fleet.Starts().CountInStart(), 0U);
  for (int i = 0; i < Fleet::kFailuresToEject; ++i) {
    m_fleet.NoteSent("c", 0, m_now);
    m_fleet.NoteResponse("c", m_now);
    m_fleet.NoteEnded("c", 0, AttemptEnd::Failed, Duration{ 5 }, m_now);
  }
  m_now += Fleet::kEjectionTime;
  EXPECT_NEAR(PlainShareOf("c"), 0.25, 0.25 * kTolerance);
}

// Guards against a member on probation waiting long for its one call.
TEST_F(FleetStartTest, AProbeDoesNotWaitForTheStart)
{
  m_fleet.Put(MakeMember("c", "desk"), m_now);
  m_fleet.NoteUnreachable("c", m_now);
  m_now += Fleet::kEjectionTime;
  EXPECT_GT(PlainShareOf("c"), 0.7);
}

// Guards against the only upstream that answers again getting few calls, while
// the others are not known to answer.
TEST_F(FleetStartTest, AMemberOnProbationIsNoneThatServes)
{
  m_fleet.NoteUnreachable("a", m_now);
  m_fleet.NoteUnreachable("b", m_now);
  m_now += Fleet::kEjectionTime;
  m_fleet.NoteSent("b", 0, m_now);
  m_now += kTook;
  m_fleet.NoteResponse("b", m_now);
  m_fleet.NoteEnded("b", 0, AttemptEnd::Failed, kTook, m_now);
  EXPECT_GT(ShareOf("b", PlainRequest(), 2), 0.7);
}

TEST_F(FleetStartTest, WhatAPeerFoundEndsTheStart)
{
  m_fleet.Put(MakeMember("c", "desk"), m_now);
  m_fleet.NotePeerPace(
    { Fleet::ShortHash("c"), 2, pacing::StartPace::kFullLevel, Duration{ 10 } },
    m_now);
  EXPECT_EQ(m_fleet.Starts().CountInStart(), 0U);
}

TEST_F(FleetStartTest, AnUpstreamThatIsNotListedHasNoStart)
{
  m_fleet.NotePeerPace({ Fleet::ShortHash("nobody"), 2, 0, Duration{ 10 } },
                       m_now);
  EXPECT_TRUE(m_fleet.Starts().IsEmpty());
}

/** When a member that is put has no start. */
struct NoStartCase
{
  const char* m_name;
  std::function<void(Fleet&, Instant)> m_do;
};

class FleetNoStartTest
  : public FleetStartTest
  , public ::testing::WithParamInterface<NoStartCase>
{};

TEST_P(FleetNoStartTest, NoneIsInStart)
{
  GetParam().m_do(m_fleet, m_now);
  EXPECT_EQ(m_fleet.Starts().CountInStart(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Members,
  FleetNoStartTest,
  ::testing::Values(NoStartCase{ "OfAServiceOfWhichNoneHasServedYet",
                                 [](Fleet& aFleet, Instant aNow) {
                                   aFleet.Put(MakeMember("n",
                                                         "llm",
                                                         UpstreamRole::Decode),
                                              aNow);
                                 } },
                    NoStartCase{ "ListedAgain",
                                 [](Fleet& aFleet, Instant aNow) {
                                   aFleet.Put(MakeMember("a", "desk"), aNow);
                                 } },
                    NoStartCase{ "WhoseRowHadLapsed",
                                 [](Fleet& aFleet, Instant aNow) {
                                   Member member = MakeMember("a", "desk");
                                   member.m_born = 5;
                                   aFleet.Put(member);
                                   aFleet.Drop("a", std::nullopt);
                                   aFleet.Put(member, aNow);
                                 } },
                    NoStartCase{ "WhichIsGone",
                                 [](Fleet& aFleet, Instant aNow) {
                                   aFleet.Put(MakeMember("c", "desk"), aNow);
                                   aFleet.Drop("c", std::nullopt);
                                 } },
                    NoStartCase{ "WhereItIsSwitchedOff",
                                 [](Fleet& aFleet, Instant aNow) {
                                   aFleet.Put(MakeMember("c", "desk"), aNow);
                                   aFleet.Starts().SetEnabled(false);
                                   aFleet.Put(MakeMember("d", "desk"), aNow);
                                 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST_F(FleetStartTest, ALaterIncarnationIsInStart)
{
  Member member = MakeMember("a", "desk");
  member.m_born = 5;
  m_fleet.Put(member);
  member.m_born = 6;
  m_fleet.Put(member, m_now);
  EXPECT_EQ(m_fleet.Starts().CountInStart(), 1U);
}

// The wish gives way to callers: a call is not refused beside idle upstreams.
TEST_F(FleetStartTest, GetsAllCallsThatOthersHaveNoRoomFor)
{
  m_fleet.Put(MakeMember("c", "desk"), m_now);
  PlaceRequest request = PlainRequest();
  request.m_mostOpen = 1;
  m_fleet.NoteSent("a", 0, m_now);
  m_fleet.NoteSent("b", 0, m_now);
  EXPECT_NEAR(ShareOf("c", request, 1), 1, 0.001);
}

class FleetEngineStartTest : public FleetStartTest
{
protected:
  FleetEngineStartTest()
  {
    m_fleet.RestoreDisaggregatedServices({ Fleet::ShortHash("llm") });
    Serve("g0", kTook);
  }

  static PlaceRequest Prompt()
  {
    PlaceRequest out = LongRequest(7);
    out.m_prompt->m_sharedTokens = 0;
    out.m_prompt->m_ownTokens = 9000;
    return out;
  }
};

TEST_F(FleetEngineStartTest, APrefillEngineGetsItsShare)
{
  m_fleet.Put(MakeMember("p9", "llm", UpstreamRole::Prefill), m_now);
  const double share = ShareOf("p9", Prompt(), 5);
  EXPECT_NEAR(share, 0.25, 0.25 * kTolerance);
}

TEST_F(FleetEngineStartTest, ADecodeEngineGetsItsShare)
{
  m_fleet.Put(MakeMember("g9", "llm", UpstreamRole::Decode), m_now);
  const double share = ShareOf("g9", Prompt(), 9);
  EXPECT_NEAR(share, 0.25, 0.25 * kTolerance);
}

TEST_F(FleetEngineStartTest, ASlowThroughputHalvesItsShare)
{
  const auto read = [this](const std::string& aId, Duration aTook) {
    m_now += kRound;
    m_fleet.NoteThroughput({ aId, 9000, aTook, true, m_now });
    m_now += aTook;
  };
  for (int i = 0; i < 10; ++i) {
    read("p0", Duration{ 100 });
  }
  m_fleet.Put(MakeMember("p9", "llm", UpstreamRole::Prefill), m_now);
  read("p9", Duration{ 800 });
  EXPECT_NEAR(ShareOf("p9", Prompt(), 5), 0.125, 0.125 * kTolerance);
}

// Guards against too few engines doing all the work where many start at once.
TEST_F(FleetEngineStartTest, OfManyThatStartAtOnceNoneGetsLess)
{
  for (int i = 0; i < 4; ++i) {
    m_fleet.Put(
      MakeMember("new" + std::to_string(i), "llm", UpstreamRole::Prefill),
      m_now);
  }
  double share = 0;
  for (int i = 0; i < 4; ++i) {
    share += ShareOf("new" + std::to_string(i), Prompt(), 1);
  }
  EXPECT_GT(share, 0.4);
}

// Guards against all prompts going to the other role while the only engines of
// one are in start.
TEST_F(FleetEngineStartTest, ARoleWhoseEnginesAllStartGetsItsCalls)
{
  for (int i = 0; i < 4; ++i) {
    const std::string id = "p" + std::to_string(i);
    m_fleet.Drop(id, std::nullopt);
    m_fleet.Put(MakeMember(id + "-new", "llm", UpstreamRole::Prefill), m_now);
  }
  double share = 0;
  for (int i = 0; i < 4; ++i) {
    share += ShareOf("p" + std::to_string(i) + "-new", Prompt(), 1);
  }
  EXPECT_GT(share, 0.95);
}

} // namespace
} // namespace ridgeferry::relay
