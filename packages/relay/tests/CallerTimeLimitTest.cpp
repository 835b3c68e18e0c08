#include <gtest/gtest.h>
#include <random>
#include <ridgeferry/relay/CallerTimeLimit.h>

namespace ridgeferry::relay {
namespace {

/** A load of calls on one route; times in milliseconds. */
struct LoadCase
{
  const char* m_name;
  int m_shortest;         ///< First attempts have between this time
  int m_longest;          ///< and this one.
  double m_laterAttempts; ///< Share of calls that are sent again.
  int m_waitedBefore;     ///< How long these have waited.
  bool m_isFound;         ///< Whether that time can be told.
};

class CallerTimeLimitTest : public ::testing::TestWithParam<LoadCase>
{};

// Callers whose time limits differ were all taken to have waited before; the
// time that their prompts had left for the first token fell below zero, and a
// third of them were refused by an idle fleet.
TEST_P(CallerTimeLimitTest, TellsEarlierWaitsOnlyIfCallersAreAlike)
{
  const LoadCase& load = GetParam();
  std::mt19937 random(7);
  std::uniform_int_distribution<int> limit(load.m_shortest, load.m_longest);
  std::uniform_real_distribution<double> unit(0, 1);
  CallerTimeLimit callers;
  constexpr int kCalls = 2000;
  constexpr int kLearned = 200;
  int first = 0;
  int firstWronged = 0;
  int later = 0;
  int laterFound = 0;
  for (int i = 0; i < kCalls; ++i) {
    const bool isLater = unit(random) < load.m_laterAttempts;
    const Duration deadline{ limit(random) -
                             (isLater ? load.m_waitedBefore : 0) };
    const Duration waited = callers.Note(deadline);
    if (i < kLearned) {
      continue;
    }
    (isLater ? later : first) += 1;
    if (isLater) {
      laterFound += waited >= Duration{ load.m_waitedBefore / 2 } ? 1 : 0;
    } else {
      firstWronged += waited.count() > 0 ? 1 : 0;
    }
  }
  EXPECT_EQ(firstWronged, 0) << "of " << first;
  if (load.m_isFound) {
    EXPECT_EQ(laterFound, later);
  } else {
    EXPECT_EQ(laterFound, 0);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Loads,
  CallerTimeLimitTest,
  ::testing::Values(
    LoadCase{ "AllAlike", 2000, 2000, 0, 0, true },
    LoadCase{ "AlikeSomeAgain", 1995, 2000, 0.3, 500, true },
    LoadCase{ "AlikeMostAgain", 1995, 2000, 0.7, 500, true },
    LoadCase{ "AFifthApart", 1600, 2000, 0, 0, false },
    LoadCase{ "AFifthApartSomeAgain", 1600, 2000, 0.3, 300, false },
    LoadCase{ "LongLimitsApart", 12'000, 15'000, 0.1, 2000, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(CallerTimeLimitOutlierTest, OneCallerWithALongTimeChangesNothing)
{
  CallerTimeLimit callers;
  for (int i = 0; i < 100; ++i) {
    callers.Note(Duration{ 2000 });
  }
  callers.Note(Duration{ 60'000 });
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(callers.Note(Duration{ 2000 }), Duration{});
  }
}

} // namespace
} // namespace ridgeferry::relay
