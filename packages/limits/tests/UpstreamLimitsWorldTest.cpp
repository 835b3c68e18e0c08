// Simulates instances that send to one upstream in need, in virtual time: the
// limit holds for all of them together, is used, and its end is found out.

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <ridgeferry/limits/UpstreamLimits.h>

namespace ridgeferry::limits {
namespace {

constexpr LimitedUpstream kUpstream{ 11, 5 };
constexpr Duration kStep{ 10 };
/** What the operators give the instances to learn of a limit. */
constexpr Duration kLearning{ 3000 };
constexpr Duration kWindow{ 4000 };
constexpr double kTolerance = 1.5;
constexpr double kMore = 5;
/** Least share of a limit that must be used while each instance has calls
 * enough to use a permit before it expires. */
constexpr double kLeastUsed = 0.6;
/** So many calls that come in the lifetime of a permit are enough. */
constexpr double kEnoughCalls = 2;

struct Load
{
  int m_instances = 7;
  double m_limit = 7;
  /** Calls a second of all instances, as a multiple of the limit. */
  double m_demand = 5;
  /** The demand of the busiest instance in terms of the least busy one's. */
  double m_uneven = 1;
  Duration m_heartbeat{ 70 };
  Duration m_delay{ 5 }; ///< Age of a heartbeat when it arrives.
  double m_lost = 0;     ///< Share of heartbeats that are lost.
  /** Time from a send to its answer. */
  Duration m_answer{ 100 };
  Duration m_length{ 20'000 };
};

class World
{
public:
  World(const Load& aLoad, std::uint64_t aSeed)
    : m_load(aLoad)
    , m_random(aSeed)
    , m_instances(static_cast<std::size_t>(aLoad.m_instances))
  {
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      m_instances[i].SetSeed(i + 1);
      m_weights.push_back(1 + (m_load.m_uneven - 1) * Draw());
      m_nextHeartbeat.push_back(
        m_now + Duration(static_cast<int>(Draw() * Count(m_load.m_heartbeat))));
      m_weightSum += m_weights.back();
    }
  }

  void SetLimit(std::optional<double> aLimit) { m_limit = aLimit; }
  /** Calls that callers make a second, at all instances together. */
  void SetDemand(double aPerSecond) { m_demand = aPerSecond; }

  void Play(Duration aTime)
  {
    for (const Instant end = m_now + aTime; m_now < end; m_now += kStep) {
      Deliver();
      for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Beat(i);
        Call(i);
      }
    }
  }

  Instant Now() const { return m_now; }
  int ArrivedSince(Instant aFrom) const
  {
    return static_cast<int>(
      std::count_if(m_arrivals.begin(), m_arrivals.end(), [aFrom](Instant aAt) {
        return aAt >= aFrom;
      }));
  }
  /** Returns the most arrivals in any window that begins at `aFrom` or later.
   */
  int MostInWindow(Instant aFrom) const
  {
    int most = 0;
    auto end = m_arrivals.begin();
    for (auto begin = m_arrivals.begin(); begin != m_arrivals.end(); ++begin) {
      end = std::find_if(std::max(begin, end),
                         m_arrivals.end(),
                         [&](Instant aAt) { return aAt > *begin + kWindow; });
      if (*begin >= aFrom) {
        most = std::max(most, static_cast<int>(end - begin));
      }
    }
    return most;
  }

private:
  struct Message
  {
    Instant m_at;
    std::size_t m_to = 0;
    std::string m_from;
    std::vector<LimitReport> m_reports;
    std::vector<ServiceDemand> m_demands;
  };
  struct Answer
  {
    Instant m_at;
    std::size_t m_to = 0;
    std::optional<double> m_limit;
  };

