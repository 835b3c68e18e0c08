#include "StreamOriginWorld.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <ostream>
#include <rapidcheck/gtest.h>

namespace ridgeferry::streams {
namespace {

/** Least share of the streams taken up, in percent, that must go on where their
 * instance and two upstreams of their version were there all the while. */
constexpr int kLeastGoOn = 90;
/** The least that the users allow, in all trouble: half. */
constexpr int kLeastInTrouble = 50;

struct WorldCase
{
  const char* m_name;
  WorldTerms m_terms;
  int m_leastGoOn = kLeastGoOn;
};

std::ostream&
operator<<(std::ostream& aOut, const WorldCase& aCase)
{
  return aOut << aCase.m_name;
}

WorldTerms
Terms(double aKills, double aSuspensions, bool aHasCut, Duration aRolloutEvery)
{
  WorldTerms out;
  out.m_kills = aKills;
  out.m_suspensions = aSuspensions;
  out.m_hasCut = aHasCut;
  out.m_rolloutEvery = aRolloutEvery;
  return out;
}

class StreamOriginWorldTest : public ::testing::TestWithParam<WorldCase>
{};

// Guards against streams of two versions, and against refusing them all.
TEST_P(StreamOriginWorldTest, NoStreamChangesVersionAndMostGoOn)
{
  EXPECT_TRUE(rc::check(GetParam().m_name, [&] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    const WorldResult result =
      StreamOriginWorld(GetParam().m_terms, seed).Play();
    RC_ASSERT(result.m_mixed == 0);
    RC_ASSERT(result.m_takenUpInTouch > 0);
    RC_ASSERT(result.m_goOnInTouch * 100 >=
              result.m_takenUpInTouch * GetParam().m_leastGoOn);
  }));
}

constexpr Duration kOften{ 6000 };

INSTANTIATE_TEST_SUITE_P(
  Worlds,
  StreamOriginWorldTest,
  ::testing::Values(
    WorldCase{ "Calm", Terms(0, 0, false, kOften) },
    WorldCase{ "Kills", Terms(0.5, 0, false, kOften) },
    WorldCase{ "Suspensions", Terms(0, 0.5, false, kOften) },
    WorldCase{ "Cut", Terms(0, 0, true, kOften), kLeastInTrouble },
    WorldCase{ "All", Terms(0.4, 0.3, true, kOften), kLeastInTrouble }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** Of streams, over all worlds that were drawn. */
struct Share
{
  int m_takenUp = 0;
  int m_goOn = 0;
};

/** Draws worlds of a case: no stream changes version, and of those counted over
 * all worlds the least share goes on. */
Share
PlayWorlds(const WorldCase& aCase,
           int WorldResult::*aTakenUp,
           int WorldResult::*aGoOn)
{
  Share share;
  EXPECT_TRUE(rc::check(aCase.m_name, [&] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    const WorldResult result = StreamOriginWorld(aCase.m_terms, seed).Play();
    RC_ASSERT(result.m_mixed == 0);
    share.m_takenUp += result.*aTakenUp;
    share.m_goOn += result.*aGoOn;
  }));
  EXPECT_GT(share.m_takenUp, 0);
  EXPECT_GE(share.m_goOn * 100, share.m_takenUp * aCase.m_leastGoOn)
    << share.m_goOn << " of " << share.m_takenUp;
  return share;
}

// ---- instances out of step ----

/** Versions join soon after a cut has begun, while those that are cut off still
 * take themselves to follow the list. */
constexpr Duration kNextVersion{ 10'400 };

/** One version has served for long enough to prove an origin when the next one
 * joins. */
WorldTerms
OutOfStepTerms(double aSuspensions, bool aHasCut, bool aCutsStore)
{
  WorldTerms out = Terms(0, aSuspensions, aHasCut, kNextVersion);
  out.m_length = Duration{ 45'000 };
  out.m_memory = Duration{ 5000 }; // No stream with its tries lasts longer.
  out.m_longestStream = Duration{ 900 };
  out.m_breaks = 12;
  out.m_cutsStore = aCutsStore;
  out.m_longestCatchUp = Duration{ 400 };
  return out;
}

class OutOfStepWorldTest : public ::testing::TestWithParam<WorldCase>
{};

// Guards against streams of two versions where an instance's list stands still
// while upstreams of a new version join.
TEST_P(OutOfStepWorldTest, NoStreamChangesVersion)
{
  PlayWorlds(
    GetParam(), &WorldResult::m_takenUpInTouch, &WorldResult::m_goOnInTouch);
}

INSTANTIATE_TEST_SUITE_P(
  Worlds,
  OutOfStepWorldTest,
  ::testing::Values(
    WorldCase{ "Calm", OutOfStepTerms(0, false, false) },
    WorldCase{ "Suspended", OutOfStepTerms(1, false, false) },
    WorldCase{ "CutFromInstances",
               OutOfStepTerms(0, true, false),
               kLeastInTrouble },
    WorldCase{ "CutFromBoth", OutOfStepTerms(0, true, true), kLeastInTrouble },
    WorldCase{ "SuspendedAndCut",
               OutOfStepTerms(0.5, true, true),
               kLeastInTrouble }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// ---- losses of all instances ----

/** Where the store is away or comes back older, what was written may be gone:
 * then it is enough that no stream changes version. */
constexpr int kNone = 0;

WorldTerms
LossTerms(Duration aEvery, Duration aRolloutEvery)
{
  WorldTerms out;
  out.m_allLostEvery = aEvery;
  out.m_rolloutEvery = aRolloutEvery;
  return out;
}

WorldTerms
OneVersionTerms(Duration aEvery, Duration aLongestStream)
{
  WorldTerms out = LossTerms(aEvery, {});
  out.m_longestStream = aLongestStream;
  return out;
}

/** The same, with trouble of the store. */
WorldTerms
WithStore(WorldTerms aTerms,
          double aLostWrites,
          Duration aLongestWrite,
          Duration aAwayEvery,
          bool aHasOldCopies)
{
  aTerms.m_lostWrites = aLostWrites;
  aTerms.m_longestWrite = aLongestWrite;
  aTerms.m_storeAwayEvery = aAwayEvery;
  aTerms.m_hasOldCopies = aHasOldCopies;
  return aTerms;
}

class LossOfAllWorldTest : public ::testing::TestWithParam<WorldCase>
{};

// Guards against streams that nobody can take up behind a loss of all
// instances, and against streams of two versions there.
TEST_P(LossOfAllWorldTest, NoStreamChangesVersionAndHalfGoOn)
{
  const Share share = PlayWorlds(GetParam(),
                                 &WorldResult::m_takenUpBehindLoss,
                                 &WorldResult::m_goOnBehindLoss);
  std::cout << GetParam().m_name << ": " << share.m_goOn << " of "
            << share.m_takenUp << " went on\n";
}

/** While a second version is rolled out. */
constexpr Duration kOnce{ 9000 };
constexpr Duration kTwice{ 4000 };
/** Where one version serves, origins are stored later, so streams are longer.
 */
constexpr Duration kLongStream{ 6000 };
constexpr Duration kQuickWrite{ 60 };
constexpr Duration kSlowWrite{ 1000 };
constexpr Duration kAwayEvery{ 2000 };
/** Three versions serve within the time that is played. */
constexpr Duration kQuickRollouts{ 2500 };

INSTANTIATE_TEST_SUITE_P(
  Losses,
  LossOfAllWorldTest,
  ::testing::Values(
    WorldCase{ "Once", LossTerms(kOnce, kOften), kLeastInTrouble },
    WorldCase{ "OnceOneVersion",
               OneVersionTerms(kOnce, kLongStream),
               kLeastInTrouble },
    WorldCase{ "Twice", LossTerms(kTwice, kOften), kLeastInTrouble },
    WorldCase{ "TwiceThreeVersions",
               LossTerms(kTwice, kQuickRollouts),
               kLeastInTrouble },
    WorldCase{ "SlowStore",
               WithStore(LossTerms(kOnce, kOften), 0, kSlowWrite, {}, false),
               kNone },
    WorldCase{ "LostWrites",
               WithStore(LossTerms(kOnce, kOften), 0.3, kSlowWrite, {}, false),
               kNone },
    WorldCase{
      "StoreAway",
      WithStore(LossTerms(kTwice, kOften), 0.1, kQuickWrite, kAwayEvery, false),
      kNone },
    WorldCase{ "OldCopies",
               WithStore(LossTerms(kTwice, kOften), 0, kQuickWrite, {}, true),
               kNone },
    WorldCase{ "All",
               WithStore(LossTerms(kTwice, kQuickRollouts),
                         0.1,
                         kQuickWrite,
                         kAwayEvery,
                         true),
               kNone }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

struct WayCase
{
  const char* m_name;
  Telling m_telling;
  int m_instances;
};

/** Messages an instance and stream, and the share that goes on, in percent. */
struct WayResult
{
  double m_messages = 0;
  double m_goOn = 0;
  int m_mixed = 0;
};

WayResult
Measure(Telling aTelling, int aInstances)
{
  constexpr double kStreamsEach = 13; // 4,700 a second at 360 instances.
  WorldTerms terms = Terms(0.02 * aInstances, 0, false, kOften);
  terms.m_instances = aInstances;
  terms.m_dataCentres = 8;
  terms.m_telling = aTelling;
  terms.m_streams = kStreamsEach * aInstances;
  terms.m_length = Duration{ 3000 };
  const WorldResult result = StreamOriginWorld(terms, 1).Play();
  const auto seconds = static_cast<double>(terms.m_length.count()) / 1000;
  return { static_cast<double>(result.m_messages) / aInstances / seconds,
           100.0 * result.m_goOnInTouch / std::max(1, result.m_takenUpInTouch),
           result.m_mixed };
}

// Two ways, and none, with the same load at each instance.
TEST(StreamOriginWaysTest, WhatIsToldDoesNotGrowWithTheFleet)
{
  std::cout << "messages an instance and second, share that goes on\n";
  const double small = Measure(Telling::Holders, 30).m_messages;
  for (const int instances : { 30, 100, 300 }) {
    const WayResult holders = Measure(Telling::Holders, instances);
    std::cout << "told to holders, " << instances << ": " << holders.m_messages
              << ", " << holders.m_goOn << " %\n";
    EXPECT_LT(holders.m_messages, 1.3 * small);
    EXPECT_GE(holders.m_goOn, kLeastGoOn);
    EXPECT_EQ(holders.m_mixed, 0);
  }
  const WayResult all = Measure(Telling::All, 30);
  const WayResult nobody = Measure(Telling::Nobody, 30);
  std::cout << "told to all, 30: " << all.m_messages << ", " << all.m_goOn
            << " %\ntold to nobody, 30: " << nobody.m_messages << ", "
            << nobody.m_goOn << " %\n";
  EXPECT_EQ(all.m_mixed + nobody.m_mixed, 0);
}

} // namespace
} // namespace ridgeferry::streams
