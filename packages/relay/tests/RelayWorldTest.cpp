// Checks the invariants of `RelayFlow` under random sequences of events:
// upstreams refuse, break the connection or answer, the deadline passes, the
// caller leaves, and events of earlier attempts arrive late or twice.

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/RelayFlow.h>
#include <set>

namespace ridgeferry::relay {
namespace {

/** Number of events in the stream that each run produces. */
constexpr int kStreamLength = 4;
/** Calls simulated in each RapidCheck case. Most calls end after a few steps,
 * so many are needed to cover long ones too. */
constexpr int kCallsEachCase = 20;

std::string
EventText(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: x\n\n";
}

/** Asserts a condition that contains `||`. RC_ASSERT decomposes its expression,
 * which does not work with `||`. */
void
AssertHolds(bool aHolds)
{
  RC_ASSERT(aHolds);
}

/** Drives one call with random events and records which upstreams really ran
 * it, so that the answers of `RelayFlow` can be checked against that record. */
class RelaySimulation
{
public:
  explicit RelaySimulation(RelayTraits aTraits)
    : m_traits(aTraits)
    , m_flow(aTraits)
  {
  }

  void Take(const RelayEvent& aEvent)
  {
    const int before = m_flow.Permits();
    const int repeatsBefore = m_repeats;
    const int free = m_free;
    const int returned = Returned(aEvent);
    for (const RelayAction& action : m_flow.Handle(aEvent)) {
      std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
    }
    // What is sent as a repeat was held before, or taken of what was free.
    const int used = m_repeats - repeatsBefore;
    RC_ASSERT(m_flow.Permits() >= 0);
    RC_ASSERT(m_flow.Permits() + used <= before + free + returned);
    if (m_flow.IsDone()) {
      RC_ASSERT(m_flow.Permits() == 0);
    }
  }

  void Step()
  {
    const int what = *rc::gen::inRange(0, 60);
    m_free = *rc::gen::inRange(0, 4);
    m_flow.SetFreePermits(m_free);
    if (what == 0) {
      Take(CallerLeft{});
      m_left = true;
    } else if (what == 1) {
      Take(DeadlinePassed{});
    } else if (m_wantsPlace) {
      m_wantsPlace = false;
      StepPlace();
    } else if (m_attempt != 0) {
      StepAttempt(*rc::gen::inRange(2, 12));
    }
    // Events of an earlier attempt can arrive at any time.
    if (m_attempt > 1 && *rc::gen::inRange(0, 4) == 0) {
      Take(BytesArrived{ m_attempt - 1, EventText(99) });
      Take(AnswerEnded{ m_attempt - 1 });
    }
  }

  void Check() const
  {
    RC_ASSERT(m_finals <= 1);
    RC_ASSERT(m_repeatsSent >=
              std::max(0, m_runsSent - 1) + std::max(0, m_prefillsSent - 1));
    const bool idempotent = m_traits.m_stream
                              ? m_traits.m_resumable
                              : m_traits.m_repeat == Repeat::Freely;
    if (!idempotent) {
      RC_ASSERT(m_runs <= 1);
      AssertHolds(!m_saidNotRun || m_runs == 0);
    }
    RC_ASSERT(m_ranAt.size() <= static_cast<std::size_t>(m_traits.m_maxRuns));
    // The caller must receive complete events in order, each exactly once.
    std::string expected;
    for (int i = 1; expected.size() < m_forwarded.size(); ++i) {
      expected += EventText(i);
    }
    AssertHolds(m_forwarded == expected || !m_traits.m_stream);
    AssertHolds(!m_ended || !m_traits.m_stream || m_given == kStreamLength);
  }

  bool IsDone() const { return m_flow.IsDone(); }
  int Finals() const { return m_finals; }
  bool Left() const { return m_left; }

private:
  /** Counts a send that did not leave as none. Returns how many permits come
   * back by that. */
  int Returned(const RelayEvent& aEvent)
  {
    const auto* notSent = std::get_if<AttemptNotSent>(&aEvent);
    if (notSent == nullptr || notSent->m_attempt != m_attempt) {
      return 0;
    }
    --(m_prefilling ? m_prefillsSent : m_runsSent);
    m_repeatsSent -= m_isRepeat ? 1 : 0;
    return m_isRepeat ? 1 : 0;
  }

  void NoteSend(bool aIsRepeat)
  {
    m_isRepeat = aIsRepeat;
    m_repeats += aIsRepeat ? 1 : 0;
    m_repeatsSent += aIsRepeat ? 1 : 0;
  }

  void StepPlace()
  {
    const int kind = *rc::gen::inRange(0, 5);
    if (kind == 0) {
      Take(NoPlace{ Duration{ 10 } });
    } else {
      const std::string upstream = "u" + std::to_string(++m_upstreams);
      Take(PlaceFound{ upstream, kind == 1 && m_traits.m_stream ? "r" : "" });
    }
  }