  static double Count(Duration aTime)
  {
    return static_cast<double>(aTime.count());
  }
  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  void Deliver()
  {
    while (!m_messages.empty() && m_messages.front().m_at <= m_now) {
      const Message& message = m_messages.front();
      UpstreamLimits& to = m_instances[message.m_to];
      for (const LimitReport& report : message.m_reports) {
        to.Note(kUpstream,
                { report.m_perSecond, m_now - report.m_age },
                StatedTo::APeer,
                m_now);
      }
      to.SetPeer(message.m_from, message.m_demands);
      m_messages.pop_front();
    }
    while (!m_answers.empty() && m_answers.front().m_at <= m_now) {
      const Answer& answer = m_answers.front();
      m_instances[answer.m_to].Note(
        kUpstream, { answer.m_limit, m_now }, StatedTo::ThisInstance, m_now);
      m_answers.pop_front();
    }
  }

  void Beat(std::size_t aInstance)
  {
    if (m_now < m_nextHeartbeat[aInstance]) {
      return;
    }
    m_nextHeartbeat[aInstance] += m_load.m_heartbeat;
    UpstreamLimits& own = m_instances[aInstance];
    own.Tick(m_instances.size(), m_now);
    const std::vector<LimitReport> reports = own.Reports(m_now);
    if (reports.empty()) {
      return;
    }
    for (std::size_t to = 0; to < m_instances.size(); ++to) {
      if (to != aInstance && Draw() >= m_load.m_lost) {
        m_messages.push_back({ m_now + m_load.m_delay,
                               to,
                               std::to_string(aInstance),
                               reports,
                               own.Demands(m_now) });
      }
    }
  }

  void Call(std::size_t aInstance)
  {
    const double perStep = m_demand * m_weights[aInstance] / m_weightSum *
                           std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> calls(perStep);
    for (int i = calls(m_random); i > 0; --i) {
      UpstreamLimits& own = m_instances[aInstance];
      own.NoteCall(kUpstream.m_service, m_now);
      if (own.RoomIn(kUpstream.m_upstream, false, m_now).count() > 0) {
        continue;
      }
      own.Take(kUpstream.m_upstream, m_now);
      m_arrivals.push_back(m_now);
      m_answers.push_back({ m_now + m_load.m_answer, aInstance, m_limit });
    }
  }

