#include <gtest/gtest.h>
#include <ridgeferry/roles/MixEstimator.h>
#include <ridgeferry/roles/RolePlanner.h>

namespace ridgeferry::roles {
namespace {

using declared::Role;

/** Returns one engine for each character: `p` prefills, `d` decodes, `m` is
 * mixed, and `x` decodes but is unusable. */
std::vector<EngineView>
Fleet(std::string_view aRoles)
{
  std::vector<EngineView> out;
  for (char role : aRoles) {
    out.push_back({ "e" + std::to_string(out.size()),
                    role == 'p'   ? Role::Prefill
                    : role == 'm' ? Role::Mixed
                                  : Role::Decode,
                    role != 'x' });
  }
  return out;
}

struct PlanCase
{
  const char* m_name;
  const char* m_fleet;
  double m_share;     ///< Forecast share of prefill.
  int m_lastsSeconds; ///< How long the forecast lasts.
  double m_weight;    ///< The deployment's `roleChangeWeight`.
  std::vector<RoleChange> m_changes;
};

class RolePlannerTest : public ::testing::TestWithParam<PlanCase>
{};

TEST_P(RolePlannerTest, ChangesOnlyWhatPays)
{
  declared::Deployment deployment;
  deployment.m_minPrefill = 1;
  deployment.m_minDecode = 1;
  deployment.m_roleChangeWeight = GetParam().m_weight;
  const Forecast forecast{ GetParam().m_share,
                           std::chrono::seconds(GetParam().m_lastsSeconds) };
  EXPECT_EQ(PlanRoles(deployment, Fleet(GetParam().m_fleet), forecast, {}),
            GetParam().m_changes);
}

const PlanCase kPlans[] = {
  { "Fits", "ppdd", 0.5, 600, 0, {} },
  { "MorePrefill", "pddd", 0.5, 600, 0, { { "e1", Role::Prefill } } },
  { "MoreDecode", "pppd", 0.5, 600, 0, { { "e0", Role::Decode } } },
  { "TooShortToPay", "pddd", 0.5, 1, 0, {} },
  { "TooHeavyToPay", "pddd", 0.5, 600, 10'000, {} },
  { "KeepsTheLeastDecode", "pdd", 1.0, 600, 0, { { "e1", Role::Prefill } } },
  { "LeavesUnusableAlone", "pxd", 0.9, 600, 0, {} },
  { "SplitsMixed",
    "mm",
    0.5,
    600,
    0,
    { { "e0", Role::Prefill }, { "e1", Role::Decode } } },
};

INSTANTIATE_TEST_SUITE_P(Plans,
                         RolePlannerTest,
                         ::testing::ValuesIn(kPlans),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

// Engines must change their roles before the event, because a change takes
// time. The estimate applies again once the event is over.
TEST(ForecastTest, PlansForADeclaredEventBeforeItBegins)
{
  declared::Event event;
  event.m_start = WallTime(std::chrono::seconds(1000));
  event.m_duration = std::chrono::seconds(100);
  event.m_prefillShare = 0.8;
  const declared::Event* events[] = { &event };
  const PlannerTimes times;
  const auto at = [&](Duration aBefore) {
    return ForecastFor({}, events, 0.3, event.m_start - aBefore, times)
      ->m_prefillShare;
  };
  EXPECT_EQ(at(times.m_lead + Duration{ 1 }), 0.3);
  EXPECT_EQ(at(times.m_lead), 0.8);
  EXPECT_EQ(at(-event.m_duration), 0.3);
}

TEST(ForecastTest, IsEmptyWithoutEventAndDemand)
{
  EXPECT_FALSE(ForecastFor({}, {}, std::nullopt, {}, {}).has_value());
}

TEST(MixEstimatorTest, ForgetsOldDemand)
{
  MixEstimator mix;
  const Instant start{ Duration{ 1000 } };
  EXPECT_FALSE(mix.PrefillShare(start).has_value());
  mix.NoteDemand(1, 0, start);
  EXPECT_EQ(mix.PrefillShare(start), 1.0);
  const Instant later = start + 10 * MixEstimator::kTimeConstant;
  mix.NoteDemand(0, 1, later);
  EXPECT_LT(*mix.PrefillShare(later), 0.01);
}

} // namespace
} // namespace ridgeferry::roles
