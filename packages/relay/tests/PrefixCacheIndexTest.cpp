#include <gtest/gtest.h>
#include <ridgeferry/relay/MedianThroughput.h>
#include <ridgeferry/relay/PrefixCacheIndex.h>

namespace ridgeferry::relay {
namespace {

constexpr Instant kNow{ Duration{ 100'000 } };

/** A lookup in an index that has one entry: segment 7 at engine 70. */
struct CachedCase
{
  const char* m_name;
  CachedSegment m_asked;
  Duration m_age; ///< Time since the entry was recorded.
  bool m_isCached;
};

class PrefixCacheIndexTest : public ::testing::TestWithParam<CachedCase>
{};

TEST_P(PrefixCacheIndexTest, RecentlyUsedSegmentsAreCached)
{
  PrefixCacheIndex kept;
  kept.Note({ 7, 70 }, kNow);
  EXPECT_EQ(kept.IsCached(GetParam().m_asked,
                          PrefixCacheIndex::kLifetime,
                          kNow + GetParam().m_age),
            GetParam().m_isCached);
}

INSTANTIATE_TEST_SUITE_P(
  Parts,
  PrefixCacheIndexTest,
  ::testing::Values(
    CachedCase{ "There", { 7, 70 }, Duration{ 1000 }, true },
    CachedCase{ "LongAgo", { 7, 70 }, PrefixCacheIndex::kLifetime, false },
    CachedCase{ "AtAnother", { 7, 71 }, Duration{ 1000 }, false },
    CachedCase{ "AnotherPart", { 8, 70 }, Duration{ 1000 }, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(PrefixCacheIndexLifetimeTest,
     UseExtendsTheLifetimeWhichIsShorterOnDecodeEngines)
{
  PrefixCacheIndex kept;
  Instant now = kNow;
  for (int i = 0; i < 10; ++i) {
    now += PrefixCacheIndex::kLifetime / 2;
    kept.Note({ 7, 70 }, now);
  }
  now += PrefixCacheIndex::kDecodeLifetime;
  EXPECT_TRUE(kept.IsCached({ 7, 70 }, PrefixCacheIndex::kLifetime, now));
  EXPECT_FALSE(
    kept.IsCached({ 7, 70 }, PrefixCacheIndex::kDecodeLifetime, now));
}

TEST(MedianThroughputTest, AThirdOfFarSamplesDoesNotMoveIt)
{
  MedianThroughput pace;
  EXPECT_EQ(pace.Count(), 0U);
  for (const double sample :
       { 60.0, 2000.0, 61.0, 10.0, 62.0, 59.0, 10.0, 60.0, 61.0 }) {
    pace.Note(sample);
  }
  EXPECT_EQ(pace.Median(), 60);
}

TEST(MedianThroughputTest, FollowsAnEngineThatTurnedSlow)
{
  MedianThroughput pace;
  for (std::size_t i = 0; i < MedianThroughput::kSamples; ++i) {
    pace.Note(60);
  }
  for (std::size_t i = 0; i <= MedianThroughput::kSamples / 2; ++i) {
    pace.Note(20);
  }
  EXPECT_EQ(pace.Median(), 20);
}

TEST(PrefixCacheIndexLifetimeTest, ARestartedEngineCachesNothing)
{
  PrefixCacheIndex kept;
  kept.Note({ 7, 70 }, kNow);
  kept.Note({ 8, 70 }, kNow);
  kept.Note({ 7, 71 }, kNow);
  kept.ForgetEngine(70);
  EXPECT_FALSE(kept.IsCached({ 7, 70 }, PrefixCacheIndex::kLifetime, kNow));
  EXPECT_FALSE(kept.IsCached({ 8, 70 }, PrefixCacheIndex::kLifetime, kNow));
  EXPECT_TRUE(kept.IsCached({ 7, 71 }, PrefixCacheIndex::kLifetime, kNow));
}

} // namespace
} // namespace ridgeferry::relay
