#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>
#include <ridgeferry/experiment/Report.h>

namespace ridgeferry::experiment {
namespace {

Scenario
Small()
{
  Scenario out;
  out.m_name = "small";
  out.m_instances = 3;
  out.m_readers = 2;
  out.m_generators = 3;
  out.m_length = Duration{ 3000 };
  CallTerms reading;
  reading.m_name = "reading";
  reading.m_perSecond = 60;
  reading.m_commonTokens = 2500;
  reading.m_chainTokens = 3800;
  reading.m_ownTokens = 2900;
  reading.m_chains = 100;
  reading.m_outTokens = 2;
  CallTerms chat;
  chat.m_name = "chat";
  chat.m_perSecond = 10;
  chat.m_ownTokens = 100;
  chat.m_outTokens = 60;
  out.m_calls = { reading, chat };
  return out;
}

class PolicyTest : public ::testing::TestWithParam<Policy>
{};

TEST_P(PolicyTest, EachCallEndsOnceAndTheSameSeedGivesTheSame)
{
  const Scenario scenario = Small();
  const Outcome one = RunScenario(scenario, GetParam(), 5);
  const Outcome again = RunScenario(scenario, GetParam(), 5);
  EXPECT_EQ(JsonLine(scenario, one), JsonLine(scenario, again));
  for (const KindOutcome& kind : one.m_kinds) {
    EXPECT_GT(kind.m_offered, 0);
    EXPECT_EQ(kind.m_offered,
              kind.m_inAim + kind.m_late + kind.m_refused + kind.m_lost);
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         PolicyTest,
                         ::testing::Values(Policy::Homes,
                                           Policy::NoHomes,
                                           Policy::Random),
                         [](const auto& aInfo) {
                           std::string name(NameOf(aInfo.param));
                           std::erase(name, '-');
                           return name;
                         });

TEST(ExperimentTest, PoliciesGetTheSameCalls)
{
  const Scenario scenario = Small();
  const Outcome homes = RunScenario(scenario, Policy::Homes, 3);
  const Outcome random = RunScenario(scenario, Policy::Random, 3);
  for (std::size_t i = 0; i < homes.m_kinds.size(); ++i) {
    EXPECT_EQ(homes.m_kinds[i].m_offered, random.m_kinds[i].m_offered);
  }
}

// What the model is for: where memory of prompts decides, it shows.
TEST(ExperimentTest, HomesReadLessForEachCall)
{
  Scenario scenario = Small();
  scenario.m_calls[0].m_perSecond = 200; // More than the engines can read anew.
  const Outcome homes = RunScenario(scenario, Policy::Homes, 1);
  const Outcome without = RunScenario(scenario, Policy::NoHomes, 1);
  const auto readEach = [](const Outcome& aRun) {
    return static_cast<double>(aRun.m_readTokens) /
           static_cast<double>(aRun.InAim());
  };
  EXPECT_LT(readEach(homes), readEach(without));
  EXPECT_GT(homes.Share(), without.Share());
}

TEST(ExperimentTest, ADarkEngineCostsFewCalls)
{
  Scenario scenario = Small();
  scenario.m_calls[0].m_aim =
    Duration{ 100 }; // Below a lost connection's time.
  const Outcome without = RunScenario(scenario, Policy::Homes, 1);
  Loss loss;
  loss.m_at = Duration{ 1000 };
  loss.m_for = Duration{ 1500 };
  scenario.m_losses = { loss };
  const Outcome with = RunScenario(scenario, Policy::Homes, 1);
  EXPECT_LT(with.InAim(), without.InAim());
  // One engine of five, half of the time; it is found dark within moments.
  EXPECT_GT(with.Share(), without.Share() - 0.15);
}

RC_GTEST_PROP(ExperimentProp, NoCallIsLostWhateverTheFleet, ())
{
  Scenario scenario = Small();
  scenario.m_length = Duration{ 600 };
  scenario.m_instances = *rc::gen::inRange(1, 5);
  scenario.m_readers = *rc::gen::inRange(0, 3);
  scenario.m_generators = *rc::gen::inRange(1, 4);
  scenario.m_engine.m_slots = *rc::gen::inRange(1, 20);
  scenario.m_engine.m_memoryTokens = *rc::gen::inRange(5000, 100'000);
  const Outcome outcome = RunScenario(
    scenario,
    *rc::gen::element(Policy::Homes, Policy::NoHomes, Policy::Random),
    *rc::gen::inRange<std::uint64_t>(1, 1000));
  for (const KindOutcome& kind : outcome.m_kinds) {
    RC_ASSERT(kind.m_offered ==
              kind.m_inAim + kind.m_late + kind.m_refused + kind.m_lost);
  }
}

TEST(CompareTest, TellsMeanAndInterval)
{
  const auto run = [](std::int64_t aInAim) {
    Outcome out;
    out.m_kinds.push_back({ "k", 100, aInAim });
    return out;
  };
  const std::vector<Outcome> one{ run(60), run(70), run(80) };
  const std::vector<Outcome> other{ run(50), run(65), run(60) };
  const Comparison result = Compare(one, other);
  EXPECT_NEAR(result.m_mean, 0.35 / 3, 1e-9);
  // Differences 0.10, 0.05, 0.20: their deviation is 0.0764.
  EXPECT_NEAR(result.m_halfWidth, 1.96 * 0.0764 / std::sqrt(3), 1e-3);
  EXPECT_EQ(Compare({ one.data(), 1 }, { other.data(), 1 }).m_halfWidth, 0);
}

struct ScenarioCase
{
  const char* m_name;
  const char* m_text;
  const char* m_fault; ///< Found in the message; empty: the text is good.
};

class ScenarioTest : public ::testing::TestWithParam<ScenarioCase>
{};

TEST_P(ScenarioTest, IsChecked)
{
  const auto scenario = ParseScenario(GetParam().m_text, "file");
  const std::string_view fault = GetParam().m_fault;
  ASSERT_EQ(scenario.has_value(), fault.empty());
  if (!scenario) {
    const std::string text = FormatSettingsError(scenario.error());
    EXPECT_NE(text.find(fault), std::string::npos) << text;
  }
}

INSTANTIATE_TEST_SUITE_P(
  Texts,
  ScenarioTest,
  ::testing::Values(
    ScenarioCase{ "Good", R"({"name":"n","calls":[{"name":"a"}]})", "" },
    ScenarioCase{ "NoJson", "{", "not JSON" },
    ScenarioCase{ "NoCalls", R"({"name":"n"})", "/calls" },
    ScenarioCase{ "UnknownField",
                  R"({"name":"n","calls":[{"name":"a"}],"reader":1})",
                  "/reader" },
    ScenarioCase{ "WrongKind",
                  R"({"name":"n","calls":[{"name":"a","aimMs":"x"}]})",
                  "/calls/0/aimMs" },
    ScenarioCase{
      "PeakOfNothing",
      R"({"name":"n","calls":[{"name":"a"}],"peaks":[{"call":"b"}]})",
      "/peaks/0/call" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(ReportTest, HasARowForEachPolicyAndKindAndAPicture)
{
  const Scenario scenario = Small();
  const std::vector<Outcome> outcomes{
    RunScenario(scenario, Policy::Homes, 1),
    RunScenario(scenario, Policy::Homes, 2),
    RunScenario(scenario, Policy::Random, 1),
    RunScenario(scenario, Policy::Random, 2),
  };
  const std::string table = TableOf(scenario, outcomes);
  for (const char* row : { "homes     reading",
                           "homes     chat",
                           "random    reading",
                           "random    chat" }) {
    EXPECT_NE(table.find(row), std::string::npos) << table;
  }
  const std::string plot = PlotOf(scenario, outcomes);
  EXPECT_NE(plot.find("<polyline"), std::string::npos);
  EXPECT_TRUE(plot.ends_with("</svg>\n"));
  const auto line =
    nlohmann::json::parse(JsonLine(scenario, outcomes[0]), nullptr, false);
  EXPECT_EQ(line.value("policy", ""), "homes");
}

} // namespace
} // namespace ridgeferry::experiment
