// Simulates instances, upstreams and one call that crashes every upstream that
// begins to run it, in virtual time. The tests bound how many upstreams crash
// until no instance sends the call any more.

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <rapidcheck/gtest.h>
#include <ridgeferry/quarantine/BrokenRuns.h>
#include <ridgeferry/quarantine/Quarantine.h>

namespace ridgeferry::quarantine {
namespace {

constexpr CallDigest kCrashingCall{ 1, 1 };
/**
 * Time from a crash until it is known that nobody listens at the upstream's
 * address.
 */
constexpr Duration kDetect{ 5 };
/** Interval at which instances compare which calls they quarantine. */
constexpr Duration kCompareEvery{ 250 };
/**
 * Runs that begin later than this after the third crash are late runs. More
 * late runs than `kMostLateRuns` break the rule for operators, which limits how
 * long a call goes on crashing upstreams.
 */
constexpr Duration kLateAfter{ 3000 };
/** Maximum number of crash records that an instance takes from another one. */
constexpr std::size_t kMostTold = 100;
constexpr int kMostLateRuns = 3;
/** Time from the crash of an upstream until it runs again. */
constexpr Duration kUpstreamsBackAfter{ 4000 };
/**
 * Minimum time between two test runs of a call whose quarantine is doubted. The
 * first run has ended by then and has shown whether the call crashes its
 * upstream.
 */
constexpr Duration kTryEvery{ 10'000 };

struct Load
{
  int m_instances = 3;
  int m_upstreams = 12;
  /**
   * Interval between two calls that crash upstreams; each arrives at a random
   * instance.
   */
  Duration m_callEvery{ 80 };
  /**
   * Time from the beginning of a run until its upstream crashes or the run
   * ends.
   */
  Duration m_runsFor{ 100 };
  Duration m_messageDelay{ 5 }; ///< Delay of a message between instances.
  double m_lost = 0;            ///< Share of messages that are lost.
  /** Interval at which one instance restarts; if 0, no instance restarts. */
  Duration m_restartEvery{};
  Duration m_length{ 20'000 };
};

class World
{
public:
  World(const Load& aLoad, std::uint64_t aSeed)
    : m_load(aLoad)
    , m_random(aSeed)
    , m_instances(static_cast<std::size_t>(aLoad.m_instances))
    , m_upstreams(static_cast<std::size_t>(aLoad.m_upstreams))
  {
  }

  void Play()
  {
    Plan(m_load.m_callEvery, [this] { Call(); });
    Plan(kCompareEvery, [this] { Compare(); });
    if (m_load.m_restartEvery.count() > 0) {
      Plan(m_load.m_restartEvery, [this] { Restart(); });
    }
    while (!m_events.empty() &&
           m_events.top().m_at <= Instant(m_load.m_length)) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_what();
    }
  }

  int Ends() const { return m_ends; }
  /**
   * Returns the number of runs begun later than `kLateAfter` after the third
   * crash.
   */
  int LateRuns() const { return m_lateRuns; }

private:
  struct Event
  {
    Instant m_at;
    /**
     * Orders events of the same time by the order in which they were planned.
     */
    std::uint64_t m_number = 0;
    std::function<void()> m_what;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.m_at, aOther.m_number) < std::tie(m_at, m_number);
    }
  };
  struct Instance
  {
    Quarantine m_quarantine;
    BrokenRuns m_broken;
    int m_incarnation = 0;
    std::optional<Instant> m_restartedAt;
  };
  struct Upstream
  {
    std::int64_t m_born = 1;
    std::optional<Instant> m_backAt;
  };

  void After(Duration aDelay, std::function<void()> aWhat)
  {
    m_events.push({ m_now + aDelay, ++m_number, std::move(aWhat) });
  }

  void Plan(Duration aEvery, const std::function<void()>& aWhat)
  {
    After(aEvery, [this, aEvery, aWhat] {
      aWhat();
      Plan(aEvery, aWhat);
    });
  }

  std::size_t Draw(std::size_t aCount) { return m_random() % aCount; }

