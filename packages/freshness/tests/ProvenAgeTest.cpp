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
