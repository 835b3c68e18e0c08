#include <gtest/gtest.h>
#include <ridgeferry/relay/KeptParts.h>
#include <ridgeferry/relay/MedianPace.h>

namespace ridgeferry::relay {
namespace {

constexpr Instant kNow{ Duration{ 100'000 } };

/** A lookup in an index that has one entry: segment 7 at engine 70. */
struct KeptCase
{
  const char* m_name;
  KeptPart m_asked;
  Duration m_age;
  bool m_kept;
};

class KeptPartsTest : public ::testing::TestWithParam<KeptCase>
{};

TEST_P(KeptPartsTest, WhatWasUsedLatelyIsKeptThere)
{
  KeptParts kept;
  kept.Note({ 7, 70 }, kNow);
  EXPECT_EQ(
    kept.IsKept(GetParam().m_asked, KeptParts::kLife, kNow + GetParam().m_age),
    GetParam().m_kept);
}

INSTANTIATE_TEST_SUITE_P(
  Parts,
  KeptPartsTest,
  ::testing::Values(
    KeptCase{ "There", { 7, 70 }, Duration{ 1000 }, true },
    KeptCase{ "LongAgo", { 7, 70 }, KeptParts::kLife, false },
    KeptCase{ "AtAnother", { 7, 71 }, Duration{ 1000 }, false },
    KeptCase{ "AnotherPart", { 8, 70 }, Duration{ 1000 }, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(KeptPartsLifeTest, UseKeepsAPartAndGeneratingShortensItsLife)
{
  KeptParts kept;
  Instant now = kNow;
  for (int i = 0; i < 10; ++i) {
    now += KeptParts::kLife / 2;
    kept.Note({ 7, 70 }, now);
  }
  now += KeptParts::kLifeBesideOutput;
  EXPECT_TRUE(kept.IsKept({ 7, 70 }, KeptParts::kLife, now));
  EXPECT_FALSE(kept.IsKept({ 7, 70 }, KeptParts::kLifeBesideOutput, now));
}

TEST(MedianPaceTest, AThirdOfFarSamplesDoesNotMoveIt)
{
  MedianPace pace;
  EXPECT_EQ(pace.Count(), 0U);
  for (const double sample :
       { 60.0, 2000.0, 61.0, 10.0, 62.0, 59.0, 10.0, 60.0, 61.0 }) {
    pace.Note(sample);
  }
  EXPECT_EQ(pace.Median(), 60);
}

TEST(MedianPaceTest, FollowsAnEngineThatTurnedSlow)
{
  MedianPace pace;
  for (std::size_t i = 0; i < MedianPace::kSamples; ++i) {
    pace.Note(60);
  }
  for (std::size_t i = 0; i <= MedianPace::kSamples / 2; ++i) {
    pace.Note(20);
  }
  EXPECT_EQ(pace.Median(), 20);
}

TEST(KeptPartsLifeTest, AnEngineThatStartedAgainKeepsNothing)
{
  KeptParts kept;
  kept.Note({ 7, 70 }, kNow);
  kept.Note({ 8, 70 }, kNow);
  kept.Note({ 7, 71 }, kNow);
  kept.ForgetMember(70);
  EXPECT_FALSE(kept.IsKept({ 7, 70 }, KeptParts::kLife, kNow));
  EXPECT_FALSE(kept.IsKept({ 8, 70 }, KeptParts::kLife, kNow));
  EXPECT_TRUE(kept.IsKept({ 7, 71 }, KeptParts::kLife, kNow));
}

} // namespace
} // namespace ridgeferry::relay