  void Call()
  {
    const std::size_t at = Draw(m_instances.size());
    const Instance& instance = m_instances[at];
    const std::size_t ends = instance.m_quarantine.Ends(kCrashingCall) +
                             instance.m_broken.Unresolved(kCrashingCall);
    if (ends >= Quarantine::kCrashesToQuarantine && !MayTry(at)) {
      return;
    }
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
      if (m_upstreams[i].m_backAt.value_or(m_now) <= m_now) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    if (m_thirdEnd && m_now - *m_thirdEnd > kLateAfter &&
        CountsLateRuns(instance)) {
      ++m_lateRuns;
    }
    const std::size_t upstream = up[Draw(up.size())];
    After(m_load.m_runsFor,
          [this, at, upstream, incarnation = instance.m_incarnation] {
            End(at, upstream, incarnation);
          });
  }

  /**
   * Returns whether the instance may test a call whose quarantine is doubted.
   * Only one instance may do so at a time (in this simulation always the
   * first), and only with one run at a time.
   */
  bool MayTry(std::size_t aInstance)
  {
    if (aInstance != 0 || m_now < m_nextTry ||
        !m_instances[0].m_quarantine.IsDoubted(kCrashingCall, m_now)) {
      return false;
    }
    m_nextTry = m_now + kTryEvery;
    return true;
  }

  /**
   * Returns whether runs of the instance count as late. They do not count
   * within `kLateAfter` after its restart.
   */
  bool CountsLateRuns(const Instance& aInstance) const
  {
    return !aInstance.m_restartedAt ||
           m_now - *aInstance.m_restartedAt > kLateAfter;
  }

  void End(std::size_t aInstance, std::size_t aUpstream, int aIncarnation)
  {
    Upstream& upstream = m_upstreams[aUpstream];
    const UpstreamIncarnation ended{ "i-" + std::to_string(aUpstream),
                                     upstream.m_born };
    if (upstream.m_backAt.value_or(m_now) <= m_now) {
      upstream.m_backAt = m_now + kUpstreamsBackAfter;
      ++upstream.m_born;
      if (++m_ends == static_cast<int>(Quarantine::kCrashesToQuarantine)) {
        m_thirdEnd = m_now;
      }
    }
    if (m_instances[aInstance].m_incarnation != aIncarnation) {
      // The instance that could have reported the crash has restarted since.
      return;
    }
    const NamedSuspect named{ kCrashingCall };
    m_instances[aInstance].m_broken.NoteBroken({ &named, 1 }, ended, m_now);
    After(kDetect, [this, aInstance, ended] { Detect(aInstance, ended); });
  }

  void Detect(std::size_t aInstance, const UpstreamIncarnation& aEnded)
  {
    Instance& instance = m_instances[aInstance];
    for (const auto& [call, broken] : instance.m_broken.NoteEnded(aEnded)) {
      const CrashRecord ending{ call, IncarnationHash(aEnded) };
      instance.m_quarantine.Note(ending, m_now, m_now - broken.m_at);
      for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Tell(i, ending);
      }
    }
  }

  void Tell(std::size_t aTo, const CrashRecord& aEnding)
  {
    if (std::uniform_real_distribution<double>(0, 1)(m_random) <
        m_load.m_lost) {
      return;
    }
    After(m_load.m_messageDelay, [this, aTo, aEnding] {
      m_instances[aTo].m_quarantine.Note(aEnding, m_now);
    });
  }

  /**
   * Every instance compares its fingerprint with that of a random one and takes
   * over its crash records if they differ.
   */
  void Compare()
  {
    for (Instance& instance : m_instances) {
      const Instance& other = m_instances[Draw(m_instances.size())];
      const std::uint64_t own = instance.m_quarantine.Fingerprint();
      if (other.m_quarantine.Fingerprint() == own) {
        continue;
      }
      for (const ReportedCrash& told :
           other.m_quarantine.Snapshot(m_now, kMostTold)) {
        instance.m_quarantine.Note(told.m_record, m_now, told.m_age);
      }
    }
  }

  /**
   * Restarts a random instance, which reads the crash records of another one
   * before it accepts calls.
   */
  void Restart()
  {
    const std::size_t at = Draw(m_instances.size());
    Instance fresh;
    fresh.m_incarnation = m_instances[at].m_incarnation + 1;
    fresh.m_restartedAt = m_now;
    const Instance& asked = m_instances[(at + 1) % m_instances.size()];
    for (const ReportedCrash& told :
         asked.m_quarantine.Snapshot(m_now, kMostTold)) {
      fresh.m_quarantine.Note(told.m_record, m_now, told.m_age);
    }
    m_instances[at] = std::move(fresh);
  }