  void StepAttempt(int aWhat)
  {
    if (m_prefilling) {
      const std::vector<RelayEvent> ends{ PrefillCompleted{ m_attempt, "h" },
                                          AttemptBroke{ m_attempt },
                                          AttemptRefused{ m_attempt },
                                          AttemptNotSent{ m_attempt },
                                          AnswerEnded{ m_attempt } };
      Take(ends[static_cast<std::size_t>(*rc::gen::inRange(0, 5))]);
    } else if (!m_headSent && aWhat < 4) {
      m_attemptRan = false;
      if (aWhat == 2) {
        Take(AttemptRefused{ m_attempt });
      } else {
        // The earlier run of an upstream that has ended no longer counts; that
        // of one which was only slow to take a connection does.
        const bool hasEnded = aWhat != 3;
        if (hasEnded) {
          m_ranAt.erase(m_runAt);
        }
        Take(AttemptNotSent{ m_attempt, hasEnded });
      }
    } else if (aWhat < 6) {
      CountRun();
      Take(AttemptBroke{ m_attempt });
    } else if (!m_headSent) {
      CountRun();
      m_headSent = true;
      m_status = *rc::gen::element(200, 200, 200, 500, 503, 429);
      Take(HeadArrived{ m_attempt, m_status });
    } else {
      StepAnswer();
    }
  }

  void StepAnswer()
  {
    const bool stream = m_traits.m_stream && m_status == 200;
    if (!stream || m_next > kStreamLength) {
      Take(AnswerEnded{ m_attempt });
      return;
    }
    // The event arrives in two pieces, cut at a random position.
    const std::string text = EventText(m_next++);
    const auto cut = *rc::gen::inRange<std::size_t>(0, text.size());
    const AttemptId attempt = m_attempt;
    Take(BytesArrived{ attempt, text.substr(0, cut) });
    Take(BytesArrived{ attempt, text.substr(cut) });
  }

  void CountRun()
  {
    if (!std::exchange(m_attemptRan, true)) {
      ++m_runs;
      m_ranAt.insert(m_runAt);
    }
  }

  void Do(const FindPlace&)
  {
    m_wantsPlace = true;
    m_attempt = 0;
  }
  void Do(const SendPrefill& aAction)
  {
    m_attempt = aAction.m_attempt;
    m_prefilling = true;
    ++m_prefillsSent;
    NoteSend(aAction.m_repeat);
  }
  void Do(const SendRun& aAction)
  {
    m_attempt = aAction.m_attempt;
    m_runAt = aAction.m_upstream;
    m_prefilling = false;
    ++m_runsSent;
    NoteSend(aAction.m_repeat);
    m_headSent = false;
    m_attemptRan = false;
    m_next =
      aAction.m_resumeAfter.empty() ? 1 : std::stoi(aAction.m_resumeAfter) + 1;
  }
  void Do(const CancelAttempt&) {}
  void Do(const NoteAttemptEnd&) {}
  void Do(const FreeHandle&) {}
  void Do(const ForwardHead&) {}
  void Do(const ForwardBytes& aAction)
  {
    m_forwarded += aAction.m_bytes;
    m_given =
      static_cast<int>(std::count(m_forwarded.begin(), m_forwarded.end(), 'x'));
  }
  void Do(const ForwardEnd&)
  {
    ++m_finals;
    m_ended = true;
  }
  void Do(const ForwardCompleteAnswer&) { ++m_finals; }
  void Do(const AbortConnection&) { ++m_finals; }
  void Do(const ReplyError& aAction)
  {
    ++m_finals;
    m_saidNotRun = aAction.m_reason == ReplyError::Reason::NoRoom;
  }

  RelayTraits m_traits;
  RelayFlow m_flow;
  bool m_wantsPlace = false;
  bool m_prefilling = false;
  bool m_headSent = false;
  bool m_attemptRan = false;
  bool m_left = false;
  bool m_ended = false;
  bool m_saidNotRun = false;
  AttemptId m_attempt = 0;
  int m_status = 0;
  int m_next = 1;
  int m_runs = 0;
  int m_upstreams = 0;
  std::string m_runAt;
  /** Upstreams that ran the call and have not crashed since. */
  std::set<std::string> m_ranAt;
  int m_free = 0;    ///< Permits that the flow may take in the next event.
  int m_repeats = 0; ///< Sends that were marked as repeats.
  bool m_isRepeat = false; ///< The latest send was.
  /** Sends that left. */
  int m_runsSent = 0;
  int m_prefillsSent = 0;
  int m_repeatsSent = 0;
  int m_finals = 0;
  int m_given = 0;
  std::string m_forwarded;
};

void
PlayCall(RelayTraits aTraits)
{
  RelaySimulation world(aTraits);
  world.Take(CallBegan{});
  for (int i = 0; i < 60 && !world.IsDone(); ++i) {
    world.Step();
    world.Check();
  }
  if (!world.IsDone()) {
    world.Take(DeadlinePassed{});
    world.Check();
  }
  RC_ASSERT(world.IsDone());
  AssertHolds(world.Finals() == 1 || world.Left());
}

struct WorldCase
{
  const char* m_name;
  RelayTraits m_traits;
};

class RelayWorldTest : public ::testing::TestWithParam<WorldCase>
{};

TEST_P(RelayWorldTest, OneTrueFinalAnswerAndAtMostOneRun)
{
  EXPECT_TRUE(rc::check(GetParam().m_name, [] {
    for (int call = 0; call < kCallsEachCase; ++call) {
      PlayCall(GetParam().m_traits);
    }
  }));
}

INSTANTIATE_TEST_SUITE_P(
  Kinds,
  RelayWorldTest,
  ::testing::Values(WorldCase{ "Unsafe", { Repeat::Never, false, false, 1 } },
                    WorldCase{ "UnsafeWithMoreRunsAllowed",
                               { Repeat::Never, false, false, 3 } },
                    WorldCase{ "Safe", { Repeat::Freely, false, false, 2 } },
                    WorldCase{ "Stream", { Repeat::Never, true, false, 1 } },
                    WorldCase{ "Resumable", { Repeat::Never, true, true, 3 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
