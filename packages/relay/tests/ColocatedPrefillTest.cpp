#include <gtest/gtest.h>
#include <ridgeferry/relay/ColocatedPrefill.h>

namespace ridgeferry::relay {
namespace {

/**
 * What was measured for a service, and whether colocated prefill is allowed.
 */
struct ColocatedCase
{
  const char* m_name;
  double m_work;       ///< Work (`Fleet::WorkToPrefill`) to prefill a mean
                       ///< prompt without cached prefix.
  double m_throughput; ///< Work per ms that decode engines prefill.
  int m_paces;         ///< Number of throughput samples.
  int m_pausedOfTen;   ///< How many of ten streams have a long pause.
  int m_streams;       ///< Number of streams.
  bool m_allowed;
};

class ColocatedPrefillTest : public ::testing::TestWithParam<ColocatedCase>
{};

TEST_P(ColocatedPrefillTest, IsDisallowedOnlyForSlowPrefillWithPauses)
{
  ColocatedPrefill beside;
  for (int i = 0; i < 40; ++i) {
    beside.NotePrompt(GetParam().m_work, Duration{ 200 });
  }
  for (int i = 0; i < GetParam().m_paces; ++i) {
    beside.NoteThroughput(GetParam().m_throughput);
  }
  for (int i = 0; i < GetParam().m_streams; ++i) {
    beside.NoteStream(i * 7 % 10 < GetParam().m_pausedOfTen);
  }
  EXPECT_EQ(beside.IsAllowed(), GetParam().m_allowed);
}

INSTANTIATE_TEST_SUITE_P(
  Engines,
  ColocatedPrefillTest,
  ::testing::Values(
    ColocatedCase{ "NothingSeen", 6000, 30, 0, 8, 0, true },
    ColocatedCase{ "FastEngines", 8000, 150, 10, 1, 20, true },
    ColocatedCase{ "FastEnginesWhoseStreamsPause", 8000, 150, 10, 8, 20, true },
    ColocatedCase{ "SlowEngines", 6000, 28, 10, 8, 20, false },
    ColocatedCase{ "SlowInAPeakWithoutPauses", 8000, 40, 10, 2, 20, true },
    ColocatedCase{ "SlowButFewPacesSeen", 6000, 28, 2, 8, 20, true },
    ColocatedCase{ "SlowButFewStreamsSeen", 6000, 28, 10, 8, 4, true },
    ColocatedCase{ "SlowEnginesWithShortPrompts", 1500, 28, 10, 8, 20, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(ColocatedPrefillChangesTest, ShorterPromptsAllowItAgain)
{
  ColocatedPrefill beside;
  for (int i = 0; i < 20; ++i) {
    beside.NotePrompt(6000, Duration{ 200 });
    beside.NoteThroughput(28);
    beside.NoteStream(true);
  }
  EXPECT_FALSE(beside.IsAllowed());
  for (int i = 0; i < 200; ++i) {
    beside.NotePrompt(800, Duration{ 200 });
  }
  EXPECT_TRUE(beside.IsAllowed());
}

} // namespace
} // namespace ridgeferry::relay
