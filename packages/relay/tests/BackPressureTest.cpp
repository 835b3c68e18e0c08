// Callers that read slowly or not at all, beside others that read at once: what
// an instance holds of their answers stays bounded, and only they lose theirs.

#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/BackPressure.h>
#include <vector>

namespace ridgeferry::relay {
namespace {

constexpr std::size_t kKilobyte = 1024;

/** One step of a caller's answer: so much is unread then. */
struct Step
{
  std::size_t m_unread;
  Duration m_after;
  Reading m_expected;
};

struct BackPressureCase
{
  const char* m_name;
  std::vector<Step> m_steps;
};

class BackPressureTest : public ::testing::TestWithParam<BackPressureCase>
{};

TEST_P(BackPressureTest, DecidesByWhatTheCallerReads)
{
  UnreadBytes all;
  BackPressure pressure(all);
  Instant now{};
  for (const Step& step : GetParam().m_steps) {
    now += step.m_after;
    EXPECT_EQ(pressure.Note(step.m_unread, now), step.m_expected)
      << step.m_unread;
  }
}

INSTANTIATE_TEST_SUITE_P(
  Callers,
  BackPressureTest,
  ::testing::Values(
    BackPressureCase{ "ReadsAtOnce",
                      { { 4 * kKilobyte, Duration{ 1 }, Reading::On },
                        { 0, Duration{ 1 }, Reading::On } } },
    BackPressureCase{ "FallsBehindAndCatchesUp",
                      { { 65 * kKilobyte, Duration{ 1 }, Reading::Paused },
                        { 30 * kKilobyte, Duration{ 100 }, Reading::Paused },
                        { 15 * kKilobyte, Duration{ 100 }, Reading::On },
                        { 60 * kKilobyte, Duration{ 1 }, Reading::On } } },
    BackPressureCase{ "ReadsNothing",
                      { { 65 * kKilobyte, Duration{ 1 }, Reading::Paused },
                        { 65 * kKilobyte, Duration{ 1999 }, Reading::Paused },
                        { 65 * kKilobyte, Duration{ 1 }, Reading::GivenUp } } },
    BackPressureCase{
      "ReadsLittleAllTheWhile",
      { { 65 * kKilobyte, Duration{ 1 }, Reading::Paused },
        { 64 * kKilobyte, Duration{ 1500 }, Reading::Paused },
        { 63 * kKilobyte, Duration{ 1500 }, Reading::Paused },
        { 62 * kKilobyte, Duration{ 1500 }, Reading::Paused } } },
    BackPressureCase{
      "WasIdleBeforeItFellBehind",
      { { 1, Duration{ 1 }, Reading::On },
        { 70 * kKilobyte, Duration{ 9000 }, Reading::Paused },
        { 70 * kKilobyte, Duration{ 1000 }, Reading::Paused } } }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

/** Pieces as long as what one turn of the loop reads. */
constexpr std::size_t kPiece = 16 * kKilobyte;

RC_GTEST_PROP(BackPressureWorldTest,
              CallersThatReadNothingCostABoundedAmount,
              ())
{
  const auto callers = *rc::gen::inRange<std::size_t>(1, 3000);
  UnreadBytes all;
  std::vector<std::unique_ptr<BackPressure>> calls;
  const Instant now{};
  for (std::size_t i = 0; i < callers; ++i) {
    calls.push_back(std::make_unique<BackPressure>(all));
    std::size_t unread = 0;
    while (calls.back()->Note(unread, now) == Reading::On) {
      unread += kPiece;
    }
  }
  // Behind the bound for all, each call holds a single piece.
  RC_ASSERT(all.Total() <= BackPressure::kMuchInAll +
                             BackPressure::kPauseAbove +
                             (callers + 1) * kPiece);
  calls.clear();
  RC_ASSERT(all.Total() == 0U);
}

} // namespace
} // namespace ridgeferry::relay
