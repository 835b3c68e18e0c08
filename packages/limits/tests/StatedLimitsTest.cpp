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
  /** The limit known afterwards. */
  std::optional<double> m_known;
};

class StatementTest : public ::testing::TestWithParam<StatementCase>
{};

TEST_P(StatementTest, ChangesWhatIsKnown)
{
  StatedLimits limits;
  for (const LimitStatement& statement : GetParam().m_before) {
    limits.Note(kUpstream, statement);
  }
  EXPECT_EQ(limits.Note(kUpstream, GetParam().m_last), GetParam().m_change);
  const auto known = limits.Find(kUpstream);
  EXPECT_EQ(known ? known->m_perSecond : std::nullopt, GetParam().m_known);
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
                   std::nullopt },
    StatementCase{ "EndedBefore",
                   { { 5.0, At(1) }, { {}, At(5) } },
                   { {}, At(10) },
                   LimitChange::None,
                   std::nullopt },
    StatementCase{ "NamedAgain",
                   { { 5.0, At(1) }, { {}, At(5) } },
                   { 5.0, At(10) },
                   LimitChange::Named,
                   5.0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::limits
