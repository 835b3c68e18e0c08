#include <gtest/gtest.h>
#include <ridgeferry/table/Health.h>

namespace ridgeferry::table {
namespace {

struct HealthCase
{
  const char* m_name;
  const char* m_ends; ///< `+` answered, `-` failed.
  bool m_down;
};

class HealthTest : public ::testing::TestWithParam<HealthCase>
{};

TEST_P(HealthTest, JudgesByFailuresInARow)
{
  Health health;
  for (const char* end = GetParam().m_ends; *end != '\0'; ++end) {
    health.Note(*end == '+');
  }
  EXPECT_EQ(health.IsDown(), GetParam().m_down);
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         HealthTest,
                         ::testing::Values(HealthCase{ "New", "", false },
                                           HealthCase{ "One", "-", false },
                                           HealthCase{ "Two", "--", true },
                                           HealthCase{ "Apart", "-+-", false },
                                           HealthCase{ "Back", "---+", false }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

TEST(HealthTest, LetsAProbeThroughNowAndThen)
{
  Health health;
  health.Note(false);
  health.Note(false);
  const Instant start{ Duration{ 10'000 } };
  EXPECT_TRUE(health.Allow(start));
  EXPECT_FALSE(health.Allow(start + Duration{ 1 }));
  EXPECT_TRUE(health.Allow(start + Health::kProbeEvery));
}

} // namespace
} // namespace ridgeferry::table