  Load m_load;
  std::mt19937_64 m_random;
  Instant m_now;
  std::uint64_t m_number = 0;
  std::priority_queue<Event> m_events;
  std::vector<Instance> m_instances;
  std::vector<Upstream> m_upstreams;
  Instant m_nextTry;
  int m_ends = 0;
  int m_lateRuns = 0;
  std::optional<Instant> m_thirdEnd;
};

/**
 * Returns the maximum number of crashes: those that put the call in quarantine,
 * those of runs begun before all instances know of them, and that of the test
 * run if crashes at the same time leave the quarantine doubted.
 */
int
MaxCrashes(const Load& aLoad)
{
  const Duration unknown = aLoad.m_runsFor + kDetect + aLoad.m_messageDelay;
  const auto begun = static_cast<int>(unknown / aLoad.m_callEvery) + 1;
  const bool mayBeDoubted =
    2 * aLoad.m_callEvery <
    Quarantine::kCommonCauseWindow + aLoad.m_messageDelay;
  return static_cast<int>(Quarantine::kCrashesToQuarantine) + begun +
         (mayBeDoubted ? 1 : 0);
}

struct LoadCase
{
  Load m_load;
  const char* m_name;
};

class QuarantineWorldTest : public ::testing::TestWithParam<LoadCase>
{};

TEST_P(QuarantineWorldTest, CrashesAreFewHoweverOftenTheCallIsRetried)
{
  constexpr std::uint64_t kSeeds = 20;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    World world(GetParam().m_load, seed);
    world.Play();
    EXPECT_LE(world.Ends(), MaxCrashes(GetParam().m_load)) << "seed " << seed;
    EXPECT_EQ(world.LateRuns(), 0) << "seed " << seed;
  }
}

constexpr Duration kNever{};

