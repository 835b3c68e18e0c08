// One of some upstreams starts or recovers while all others serve, in virtual
// time: instances that place calls evenly and tell each other some time later.
// The bounds are the operators' complaint turned round: not flooded in the
// first second, not idle by the sixth.

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <ridgeferry/pacing/StartPace.h>

namespace ridgeferry::pacing {
namespace {

constexpr UpstreamHash kStarting = 1;
constexpr Duration kStep{ 5 };
constexpr Duration kUsualAnswer{ 20 };
constexpr Duration kHeartbeat{ 300 };
/** Between 25 instances of one data centre. */
constexpr Duration kSlowHeartbeat{ 1200 };
constexpr Duration kFirstSecond{ 1000 };
constexpr Duration kFrom{ 6000 };
constexpr Duration kUntil{ 9000 };
constexpr double kMostAtFirst = 0.6;
constexpr double kLeastThen = 0.7;

struct WorldCase
{
  const char* m_name;
  std::size_t m_instances;
  std::size_t m_upstreams;
  double m_callsPerSecond;
  /** Slowness of the answers from the start on, falling evenly to that of the
   * second value over the time. */
  double m_slownessAtFirst;
  double m_slownessThen;
  Duration m_warmWithin;
  /** Whether it is to get its even part in the end. */
  bool m_answersWell;
  Duration m_heartbeat = kHeartbeat;
};

class World
{
public:
  World(const WorldCase& aCase, std::uint64_t aSeed)
    : m_case(aCase)
    , m_random(aSeed)
    , m_instances(aCase.m_instances)
  {
    for (StartPace& instance : m_instances) {
      instance.Begin(kStarting, m_now);
    }
  }

  void RunUntil(Duration aTime)
  {
    while (m_now < Instant{ aTime }) {
      m_now += kStep;
      TakeAnswers();
      TakeCalls();
      if (m_now.time_since_epoch() % m_case.m_heartbeat < kStep) {
        Tell();
      }
    }
  }

  /** Calls that the starting upstream got, by that of an even part, since the
   * call before. */
  double ShareSince(Duration aTime)
  {
    const double even = m_case.m_callsPerSecond *
                        static_cast<double>(aTime.count()) / kMsPerSecond /
                        static_cast<double>(m_case.m_upstreams);
    return static_cast<double>(std::exchange(m_sent, 0)) / even;
  }

private:
  static constexpr double kMsPerSecond = 1000;

  struct Call
  {
    std::size_t m_instance = 0;
    Instant m_sentAt;
    Instant m_answerAt;
    double m_slowness = 1;
  };

  double Draw() { return std::uniform_real_distribution<double>()(m_random); }

  double Slowness() const
  {
    const auto age = static_cast<double>(m_now.time_since_epoch().count());
    const double warm =
      std::min(1.0, age / static_cast<double>(m_case.m_warmWithin.count()));
    return m_case.m_slownessAtFirst +
           warm * (m_case.m_slownessThen - m_case.m_slownessAtFirst);
  }

  void TakeCalls()
  {
    const double mean = m_case.m_callsPerSecond *
                        static_cast<double>(kStep.count()) / kMsPerSecond;
    const int calls = std::poisson_distribution<int>(mean)(m_random);
    for (int i = 0; i < calls; ++i) {
      const std::size_t instance = m_random() % m_instances.size();
      const StartPace& pace = m_instances[instance];
      const bool even = Draw() * static_cast<double>(m_case.m_upstreams) < 1;
      const bool goes = pace.IsInStart(kStarting)
                          ? pace.MayPlace(kStarting, m_case.m_upstreams, Draw())
                          : even;
      if (goes) {
        Send(instance);
      }
    }
  }

  void Send(std::size_t aInstance)
  {
    ++m_sent;
    const double slowness = Slowness();
    const Duration took(static_cast<Duration::rep>(
      slowness * static_cast<double>(kUsualAnswer.count())));
    m_calls.push_back({ aInstance, m_now, m_now + took, slowness });
  }

  void TakeAnswers()
  {
    std::erase_if(m_calls, [this](const Call& aCall) {
      if (aCall.m_answerAt > m_now) {
        return false;
      }
      m_instances[aCall.m_instance].NoteAnswer(
        kStarting, { aCall.m_sentAt, true, aCall.m_slowness }, m_now);
      return true;
    });
  }

  void Tell()
  {
    std::vector<PaceReport> reports;
    for (StartPace& instance : m_instances) {
      instance.Tick(m_now);
      const auto told = instance.Reports(m_now);
      reports.insert(reports.end(), told.begin(), told.end());
    }
    for (StartPace& instance : m_instances) {
      for (const PaceReport& report : reports) {
        instance.NotePeer(report, m_now);
      }
    }
  }

  const WorldCase& m_case;
  std::mt19937_64 m_random;
  Instant m_now{};
  std::vector<StartPace> m_instances;
  std::vector<Call> m_calls;
  int m_sent = 0;
};

class StartPaceWorldTest : public ::testing::TestWithParam<WorldCase>
{};

TEST_P(StartPaceWorldTest, IsNeitherFloodedNorLeftIdle)
{
  constexpr int kSeeds = 20;
  double atFirst = 0;
  double then = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    World world(GetParam(), static_cast<std::uint64_t>(seed));
    world.RunUntil(kFirstSecond);
    atFirst += world.ShareSince(kFirstSecond);
    world.RunUntil(kFrom);
    world.ShareSince(kFrom);
    world.RunUntil(kUntil);
    then += world.ShareSince(kUntil - kFrom);
  }
  EXPECT_LT(atFirst / kSeeds, kMostAtFirst);
  if (GetParam().m_answersWell) {
    EXPECT_GT(then / kSeeds, kLeastThen);
  } else {
    // It is still asked, so that its recovery is seen.
    EXPECT_GT(then, 0);
    EXPECT_LT(then / kSeeds, kMostAtFirst);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Upstreams,
  StartPaceWorldTest,
  ::testing::Values(
    WorldCase{ "WarmAtOnceBeforeOneInstance",
               1,
               8,
               120,
               1,
               1,
               Duration{ 1 },
               true },
    WorldCase{ "WarmAtOnceBeforeMany", 89, 90, 600, 1, 1, Duration{ 1 }, true },
    WorldCase{ "SlowAtFirstBeforeOneInstance",
               1,
               8,
               120,
               8,
               1,
               Duration{ 4000 },
               true },
    WorldCase{ "SlowAtFirstBeforeMany",
               89,
               90,
               600,
               8,
               1,
               Duration{ 4000 },
               true },
    WorldCase{ "WarmAtOnceBeforeManyThatHearLate",
               89,
               90,
               600,
               1,
               1,
               Duration{ 1 },
               true,
               kSlowHeartbeat },
    WorldCase{ "SlowAtFirstBeforeManyThatHearLate",
               89,
               90,
               600,
               8,
               1,
               Duration{ 4000 },
               true,
               kSlowHeartbeat },
    WorldCase{ "FewCalls", 8, 8, 16, 1, 1, Duration{ 1 }, true },
    WorldCase{ "SlowMachineForGood", 8, 8, 120, 2.7, 2.7, Duration{ 1 }, true },
    WorldCase{ "DoesNotRecover", 8, 8, 120, 8, 8, Duration{ 1 }, false }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace ridgeferry::pacing
