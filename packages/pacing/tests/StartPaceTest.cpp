#include <gtest/gtest.h>
#include <ridgeferry/pacing/StartPace.h>
#include <variant>

namespace ridgeferry::pacing {
namespace {

constexpr UpstreamHash kUpstream = 7;
constexpr Duration kRound = StartPace::kRound;

/** What happens some time after the step before. */
struct Began
{};
struct Answered
{
  bool m_isServed = true;
  double m_slowness = 1;
  /** Time from the send to the answer. */
  Duration m_took{ 10 };
};
struct Quiet
{};
struct Told
{
  std::uint32_t m_change = 0;
  int m_level = 0;
  Duration m_age{};
};

struct Step
{
  Duration m_after;
  std::variant<Began, Answered, Told, Quiet> m_event;
  double m_share; ///< Behind the event.
};

struct PaceCase
{
  const char* m_name;
  std::vector<Step> m_steps;
};

class StartPaceTest : public ::testing::TestWithParam<PaceCase>
{
protected:
  void Do(const Began&) { m_pace.Begin(kUpstream, m_now); }
  void Do(const Answered& aAnswer)
  {
    m_pace.NoteAnswer(
      kUpstream,
      { m_now - aAnswer.m_took, aAnswer.m_isServed, aAnswer.m_slowness },
      m_now);
  }
  void Do(const Told& aTold)
  {
    m_pace.NotePeer({ kUpstream, aTold.m_change, aTold.m_level, aTold.m_age },
                    m_now);
  }

  void Do(const Quiet&) { m_pace.Tick(m_now); }

  StartPace m_pace;
  Instant m_now{};
};

TEST_P(StartPaceTest, FollowsTheAnswers)
{
  for (const Step& step : GetParam().m_steps) {
    m_now += step.m_after;
    std::visit([this](const auto& aEvent) { Do(aEvent); }, step.m_event);
    EXPECT_EQ(m_pace.ShareOf(kUpstream), step.m_share);
  }
}

constexpr Duration kNow{ 0 };
const Answered kGood{};
const Answered kSlow{ true, 4 };
const Answered kFailed{ false };

INSTANTIATE_TEST_SUITE_P(
  Starts,
  StartPaceTest,
  ::testing::Values(
    PaceCase{ "NothingIsFound",
              { { kNow, Began{}, 0.25 },
                { StartPace::kFresh, Quiet{}, 0.25 },
                { Duration{ 1 }, Quiet{}, 0.5 },
                { StartPace::kFresh + Duration{ 1 }, Quiet{}, 1 } } },
    PaceCase{ "SlowAnswersHoldIt",
              { { kNow, Began{}, 0.25 },
                { StartPace::kFresh, kSlow, 0.125 },
                { kRound, Quiet{}, 0.125 } } },
    PaceCase{ "NeverBegan", { { kNow, kGood, 1 }, { kNow, kFailed, 1 } } },
    PaceCase{ "WarmAtOnce",
              { { kNow, Began{}, 0.25 },
                { kRound, kGood, 0.5 },
                { kRound, kGood, 1 },
                { kNow, kFailed, 1 } } },
    PaceCase{ "RisesOnceARound",
              { { kNow, Began{}, 0.25 },
                { kRound / 2, kGood, 0.25 },
                { kRound / 2, kGood, 0.5 },
                { kRound / 2, kGood, 0.5 } } },
    PaceCase{ "SlowAtFirst",
              { { kNow, Began{}, 0.25 },
                { kRound, kSlow, 0.125 },
                { kRound, kSlow, 0.125 },
                { kRound, kGood, 0.25 } } },
    PaceCase{ "FallsBack",
              { { kNow, Began{}, 0.25 },
                { kRound, kGood, 0.5 },
                { kRound, kFailed, 0.25 } } },
    PaceCase{ "AnswersToOlderCallsShowTheOlderPace",
              { { kNow, Began{}, 0.25 },
                { kRound, kGood, 0.5 },
                { kRound, Answered{ true, 1, kRound * 2 }, 0.5 },
                { kNow, Answered{ true, 9, kRound * 2 }, 0.5 } } },
    PaceCase{ "BeginsAnew",
              { { kNow, Began{}, 0.25 },
                { kRound, kGood, 0.5 },
                { kNow, Began{}, 0.25 } } },
    PaceCase{ "FollowsPeers",
              { { kNow, Began{}, 0.25 },
                { kNow, Told{ 1, 2 }, 0.5 },
                { kNow, Told{ 0, 0 }, 0.5 },
                { kNow, Told{ 2, 3 }, 1 } } },
    PaceCase{ "OfTwoChangesTheMoreCarefulOneHolds",
              { { kNow, Began{}, 0.25 },
                { kNow, Told{ 1, 2 }, 0.5 },
                { kNow, Told{ 1, 0 }, 0.125 },
                { kNow, Told{ 1, 2 }, 0.125 } } },
    PaceCase{ "OldReportsSayNothing",
              { { kNow, Began{}, 0.25 },
                { kNow, Told{ 5, 3, StartPace::kFresh * 2 }, 0.25 } } },
    PaceCase{ "AListThatComesLateFindsWhatPeersFound",
              { { kNow, Told{ 2, 2 }, 1 }, { kNow, Began{}, 0.5 } } },
    PaceCase{ "PeersAloneStartNothing", { { kNow, Told{ 1, 1 }, 1 } } }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace ridgeferry::pacing