INSTANTIATE_TEST_SUITE_P(
  Loads,
  QuarantineWorldTest,
  ::testing::Values(
    LoadCase{ {}, "Few" },
    LoadCase{ { 7, 12, Duration{ 300 } }, "Seldom" },
    LoadCase{ { 3, 200, Duration{ 10 } }, "Often" },
    LoadCase{ { 300, 2400, Duration{ 20 }, Duration{ 100 }, Duration{ 10 } },
              "Large" },
    LoadCase{ { 300, 2400, Duration{ 80 }, Duration{ 2000 }, Duration{ 10 } },
              "EndsLate" },
    LoadCase{
      { 7, 12, Duration{ 80 }, Duration{ 100 }, Duration{ 400 }, 0, kNever },
      "SlowTalk" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/**
 * With lost messages and restarted instances the number of crashes has no sharp
 * bound, but the number of late runs must stay bounded.
 */
RC_GTEST_PROP(QuarantineWorldProperty, FewRunsBeginLongAfterTheThirdCrash, ())
{
  Load load;
  load.m_instances = *rc::gen::inRange(2, 20);
  load.m_upstreams = *rc::gen::inRange(1, 60);
  load.m_callEvery = Duration(*rc::gen::inRange(5, 500));
  load.m_runsFor = Duration(*rc::gen::inRange(1, 1000));
  load.m_messageDelay = Duration(*rc::gen::inRange(1, 400));
  load.m_lost = *rc::gen::inRange(0, 4) * 0.1;
  const bool starts = *rc::gen::arbitrary<bool>();
  load.m_restartEvery = Duration(starts ? *rc::gen::inRange(1500, 5000) : 0);
  World world(load, *rc::gen::arbitrary<std::uint64_t>());
  world.Play();
  // A crash stays unknown if the only instance that saw it restarts, and a
  // doubted quarantine is tested by a run, so some late runs are allowed.
  RC_ASSERT(world.LateRuns() <= kMostLateRuns);
}

/**
 * Simulates upstreams that crash by chance, several at once, while many callers
 * send the same harmless call.
 */
class PopularWorld
{
public:
  PopularWorld(const Load& aLoad, int aEnds, std::uint64_t aSeed)
    : m_load(aLoad)
    , m_random(aSeed)
    , m_instances(static_cast<std::size_t>(aLoad.m_instances))
    , m_up(static_cast<std::size_t>(aLoad.m_upstreams), true)
    , m_ends(aEnds)
  {
  }

  void Play()
  {
    const Duration endsAt = m_load.m_length / 2;
    for (Duration now{}; now < m_load.m_length; now += Duration{ 1 }) {
      m_now = Instant(now);
      Deliver();
      FinishRuns();
      if (now == endsAt) {
        EndSome();
      }
      if (now % m_load.m_callEvery == Duration{}) {
        Call();
      }
    }
  }

  int Refused() const { return m_refused; }
  bool IsHeldAnywhere() const
  {
    return std::any_of(m_instances.begin(),
                       m_instances.end(),
                       [this](const Quarantine& aInstance) {
                         return aInstance.IsQuarantined(kCrashingCall);
                       });
  }

private:
  struct Run
  {
    std::size_t m_instance = 0;
    std::size_t m_upstream = 0;
    Instant m_until;
  };
  struct Message
  {
    CrashRecord m_record;
    Instant m_at;
  };

  void Call()
  {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < m_up.size(); ++i) {
      if (m_up[i]) {
        up.push_back(i);
      }
    }
    const std::size_t at = m_random() % m_instances.size();
    if (m_instances[at].IsQuarantined(kCrashingCall) && !MayTry(at)) {
      ++m_refused;
    } else if (!up.empty()) {
      m_runs.push_back(
        { at, up[m_random() % up.size()], m_now + m_load.m_runsFor });
    }
  }

  bool MayTry(std::size_t aInstance)
  {
    if (aInstance != 0 || m_now < m_nextTry ||
        !m_instances[0].IsDoubted(kCrashingCall, m_now)) {
      return false;
    }
    m_nextTry = m_now + kTryEvery;
    return true;
  }

  void EndSome()
  {
    for (int i = 0; i < m_ends; ++i) {
      const std::size_t ended = m_random() % m_up.size();
      m_up[ended] = false;
      std::erase_if(m_runs, [&](const Run& aRun) {
        if (aRun.m_upstream == ended) {
          Note(aRun.m_instance, { kCrashingCall, ended });
        }
        return aRun.m_upstream == ended;
      });
    }
  }

  void FinishRuns()
  {
    std::erase_if(m_runs, [this](const Run& aRun) {
      if (aRun.m_until > m_now) {
        return false;
      }
      for (const CrashRecord& cleared :
           m_instances[aRun.m_instance].NoteServed(kCrashingCall, m_now)) {
        m_messages.push_back({ cleared, m_now + m_load.m_messageDelay });
      }
      return true;
    });
  }

  void Note(std::size_t aInstance, const CrashRecord& aEnding)
  {
    m_instances[aInstance].Note(aEnding, m_now);
    m_messages.push_back({ aEnding, m_now + m_load.m_messageDelay });
  }

  void Deliver()
  {
    std::erase_if(m_messages, [this](const Message& aWord) {
      if (aWord.m_at > m_now) {
        return false;
      }
      for (Quarantine& instance : m_instances) {
        instance.Note(aWord.m_record, m_now);
      }
      return true;
    });
  }

  Load m_load;
  std::mt19937_64 m_random;
  Instant m_now;
  std::vector<Quarantine> m_instances;
  std::vector<bool> m_up;
  int m_ends;
  std::vector<Run> m_runs;
  std::vector<Message> m_messages;
  Instant m_nextTry;
  int m_refused = 0;
};

RC_GTEST_PROP(PopularCallsProperty,
              ChanceCrashesQuarantineNoHarmlessCallForLong,
              ())
{
  Load load;
  load.m_instances = *rc::gen::inRange(1, 10);
  load.m_upstreams = *rc::gen::inRange(2, 13);
  load.m_callEvery = Duration(*rc::gen::inRange(1, 50));
  load.m_runsFor = Duration(*rc::gen::inRange(1, 200));
  load.m_messageDelay = Duration(*rc::gen::inRange(1, 100));
  load.m_length = Duration{ 40'000 };
  const int ends = std::min(*rc::gen::inRange(1, 6), load.m_upstreams - 1);
  PopularWorld world(load, ends, *rc::gen::arbitrary<std::uint64_t>());
  world.Play();
  RC_ASSERT(!world.IsHeldAnywhere());
  // Several crashes at once quarantine the call until a run in progress
  // completes successfully, or until a call arrives at the one instance that
  // may test it.
  const Duration doubt = Quarantine::kDoubtedAfter + load.m_runsFor +
                         2 * load.m_messageDelay +
                         20 * load.m_instances * load.m_callEvery;
  RC_ASSERT(world.Refused() <= doubt / load.m_callEvery + 1);
}

} // namespace
} // namespace ridgeferry::quarantine
