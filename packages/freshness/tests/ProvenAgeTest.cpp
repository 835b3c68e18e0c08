#include <gtest/gtest.h>
#include <ridgeferry/freshness/ProvenAge.h>

namespace ridgeferry::freshness {
namespace {

constexpr Instant kNow{ Duration{ 1'000'000 } };
/** The store's clock at `kNow`. */
constexpr Duration kStoreNow{ 5000 };

StoreMoment
At(Duration aClock, StoreGeneration aGeneration = 0)
{
  return { aGeneration, aClock };
}

/** An instance that has just read the table in 4 ms, up to version 7. */
ProvenAge
JustRead()
{
  ProvenAge out;
  out.NoteRead(At(kStoreNow), kNow - Duration{ 4 }, kNow);
  return out;
}

// An answer that the store holds for two seconds proves nearly the moment at
// which it was made, not only the moment of the question.
TEST(ProvenAgeTest, AHeldAnswerProvesTheMomentAtWhichItWasMade)
{
  ProvenAge age = JustRead();
  const Instant later = kNow + Duration{ 2010 };
  age.NoteRead(At(kStoreNow + Duration{ 2000 }), kNow, later);
  ASSERT_TRUE(age.AgeAt(later).has_value());
  EXPECT_LE(*age.AgeAt(later), Duration{ 20 });
}

TEST(ProvenAgeTest, WithoutAReadingOfTheClockAPeersProofWaits)
{
  ProvenAge age;
  age.NotePeerProof({ { 0, 7 }, At(kStoreNow) }, { 0, 7 }, kNow);
  EXPECT_FALSE(age.AgeAt(kNow).has_value());
  age.NoteReading(At(kStoreNow + Duration{ 100 }),
                  kNow + Duration{ 95 },
                  kNow + Duration{ 105 });
  ASSERT_TRUE(age.AgeAt(kNow + Duration{ 105 }).has_value());
  EXPECT_LE(*age.AgeAt(kNow + Duration{ 105 }), Duration{ 120 });
}

struct PeerProofCase
{
  const char* m_name;
  TableProof m_proof;
  StorePosition m_held;
  bool m_counts;
};

class PeerProofTest : public ::testing::TestWithParam<PeerProofCase>
{};

TEST_P(PeerProofTest, CountsOnlyIfAllItsChangesAreHeld)
{
  ProvenAge age = JustRead();
  const Instant later = kNow + Duration{ 3000 };
  age.NotePeerProof(GetParam().m_proof, GetParam().m_held, later);
  EXPECT_EQ(*age.AgeAt(later) < Duration{ 1000 }, GetParam().m_counts);
}

INSTANTIATE_TEST_SUITE_P(
  Proofs,
  PeerProofTest,
  ::testing::Values(
    PeerProofCase{ "SameChanges",
                   { { 0, 7 }, At(kStoreNow + Duration{ 2900 }) },
                   { 0, 7 },
                   true },
    PeerProofCase{ "MoreHeldHere",
                   { { 0, 7 }, At(kStoreNow + Duration{ 2900 }) },
                   { 0, 8 },
                   true },
    PeerProofCase{ "AChangeIsMissingHere",
                   { { 0, 8 }, At(kStoreNow + Duration{ 2900 }) },
                   { 0, 7 },
                   false },
    PeerProofCase{ "OfALaterGeneration",
                   { { 1, 7 }, At(kStoreNow + Duration{ 2900 }, 1) },
                   { 0, 7 },
                   false },
    PeerProofCase{ "OfAnEarlierGeneration",
                   { { 0, 7 }, At(kStoreNow + Duration{ 2900 }) },
                   { 1, 7 },
                   false },
    PeerProofCase{ "OlderThanKnown",
                   { { 0, 7 }, At(kStoreNow - Duration{ 100 }) },
                   { 0, 7 },
                   false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** How the store's clock steps, and who tells of it. */
struct StepCase
{
  const char* m_name;
  Duration m_before; ///< The clock at `kNow`.
  Duration m_behind; ///< The clock ten seconds later.
};

class ClockStepTest : public ::testing::TestWithParam<StepCase>
{
protected:
  static constexpr Instant kLater = kNow + Duration{ 10'000 };
  static constexpr Instant kMuchLater = kLater + Duration{ 6000 };

  static ProvenAge ReadBefore()
  {
    ProvenAge out;
    out.NoteRead(At(GetParam().m_before), kNow - Duration{ 4 }, kNow);
    return out;
  }
};

// Guards against a reading of before a step of the store's clock that counts as
// one of the future, so that the table stays proven without any answer.
TEST_P(ClockStepTest, WithoutFurtherAnswersTheAgeGrows)
{
  ProvenAge age = ReadBefore();
  age.NoteRead(At(GetParam().m_behind), kLater - Duration{ 4 }, kLater);
  EXPECT_LE(*age.AgeAt(kLater), Duration{ 4 });
  EXPECT_GE(*age.AgeAt(kMuchLater), Duration{ 6000 });
}

TEST_P(ClockStepTest, LaterAnswersProveTheirMoments)
{
  ProvenAge age = ReadBefore();
  age.NoteRead(At(GetParam().m_behind), kLater - Duration{ 4 }, kLater);
  // One that the store held for two seconds.
  age.NoteRead(At(GetParam().m_behind + Duration{ 5990 }),
               kMuchLater - Duration{ 2000 },
               kMuchLater);
  EXPECT_LE(*age.AgeAt(kMuchLater), Duration{ 20 });
  const auto proof = age.ProofFor({ 0, 7 });
  ASSERT_TRUE(proof.has_value());
  EXPECT_EQ(proof->m_until.m_clock, GetParam().m_behind + Duration{ 5990 });
}

// A peer that has not read since the step passes its old proof on, and one that
// has passes a new one on to an instance that has not.
TEST_P(ClockStepTest, ProofsOfTheOtherSideProveNothing)
{
  ProvenAge behind = ReadBefore();
  behind.NoteRead(At(GetParam().m_behind), kLater - Duration{ 4 }, kLater);
  behind.NotePeerProof({ { 0, 7 }, At(GetParam().m_before) }, { 0, 7 }, kLater);
  EXPECT_GE(*behind.AgeAt(kMuchLater), Duration{ 6000 });
  ProvenAge before = ReadBefore();
  before.NotePeerProof({ { 0, 7 }, At(GetParam().m_behind) }, { 0, 7 }, kLater);
  EXPECT_GE(*before.AgeAt(kMuchLater), Duration{ 6000 });
}

constexpr Duration kDay{ 86'400'000 };

INSTANTIATE_TEST_SUITE_P(
  Steps,
  ClockStepTest,
  ::testing::Values(
    StepCase{ "BeginsAnew", kDay, Duration{ 500 } },
    StepCase{ "BackByAMinute", kDay, kDay - Duration{ 50'000 } },
    StepCase{ "BackByElevenSeconds", kDay, kDay - Duration{ 1000 } },
    StepCase{ "ForwardByAMinute", kDay, kDay + Duration{ 70'000 } },
    StepCase{ "ForwardByADay", kDay, 2 * kDay }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(StoreClockTest, AnOldBoundAllowsForDriftAndWantsAnotherReading)
{
  StoreClock clock;
  EXPECT_TRUE(clock.WantsReading(0, kNow));
  clock.NoteReading(At(kStoreNow), kNow);
  EXPECT_FALSE(clock.WantsReading(0, kNow));
  const auto soon = clock.EarliestInstantOf(At(kStoreNow), kNow);
  const Instant later = kNow + Duration{ 1'000'000 };
  EXPECT_TRUE(clock.WantsReading(0, later));
  EXPECT_LT(clock.EarliestInstantOf(At(kStoreNow), later), soon);
  EXPECT_TRUE(clock.WantsReading(1, kNow));
  EXPECT_FALSE(clock.EarliestInstantOf(At(kStoreNow, 1), kNow).has_value());
}

} // namespace
} // namespace ridgeferry::freshness
