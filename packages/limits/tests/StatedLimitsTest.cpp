#include <gtest/gtest.h>
#include <ridgeferry/limits/StatedLimits.h>
#include <vector>

namespace ridgeferry::limits {
namespace {

constexpr UpstreamHash kUpstream = 7;

Instant
At(int aMs)
{
  return Instant(Duration(aMs));
}

struct StatementCase
{
  const char* m_name;
  std::vector<LimitStatement> m_before;
  LimitStatement m_last;
  LimitChange m_change;
  /** The accepted rate afterwards: it grows slowly after an end. */
  std::optional<double> m_known;
};

class StatementTest : public ::testing::TestWithParam<StatementCase>
{};

TEST_P(StatementTest, ChangesWhatIsKnown)
{
  StatedLimits limits;
  for (const LimitStatement& statement : GetParam().m_before) {
    limits.Note(kUpstream, statement, StatedTo::ThisInstance, statement.m_at);
  }
  EXPECT_EQ(
    limits.Note(kUpstream, GetParam().m_last, StatedTo::ThisInstance, At(20)),
    GetParam().m_change);
  const auto rate = limits.AcceptedRate(kUpstream, At(20));
  EXPECT_EQ(rate.has_value(), GetParam().m_known.has_value());
  EXPECT_NEAR(rate.value_or(0), GetParam().m_known.value_or(0), 0.2);
}

INSTANTIATE_TEST_SUITE_P(
  Statements,
  StatementTest,
  ::testing::Values(
    StatementCase{ "NoneAtAll",
                   {},
                   { {}, At(10) },
                   LimitChange::None,
                   std::nullopt },
    StatementCase{ "First", {}, { 5.0, At(10) }, LimitChange::Named, 5.0 },
    StatementCase{ "Alike",
                   { { 5.0, At(1) } },
                   { 5.2, At(10) },
                   LimitChange::None,
                   5.2 },
    StatementCase{ "Lower",
                   { { 5.0, At(1) } },
                   { 3.0, At(10) },
                   LimitChange::Changed,
                   3.0 },
    StatementCase{ "Older",
                   { { 5.0, At(20) } },
                   { 3.0, At(10) },
                   LimitChange::None,
                   5.0 },
    StatementCase{ "End",
                   { { 5.0, At(1) } },
                   { {}, At(10) },
                   LimitChange::Ended,
                   5.0 },
    StatementCase{ "EndedBefore",
                   { { 5.0, At(1) }, { {}, At(5) } },
                   { {}, At(10) },
                   LimitChange::None,
                   5.0 },
    StatementCase{ "NamedAgain",
                   { { 5.0, At(1) }, { {}, At(5) } },
                   { 5.0, At(10) },
                   LimitChange::Named,
                   5.0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

struct RateCase
{
  const char* m_name;
  std::vector<LimitStatement> m_statements;
  Instant m_now;
  std::optional<double> m_accepted;
};

class RateTest : public ::testing::TestWithParam<RateCase>
{};

TEST_P(RateTest, FollowsTheStatements)
{
  StatedLimits limits;
  for (const LimitStatement& statement : GetParam().m_statements) {
    limits.Note(kUpstream, statement, StatedTo::ThisInstance, statement.m_at);
  }
  limits.Tick(GetParam().m_now);
  EXPECT_EQ(limits.AcceptedRate(kUpstream, GetParam().m_now),
            GetParam().m_accepted);
}

INSTANTIATE_TEST_SUITE_P(
  Rates,
  RateTest,
  ::testing::Values(
    RateCase{ "NeverNamed", {}, At(100), std::nullopt },
    RateCase{ "Named", { { 4.0, At(0) } }, At(4999), 4.0 },
    RateCase{ "EndedJustNow",
              { { 4.0, At(0) }, { {}, At(100) } },
              At(100),
              4.0 },
    RateCase{ "EndedAWhileAgo",
              { { 4.0, At(0) }, { {}, At(100) } },
              At(1100),
              16.0 },
    RateCase{ "EndedLongAgo",
              { { 4.0, At(0) }, { {}, At(100) } },
              At(3100),
              std::nullopt },
    RateCase{ "NoWordForLong", { { 4.0, At(0) } }, At(6000), 16.0 },
    RateCase{ "NoWordForVeryLong", { { 4.0, At(0) } }, At(8000), std::nullopt },
    RateCase{ "SoLowThatAnswersAreRare", { { 0.2, At(0) } }, At(14'999), 0.2 },
    RateCase{ "Nothing", { { 0.0, At(0) } }, At(19'999), 0.0 },
    RateCase{ "BackFromNothing", { { 0.0, At(0) } }, At(20'500), 1.0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// What a peer told would seem newer than it is if it were told on.
TEST(StatedLimitsTest, OnlyWhatThisInstanceHeardIsTold)
{
  StatedLimits limits;
  limits.Note(kUpstream, { 4.0, At(10) }, StatedTo::APeer, At(10));
  EXPECT_TRUE(limits.Reports(At(20)).empty());
  limits.Note(kUpstream, { 4.0, At(15) }, StatedTo::ThisInstance, At(15));
  limits.Note(kUpstream, { 3.0, At(18) }, StatedTo::APeer, At(18));
  const LimitReport told{ kUpstream, 4.0, Duration{ 5 } };
  EXPECT_EQ(limits.Reports(At(20)), std::vector{ told });
}

// Instances must not keep an old limit alive by telling it to each other.
TEST(StatedLimitsTest, AReportOfALimitThatIsOverIsIgnored)
{
  StatedLimits limits;
  limits.Note(kUpstream, { 4.0, At(0) }, StatedTo::APeer, At(8000));
  EXPECT_TRUE(limits.IsEmpty());
}

} // namespace
} // namespace ridgeferry::limits