  Load m_load;
  std::mt19937_64 m_random;
  std::vector<UpstreamLimits> m_instances;
  std::vector<double> m_weights;
  double m_weightSum = 0;
  std::vector<Instant> m_nextHeartbeat;
  std::deque<Message> m_messages;
  std::deque<Answer> m_answers;
  std::vector<Instant> m_arrivals;
  std::optional<double> m_limit;
  double m_demand = 0;
  Instant m_now{ Duration{ 1'000'000 } };
};

double
Allowed(double aLimit)
{
  return kTolerance * aLimit * std::chrono::duration<double>(kWindow).count() +
         kMore;
}

Load
DrawLoad(int aMostInstances)
{
  Load out;
  out.m_instances = *rc::gen::inRange(1, aMostInstances + 1);
  out.m_limit = *rc::gen::inRange(5, 400) / 10.0;
  out.m_demand = *rc::gen::inRange(20, 200) / 10.0;
  out.m_uneven = *rc::gen::inRange(10, 100) / 10.0;
  out.m_heartbeat = Duration(*rc::gen::inRange(40, 300));
  out.m_delay = Duration(*rc::gen::inRange(1, 200));
  out.m_lost = *rc::gen::inRange(0, 20) / 100.0;
  out.m_answer = Duration(*rc::gen::inRange(10, 400));
  return out;
}

bool
HasCallsEnough(const Load& aLoad)
{
  const double least =
    aLoad.m_demand * aLoad.m_limit / (aLoad.m_instances * aLoad.m_uneven);
  return least *
           std::chrono::duration<double>(SendPermits::kLifetime).count() >=
         kEnoughCalls;
}

void
CheckLimit(const Load& aLoad, std::uint64_t aSeed)
{
  World world(aLoad, aSeed);
  world.SetDemand(aLoad.m_demand * aLoad.m_limit);
  world.Play(Duration{ 3000 });
  world.SetLimit(aLoad.m_limit);
  const Instant from = world.Now() + kLearning;
  world.Play(aLoad.m_length);
  const double seconds =
    std::chrono::duration<double>(world.Now() - from).count();
  RC_ASSERT(world.MostInWindow(from) <= Allowed(aLoad.m_limit));
  if (HasCallsEnough(aLoad)) {
    RC_ASSERT(world.ArrivedSince(from) >=
              kLeastUsed * aLoad.m_limit * seconds - kMore);
  }
}

// An upstream in need must not get each instance's whole limit, nor go idle.
RC_GTEST_PROP(UpstreamLimitsWorld, ALimitHoldsForAllTogetherAndIsUsed, ())
{
  CheckLimit(DrawLoad(20), *rc::gen::arbitrary<std::uint64_t>());
}

struct SizeCase
{
  int m_instances;
  double m_limit;
};

class LimitAtSizeTest : public ::testing::TestWithParam<SizeCase>
{};

TEST_P(LimitAtSizeTest, HoldsForAllTogetherAndIsUsed)
{
  Load load;
  load.m_instances = GetParam().m_instances;
  load.m_limit = GetParam().m_limit;
  load.m_demand = 60;
  load.m_uneven = 4;
  load.m_heartbeat = Duration{ 300 };
  World world(load, 1);
  world.SetDemand(load.m_demand * load.m_limit);
  world.Play(Duration{ 1000 });
  world.SetLimit(load.m_limit);
  const Instant from = world.Now() + kLearning;
  world.Play(load.m_length);
  EXPECT_LE(world.MostInWindow(from), Allowed(load.m_limit));
  const double seconds =
    std::chrono::duration<double>(world.Now() - from).count();
  EXPECT_GE(world.ArrivedSince(from), kLeastUsed * load.m_limit * seconds);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         LimitAtSizeTest,
                         ::testing::Values(SizeCase{ 7, 6.9 },
                                           SizeCase{ 30, 7.5 },
                                           SizeCase{ 100, 7.5 },
                                           SizeCase{ 300, 7.5 }),
                         [](const auto& aInfo) {
                           return "Instances" +
                                  std::to_string(aInfo.param.m_instances);
                         });

// An upstream whose limit falls must not get what the earlier one allowed.
RC_GTEST_PROP(UpstreamLimitsWorld, ALimitThatFallsIsFollowed, ())
{
  Load load = DrawLoad(12);
  load.m_limit = std::max(load.m_limit, 4.0);
  World world(load, *rc::gen::arbitrary<std::uint64_t>());
  world.SetDemand(load.m_demand * load.m_limit);
  world.SetLimit(load.m_limit);
  world.Play(Duration{ 6000 });
  const double lower = load.m_limit / 2;
  world.SetLimit(lower);
  const Instant from = world.Now() + kLearning;
  world.Play(Duration{ 12'000 });
  RC_ASSERT(world.MostInWindow(from) <= Allowed(lower));
}

// An upstream that has recovered must not stay idle.
RC_GTEST_PROP(UpstreamLimitsWorld, TheEndOfALimitIsFoundOut, ())
{
  const Load load = DrawLoad(12);
  World world(load, *rc::gen::arbitrary<std::uint64_t>());
  const double demand = load.m_demand * load.m_limit;
  world.SetDemand(demand);
  world.SetLimit(load.m_limit);
  world.Play(Duration{ 8000 });
  world.SetLimit(std::nullopt);
  // An answer, the return, and instances that learned of it late.
  world.Play(Duration{ 9000 } +
             Duration(static_cast<int>(3000 / load.m_limit)));
  const Instant from = world.Now();
  world.Play(Duration{ 10'000 });
  RC_ASSERT(world.ArrivedSince(from) >= 10 * demand * 0.5 - kMore);
}

} // namespace
} // namespace ridgeferry::limits
