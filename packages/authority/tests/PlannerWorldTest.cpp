#include "PlannerWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <span>

namespace ridgeferry::authority {
namespace {

constexpr std::size_t kSteps = 1500;

std::string
FirstFault(const PlannerWorld& aWorld)
{
  return aWorld.Faults().empty() ? "" : aWorld.Faults().front();
}

class PlannerWorldTest : public ::testing::TestWithParam<bool>
{};

// Searches random schedules with kills, pauses and lost messages for one in
// which orders conflict, for example because the engine accepts one twice.
TEST_P(PlannerWorldTest, KeepsOrdersFromConflictingInAnySchedule)
{
  const bool checksFencing = GetParam();
  std::size_t taken = 0;
  const bool held =
    rc::check("orders never conflict", [checksFencing, &taken]() {
      const auto schedule = *support::AnySchedule(kSteps);
      PlannerWorld world({ checksFencing, true });
      for (std::uint32_t number : schedule) {
        world.Step(number);
      }
      taken += world.OrdersTaken();
      RC_ASSERT(FirstFault(world) == "");
    });
  EXPECT_TRUE(held);
  EXPECT_GT(taken, 0U) << "the engine accepted no order in any schedule";
}

// Guards against a state that the planners cannot leave: after any schedule of
// failures, the engine must reach its target once the failures have ended.
TEST_P(PlannerWorldTest, ReachesTheTargetOnceDisturbancesEnd)
{
  const bool checksFencing = GetParam();
  EXPECT_TRUE(rc::check("the target is reached", [checksFencing]() {
    const auto schedule = *support::AnySchedule(kSteps / 3);
    PlannerWorld world({ checksFencing, true });
    for (std::uint32_t number : schedule) {
      world.Step(number);
    }
    RC_ASSERT(world.ReachesTarget());
    RC_ASSERT(FirstFault(world) == "");
  }));
}

/** A round of a scripted run and the deviation that is injected in it. */
struct ScheduledDeviation
{
  std::size_t m_round = 0;
  PlannerWorld::Deviation m_deviation = PlannerWorld::Deviation::None;
};

/**
 * Returns each of `aDeviations` in combination with each of the rounds in which
 * the first order of a run is recorded, sent, accepted and settled.
 */
std::vector<ScheduledDeviation>
ScheduledDeviations(std::span<const PlannerWorld::Deviation> aDeviations)
{
  constexpr std::size_t kFirstRound = 14;
  constexpr std::size_t kLastRound = 26;
  std::vector<ScheduledDeviation> out;
  for (std::size_t round = kFirstRound; round < kLastRound; ++round) {
    for (PlannerWorld::Deviation deviation : aDeviations) {
      out.push_back({ round, deviation });
    }
  }
  return out;
}

/**
 * Executes a scripted run with these two deviations, expects that no violation
 * occurs, and returns the number of orders that the engine accepted.
 */
std::size_t
RunWithDeviations(const ScheduledDeviation& aFirst,
                  const ScheduledDeviation& aSecond,
                  bool aChecksFencing)
{
  constexpr std::size_t kRounds = 200;
  PlannerWorld world({ aChecksFencing, false });
  for (std::size_t round = 0; round < kRounds; ++round) {
    if (round == aFirst.m_round) {
      world.Round(aFirst.m_deviation);
    } else if (round == aSecond.m_round) {
      world.Round(aSecond.m_deviation);
    } else {
      world.Round(PlannerWorld::Deviation::None);
    }
  }
  EXPECT_EQ(FirstFault(world), "")
    << "rounds " << aFirst.m_round << ", " << aSecond.m_round << ", deviations "
    << static_cast<int>(aFirst.m_deviation) << ", "
    << static_cast<int>(aSecond.m_deviation);
  return world.OrdersTaken();
}

// Searches exhaustively, not by random sampling, for two orders that conflict:
// executes every run with one deviation, and every run with two of the
// deviations that interrupt the sending of an order (a kill, a pause before
// sending, a delayed message). The two differ in their kind, their round or
// both; of two in the same round only the first is injected.
TEST_P(PlannerWorldTest, KeepsOrdersFromConflictingWhateverTwoThingsGoWrong)
{
  using Deviation = PlannerWorld::Deviation;
  constexpr Deviation kAll[] = {
    Deviation::None,       Deviation::KillFirst,       Deviation::PauseFirst,
    Deviation::DropOldest, Deviation::DelayOldest,     Deviation::RestartEngine,
    Deviation::FlipTarget, Deviation::PauseBeforeSend,
  };
  constexpr Deviation kPaired[] = { Deviation::KillFirst,
                                    Deviation::PauseBeforeSend,
                                    Deviation::DelayOldest };
  std::size_t runs = 0;
  std::size_t taken = 0;
  for (const ScheduledDeviation& scheduled : ScheduledDeviations(kAll)) {
    taken += RunWithDeviations(scheduled, {}, GetParam());
    ++runs;
  }
  const std::vector<ScheduledDeviation> paired = ScheduledDeviations(kPaired);
  for (std::size_t first = 0; first < paired.size(); ++first) {
    for (std::size_t second = first + 1; second < paired.size(); ++second) {
      taken += RunWithDeviations(paired[first], paired[second], GetParam());
      ++runs;
    }
  }
  EXPECT_GT(taken, runs / 2) << "the engine must accept an order in most runs";
}

INSTANTIATE_TEST_SUITE_P(Engines,
                         PlannerWorldTest,
                         ::testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "ChecksFencing"
                                              : "IgnoresFencing";
                         });

} // namespace
} // namespace ridgeferry::authority
