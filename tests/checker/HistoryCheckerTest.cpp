#include "HistoryChecker.h"

#include <gtest/gtest.h>

namespace ridgeferry::checker {
namespace {

struct HistoryCase
{
  const char* m_name;
  std::vector<const char*> m_lines;
  const char* m_rule; ///< The rule that must be broken; null: none.
};

Lines
Parse(const std::vector<const char*>& aTexts)
{
  Lines out;
  for (const char* text : aTexts) {
    out.push_back(nlohmann::json::parse(text));
  }
  return out;
}

class HistoryCheckerTest : public ::testing::TestWithParam<HistoryCase>
{};

TEST_P(HistoryCheckerTest, FindsExactlyTheBrokenRule)
{
  const std::vector<Violation> found = CheckHistory(Parse(GetParam().m_lines));
  if (GetParam().m_rule == nullptr) {
    EXPECT_TRUE(found.empty()) << found[0].m_rule << ": " << found[0].m_what;
    return;
  }
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].m_rule, GetParam().m_rule);
}

const HistoryCase kCases[] = {
  { "Empty", {}, nullptr },
  { "OrdersInTurn",
    { R"({"what":"order","engine":"e","order":"a","fencing":1,"taken":true})",
      R"({"what":"order","engine":"e","order":"b","fencing":2,"taken":true})" },
    nullptr },
  { "OrderTwice",
    { R"({"what":"order","engine":"e","order":"a","fencing":1,"taken":true})",
      R"({"what":"order","engine":"e","order":"a","fencing":1,"taken":true})" },
    "no-conflicting-orders" },
  { "OldOrderTaken",
    { R"({"what":"order","engine":"e","order":"b","fencing":2,"taken":true})",
      R"({"what":"order","engine":"e","order":"a","fencing":1,"taken":true})" },
    "no-orders-without-authority" },
  { "OldOrderRefused",
    { R"({"what":"order","engine":"e","order":"b","fencing":2,"taken":true})",
      R"({"what":"order","engine":"e","order":"a","fencing":1,"taken":false})" },
    nullptr },
  { "Cut",
    { R"({"what":"cut","engine":"e","streams":2})" },
    "no-request-cut-by-a-planned-change" },
  { "KeyTwice",
    { R"({"what":"ran","team":"t","key":"k","request":"1"})",
      R"({"what":"ran","team":"t","key":"k","request":"2"})" },
    "at-most-once" },
  { "SameKeyOfTwoTeams",
    { R"({"what":"ran","team":"t","key":"k","request":"1"})",
      R"({"what":"ran","team":"u","key":"k","request":"2"})" },
    nullptr },
  { "NotRunButRan",
    { R"({"what":"ran","team":"t","request":"1"})",
      R"({"what":"answer","request":"1","outcome":"not-run"})" },
    "not-run-is-true" },
  { "NotRunButItsKeyRan",
    { R"({"what":"ran","team":"t","key":"k","request":"1"})",
      R"({"what":"answer","request":"2","team":"t","key":"k","outcome":"not-run"})" },
    "not-run-is-true" },
  { "MayHaveRun",
    { R"({"what":"ran","team":"t","key":"k","request":"1"})",
      R"({"what":"answer","request":"1","team":"t","key":"k","outcome":"may-have-run"})" },
    nullptr },
  { "ForeignText",
    { R"({"what":"answer","request":"1","whole":true,"model":"m","version":"1","prompt":"p","body":"b","text":"x"})" },
    "whole-answer" },
  { "HeadGoesBack",
    { R"({"what":"commit","rows":[{"key":"config/head","value":"{\"revision\":2}"}]})",
      R"({"what":"commit","rows":[{"key":"config/head","value":"{\"revision\":1}"}]})" },
    "configuration-never-reverts" },
  { "InstanceGoesBack",
    { R"({"event":"revision-applied","instance":"i","revision":2})",
      R"({"event":"revision-applied","instance":"i","revision":1})" },
    "configuration-never-reverts" },
  { "NewProcessBeginsAnew",
    { R"({"event":"revision-applied","instance":"i","revision":2})",
      R"({"event":"started","instance":"i"})",
      R"({"event":"revision-applied","instance":"i","revision":1})" },
    nullptr },
  { "WorkForLeaving",
    { R"({"what":"leaving","upstream":"e","us":1000000})",
      R"({"what":"generation","engine":"e","request":"1","us":4100000})" },
    "no-work-for-a-leaving-upstream" },
  { "WorkAfterAllKnow",
    { R"({"what":"left","upstream":"e","us":1000000})",
      R"({"what":"generation","engine":"e","request":"1","us":1000001})" },
    "no-work-for-a-leaving-upstream" },
  { "WorkShortlyAfterLeaving",
    { R"({"what":"leaving","upstream":"e","us":1000000})",
      R"({"what":"generation","engine":"e","request":"1","us":3900000})" },
    nullptr },
};

INSTANTIATE_TEST_SUITE_P(Rules,
                         HistoryCheckerTest,
                         ::testing::ValuesIn(kCases),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

} // namespace
} // namespace ridgeferry::checker
