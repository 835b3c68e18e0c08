// Guards against calls being sent to upstreams that answer them too late, and
// against a limit where there is room, or where less would not help.

#include <gtest/gtest.h>
#include <ostream>
#include <ridgeferry/admission/ConcurrencyLimit.h>

namespace ridgeferry::admission {
namespace {

constexpr Duration kEvery{ 10 };
constexpr Duration kAim{ 400 };
constexpr Duration kDeadline{ 2000 };

struct AnswersCase
{
  const char* m_name;
  /** What answers take at first, for a second, and then. */
  Duration m_tookAtFirst;
  Duration m_tookThen;
  /** Each so-many-th answer turns its call away. */
  int m_turnsAwayEach;
  std::size_t m_inFlight;
  /** Bounds of the limit at the end; 0: there is none. */
  double m_least;
  double m_most;
};

std::ostream&
operator<<(std::ostream& aOut, const AnswersCase& aCase)
{
  return aOut << aCase.m_name;
}

class ConcurrencyLimitTest : public ::testing::TestWithParam<AnswersCase>
{
protected:
  void Answer(Duration aTook, std::size_t aInFlight, bool aIsServed = true)
  {
    m_now += kEvery;
    m_limit.NoteAnswer(
      { m_now - aTook, aTook, aIsServed, kAim, kDeadline }, aInFlight, m_now);
  }

  ConcurrencyLimit m_limit;
  Instant m_now{ Duration{ 100'000 } };
};

TEST_P(ConcurrencyLimitTest, FollowsTheAnswers)
{
  const AnswersCase& now = GetParam();
  for (int i = 1; i <= 300; ++i) {
    const bool isTurnedAway =
      now.m_turnsAwayEach > 0 && i % now.m_turnsAwayEach == 0;
    Answer(i <= 100 ? now.m_tookAtFirst : now.m_tookThen,
           now.m_inFlight,
           !isTurnedAway);
  }
  if (now.m_most == 0) {
    EXPECT_EQ(m_limit.Value(), std::nullopt);
    return;
  }
  ASSERT_TRUE(m_limit.Value().has_value());
  EXPECT_GE(*m_limit.Value(), now.m_least);
  EXPECT_LE(*m_limit.Value(), now.m_most);
}

INSTANTIATE_TEST_SUITE_P(
  Services,
  ConcurrencyLimitTest,
  ::testing::Values(
    AnswersCase{ "RoomForAll", Duration{ 50 }, Duration{ 50 }, 0, 5, 0, 0 },
    // No queue: fewer calls would take as long.
    AnswersCase{ "AlwaysSlow", Duration{ 600 }, Duration{ 600 }, 0, 5, 0, 0 },
    AnswersCase{ "NearlyLate", Duration{ 100 }, Duration{ 310 }, 0, 31, 0, 0 },
    // 100 answers a second, six tenths of the aim.
    AnswersCase{ "TooLate", Duration{ 100 }, Duration{ 800 }, 0, 80, 20, 32 },
    AnswersCase{ "SomeTurnedAway",
                 Duration{ 50 },
                 Duration{ 50 },
                 3,
                 40,
                 1,
                 20 },
    AnswersCase{ "FewTurnedAway",
                 Duration{ 50 },
                 Duration{ 50 },
                 8,
                 40,
                 0,
                 0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Answers to calls that were sent before say nothing of the limit that was set
// since.
TEST_F(ConcurrencyLimitTest, FallsOnceForOneQueue)
{
  for (int i = 0; i < 50; ++i) {
    Answer(Duration{ 50 }, 40);
  }
  while (!m_limit.Value()) {
    Answer(Duration{ 900 }, 40);
  }
  const double first = *m_limit.Value();
  for (int i = 0; i < 50; ++i) {
    Answer(Duration{ 900 }, 40);
  }
  EXPECT_EQ(m_limit.Value(), first);
}

TEST_F(ConcurrencyLimitTest, EndsOnceThereIsRoomForAll)
{
  while (!m_limit.Value()) {
    Answer(Duration{ 50 }, 40, false);
  }
  for (int i = 0; i < 1000; ++i) {
    Answer(Duration{ 50 }, 2);
  }
  EXPECT_EQ(m_limit.Value(), std::nullopt);
}

TEST_F(ConcurrencyLimitTest, RisesWhileItIsUsed)
{
  while (!m_limit.Value()) {
    Answer(Duration{ 50 }, 40, false);
  }
  const double first = *m_limit.Value();
  for (int i = 0; i < 200; ++i) {
    Answer(Duration{ 50 }, static_cast<std::size_t>(*m_limit.Value()) + 1);
  }
  EXPECT_GT(*m_limit.Value(), first + 5);
}

} // namespace
} // namespace ridgeferry::admission
