#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/DecodePoolPlanner.h>

namespace ridgeferry::relay {
namespace {

constexpr Instant kNow{ Duration{ 10'000 } };

/**
 * Adds `aReading` prefill engines, then `aGenerating` decode engines, of data
 * centre `aDataCentre`.
 */
void
AddDataCentre(std::vector<PlannedEngine>& aEngines,
              const std::string& aDataCentre,
              int aReading,
              int aGenerating)
{
  for (int i = 0; i < aReading + aGenerating; ++i) {
    PlannedEngine engine;
    engine.m_id = aDataCentre + std::to_string(i);
    engine.m_dataCentre = aDataCentre;
    engine.m_role = i < aReading ? UpstreamRole::Prefill : UpstreamRole::Decode;
    engine.m_running = i;
    aEngines.push_back(engine);
  }
}

std::ptrdiff_t
CountTo(const std::vector<EngineRoleChange>& aChanges, UpstreamRole aPart)
{
  return std::count_if(
    aChanges.begin(), aChanges.end(), [aPart](const EngineRoleChange& aChange) {
      return aChange.m_to == aPart;
    });
}

/**
 * The engines of a data centre, and the role changes that are planned for all
 * data centres. Two other data centres have four prefill engines and two decode
 * engines each.
 */
struct PlanCase
{
  const char* m_name;
  int m_reading;    ///< Number of prefill engines in the data centre.
  int m_generating; ///< Number of decode engines in the data centre.
  double m_needed;  ///< Decode engines needed in all data centres.
  Duration m_lasts; ///< Time between the first plan and the plan examined.
  std::ptrdiff_t m_toRead;     ///< Engines that are to become prefill engines.
  std::ptrdiff_t m_toGenerate; ///< Engines that are to become decode engines.
};

class DecodePoolPlanTest : public ::testing::TestWithParam<PlanCase>
{};

TEST_P(DecodePoolPlanTest, AsFewEnginesDecodeAsTheOutputNeeds)
{
  std::vector<PlannedEngine> engines;
  AddDataCentre(engines, "a", GetParam().m_reading, GetParam().m_generating);
  AddDataCentre(engines, "b", 4, 2);
  AddDataCentre(engines, "c", 4, 2);
  DecodePoolPlanner planner;
  planner.Plan(engines, GetParam().m_needed, kNow);
  const auto changes =
    planner.Plan(engines, GetParam().m_needed, kNow + GetParam().m_lasts);
  EXPECT_EQ(CountTo(changes, UpstreamRole::Prefill), GetParam().m_toRead);
  EXPECT_EQ(CountTo(changes, UpstreamRole::Decode), GetParam().m_toGenerate);
}

INSTANTIATE_TEST_SUITE_P(
  DataCentres,
  DecodePoolPlanTest,
  ::testing::Values(
    PlanCase{ "IdleOnesRead", 2, 4, 3, Duration{ 0 }, 2, 0 },
    PlanCase{ "TwoAreKept", 4, 2, 0.5, Duration{ 0 }, 0, 0 },
    PlanCase{ "ASmallHallKeepsOne", 2, 3, 0.5, Duration{ 0 }, 2, 0 },
    PlanCase{ "SwingsOfAFifthMoveNothing", 3, 3, 6, Duration{ 0 }, 0, 0 },
    PlanCase{ "ALostOneIsAwaited", 5, 0, 3, Duration{ 2900 }, 0, 0 },
    PlanCase{ "TheLastOneIsReplaced", 5, 0, 3, Duration{ 3000 }, 0, 1 },
    PlanCase{ "OneOfTwoIsEnough", 4, 1, 3, Duration{ 9000 }, 0, 0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(DecodePoolPlannerTest, TheLeastBusyChangeAndThoseOnTheirWayDoNot)
{
  std::vector<PlannedEngine> engines;
  // Engines a2 to a5 decode; a2 has the fewest calls.
  AddDataCentre(engines, "a", 2, 4);
  engines[2].m_changes = true;
  DecodePoolPlanner planner;
  EXPECT_EQ(planner.Plan(engines, 1, kNow),
            (std::vector<EngineRoleChange>{ { "a3", UpstreamRole::Prefill },
                                            { "a4", UpstreamRole::Prefill } }));
}

TEST(DecodePoolPlannerTest, ADataCentreThatRecoversStartsItsWaitAnew)
{
  std::vector<PlannedEngine> lost;
  AddDataCentre(lost, "a", 4, 0);
  std::vector<PlannedEngine> whole;
  AddDataCentre(whole, "a", 4, 1);
  DecodePoolPlanner planner;
  planner.Plan(lost, 1, kNow);
  planner.Plan(whole, 1, kNow + Duration{ 2000 });
  EXPECT_TRUE(planner.Plan(lost, 1, kNow + Duration{ 3000 }).empty());
}

TEST(DecodePoolPlannerTest, NoDataCentreLosesItsLastEngineOfEitherRole)
{
  EXPECT_TRUE(rc::check("any fleet and any need for decode engines", [] {
    std::vector<PlannedEngine> engines;
    const int dataCentres = *rc::gen::inRange(1, 4);
    for (int hall = 0; hall < dataCentres; ++hall) {
      AddDataCentre(engines,
                    std::string(1, static_cast<char>('a' + hall)),
                    *rc::gen::inRange(1, 8),
                    *rc::gen::inRange(1, 8));
    }
    const double needed = *rc::gen::inRange(0, 40);
    DecodePoolPlanner planner;
    planner.Plan(engines, needed, kNow);
    for (const EngineRoleChange& change :
         planner.Plan(engines, needed, kNow + DecodePoolPlanner::kShortFor)) {
      const auto found = std::find_if(
        engines.begin(), engines.end(), [&](const PlannedEngine& aEngine) {
          return aEngine.m_id == change.m_engine;
        });
      RC_ASSERT(found != engines.end());
      RC_ASSERT(found->m_role != change.m_to);
      found->m_role = change.m_to;
    }
    for (const PlannedEngine& engine : engines) {
      for (const UpstreamRole part :
           { UpstreamRole::Prefill, UpstreamRole::Decode }) {
        RC_ASSERT(std::any_of(
          engines.begin(), engines.end(), [&](const PlannedEngine& aOther) {
            return aOther.m_dataCentre == engine.m_dataCentre &&
                   aOther.m_role == part;
          }));
      }
    }
  }));
}

/** Engines by version: which of them decode, in one data centre of six. */
struct VersionPlanCase
{
  const char* m_name;
  const char* m_versions; ///< One letter an engine.
  const char* m_roles;    ///< `p` prefills, `d` decodes.
  /** The versions of the engines that are to change, with the new role. */
  const char* m_changes;
};

class VersionPlanTest : public ::testing::TestWithParam<VersionPlanCase>
{};

// Guards against a version whose engines prefill what none of them may decode.
TEST_P(VersionPlanTest, EachVersionKeepsAnEngineThatDecodes)
{
  std::vector<PlannedEngine> engines;
  for (std::size_t i = 0; GetParam().m_versions[i] != '\0'; ++i) {
    PlannedEngine engine;
    engine.m_id = std::to_string(i);
    engine.m_dataCentre = "a";
    engine.m_softwareVersion = GetParam().m_versions[i];
    engine.m_role = GetParam().m_roles[i] == 'p' ? UpstreamRole::Prefill
                                                 : UpstreamRole::Decode;
    engine.m_running = static_cast<std::int64_t>(i);
    engines.push_back(engine);
  }
  DecodePoolPlanner planner;
  planner.Plan(engines, 1, kNow);
  std::string changes;
  for (const EngineRoleChange& change :
       planner.Plan(engines, 1, kNow + DecodePoolPlanner::kShortFor)) {
    const auto& engine = engines[std::stoul(change.m_engine)];
    changes += engine.m_softwareVersion +
               (change.m_to == UpstreamRole::Prefill ? "p" : "d");
  }
  EXPECT_EQ(changes, GetParam().m_changes);
}

INSTANTIATE_TEST_SUITE_P(
  Versions,
  VersionPlanTest,
  ::testing::Values(
    VersionPlanCase{ "One", "aaaaaa", "dddppp", "ap" },
    // The idle ones are the new ones.
    VersionPlanCase{ "TheNewOneKeepsOne", "bbbaaa", "dddddd", "bpbpapap" },
    VersionPlanCase{ "NoneDecodes", "bbbaaa", "pppddp", "bd" },
    VersionPlanCase{ "ASingleEngineDecodes", "baaaaa", "pddppp", "bd" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
