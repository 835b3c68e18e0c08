// Checks that a call runs at most once over two instances: the one that its
// caller reached may pass it on to another one, its prompt may be read by a
// prefill engine before it runs, and each event of each attempt may come late,
// twice or behind later ones.

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <optional>
#include <ostream>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/RelayFlow.h>

namespace ridgeferry::relay {
namespace {

constexpr int kCallsEachCase = 40;
constexpr int kMostSteps = 80;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
/** How the first instance calls the second one where an upstream's name
 * stands. */
constexpr const char* kOtherInstance = "instance/b";

/** Drives the flows of one call at two instances. Which upstreams began to run
 * it is recorded where they do, whatever the instances learn of it. */
class TwoInstances
{
public:
  explicit TwoInstances(RelayTraits aTraits)
    : m_traits(aTraits)
    , m_first(aTraits)
  {
    Take(m_firstSide, m_first, CallBegan{});
  }

  void Step()
  {
    const bool usesSecond = m_second && *rc::gen::inRange(0, 2) == 0;
    if (usesSecond) {
      StepSide(m_secondSide, *m_second);
    } else {
      StepSide(m_firstSide, m_first);
    }
    PassOnAnswer();
    Redeliver();
  }

  bool IsDone() const
  {
    return m_first.IsDone() && (!m_second || m_second->IsDone());
  }

  /** Ends both sides. */
  void End()
  {
    Take(m_firstSide, m_first, DeadlinePassed{});
    if (m_second) {
      Take(m_secondSide, *m_second, DeadlinePassed{});
    }
  }

  void Check() const
  {
    const bool mayRepeat = m_traits.m_repeat == Repeat::Freely;
    RC_ASSERT(mayRepeat || m_runs <= 1);
    const bool isTrue = !m_firstSide.m_saidNotRun || m_runs == 0;
    RC_ASSERT(isTrue);
  }

private:
  /** One instance's part of the call. */
  struct Side
  {
    bool m_wantsPlace = false;
    AttemptId m_attempt = 0; ///< Under way; 0: none.
    bool m_isForwarded = false;
    bool m_isPrefill = false; ///< The attempt only reads the prompt.
    bool m_hasHead = false;
    bool m_hasRun = false; ///< The upstream of the attempt began to run it.
    bool m_saidNotRun = false;
    std::optional<int> m_status; ///< Of the final answer.
    bool m_foundNone = false;
    int m_upstreams = 0;
    std::deque<RelayEvent> m_past; ///< Events that may come once more.
  };

  void Take(Side& aSide, RelayFlow& aFlow, const RelayEvent& aEvent)
  {
    aSide.m_past.push_back(aEvent);
    for (const RelayAction& action : aFlow.Handle(aEvent)) {
      std::visit([&](const auto& aTyped) { Do(aSide, aTyped); }, action);
    }
  }

  void StepSide(Side& aSide, RelayFlow& aFlow)
  {
    const int what = *rc::gen::inRange(0, 40);
    aFlow.SetFreePermits(*rc::gen::inRange(0, 4));
    if (what == 0) {
      const bool mayHaveLeft =
        aSide.m_hasRun || aSide.m_isForwarded || *rc::gen::arbitrary<bool>();
      Take(aSide, aFlow, DeadlinePassed{ mayHaveLeft });
    } else if (what == 1) {
      Take(aSide, aFlow, CallerLeft{});
    } else if (aSide.m_wantsPlace) {
      aSide.m_wantsPlace = false;
      StepPlace(aSide, aFlow);
    } else if (aSide.m_attempt != 0 && aSide.m_isForwarded) {
      StepForwarded(aSide, aFlow);
    } else if (aSide.m_attempt != 0) {
      StepAttempt(aSide, aFlow);
    }
  }

  void StepPlace(Side& aSide, RelayFlow& aFlow)
  {
    const int kind = *rc::gen::inRange(0, 4);
    const bool mayPassOn = &aSide == &m_firstSide && !m_second;
    if (kind == 0) {
      aSide.m_foundNone = true;
      Take(aSide, aFlow, NoPlace{ Duration{ 10 } });
    } else if (kind == 1 && mayPassOn) {
      Take(aSide, aFlow, PlaceFound{ kOtherInstance, "" });
    } else {
      aSide.m_foundNone = false;
      const bool isApart = m_traits.m_stream && *rc::gen::arbitrary<bool>();
      Take(aSide,
           aFlow,
           PlaceFound{ "u" + std::to_string(++aSide.m_upstreams),
                       isApart ? "r" : "" });
    }
  }

  /** The connection to the other instance may fail before or behind it has the
   * call. */
  void StepForwarded(Side& aSide, RelayFlow& aFlow)
  {
    const int what = *rc::gen::inRange(0, 8);
    if (!m_second && what == 0) {
      Take(aSide, aFlow, AttemptNotSent{ aSide.m_attempt });
    } else if (!m_second) {
      RelayTraits traits = m_traits;
      traits.m_maxRuns = 1;
      m_second.emplace(traits);
      Take(m_secondSide, *m_second, CallBegan{});
    } else if (what == 0) {
      Take(aSide, aFlow, AttemptBroke{ aSide.m_attempt });
    } else if (what == 1) {
      StepUnnamed(aSide, aFlow);
    }
  }

  /** An answer that does not name the attempt: it shows nothing of the other
   * instance, which may run the call now or later. */
  void StepUnnamed(Side& aSide, RelayFlow& aFlow)
  {
    const AttemptId attempt = aSide.m_attempt;
    Take(aSide, aFlow, HeadArrived{ attempt, kUnavailable, false });
    Take(aSide, aFlow, AnswerEnded{ attempt });
  }

  /** The other instance's final answer arrives, as its driver writes it. */
  void PassOnAnswer()
  {
    const bool isAwaited =
      m_firstSide.m_attempt != 0 && m_firstSide.m_isForwarded;
    if (!isAwaited || !m_secondSide.m_status) {
      return;
    }
    const int status = *std::exchange(m_secondSide.m_status, std::nullopt);
    const AttemptId attempt = m_firstSide.m_attempt;
    const bool isDeclined = m_secondSide.m_foundNone && status == kUnavailable;
    if (isDeclined) {
      Take(m_firstSide, m_first, AttemptRefused{ attempt });
      return;
    }
    Take(m_firstSide, m_first, HeadArrived{ attempt, status, true });
    Take(m_firstSide, m_first, AnswerEnded{ attempt });
  }

  /** A prefill is lost, refused, without a handle, or good. */
  void StepPrefill(Side& aSide, RelayFlow& aFlow)
  {
    const AttemptId attempt = aSide.m_attempt;
    const std::vector<RelayEvent> ends{ PrefillCompleted{ attempt, "h" },
                                        PrefillCompleted{ attempt, "h" },
                                        AttemptBroke{ attempt },
                                        AttemptRefused{ attempt },
                                        AttemptRefused{ attempt, true },
                                        AttemptNotSent{ attempt },
                                        AttemptWithheld{ attempt },
                                        AnswerEnded{ attempt },
                                        PrefillRan{ attempt } };
    const std::size_t end = *rc::gen::inRange<std::size_t>(0, ends.size());
    if (std::holds_alternative<PrefillRan>(ends[end])) {
      Run(aSide);
    }
    Take(aSide, aFlow, ends[end]);
  }

  void StepAttempt(Side& aSide, RelayFlow& aFlow)
  {
    if (aSide.m_isPrefill) {
      StepPrefill(aSide, aFlow);
      return;
    }
    const AttemptId attempt = aSide.m_attempt;
    const int what = *rc::gen::inRange(0, 12);
    if (aSide.m_hasHead) {
      Take(aSide, aFlow, AnswerEnded{ attempt });
    } else if (!aSide.m_hasRun && what == 0) {
      Take(aSide, aFlow, AttemptRefused{ attempt });
    } else if (!aSide.m_hasRun && what == 1) {
      Take(
        aSide, aFlow, AttemptNotSent{ attempt, *rc::gen::arbitrary<bool>() });
    } else if (!aSide.m_hasRun && what == 2) {
      Take(aSide, aFlow, AttemptWithheld{ attempt });
    } else if (what < 6) {
      Run(aSide);
    } else if (what < 8) {
      Take(aSide, aFlow, AttemptBroke{ attempt });
    } else {
      Run(aSide);
      aSide.m_hasHead = true;
      const int status = *rc::gen::element(200, 200, 500, 503, 429, 421, 408);
      Take(aSide, aFlow, HeadArrived{ attempt, status });
    }
  }

  void Run(Side& aSide)
  {
    m_runs += std::exchange(aSide.m_hasRun, true) ? 0 : 1;
  }

  /** Something that was told before is told once more. A driver numbers its
   * events, so it is told of its own attempt. */
  void Redeliver()
  {
    for (Side* side : { &m_firstSide, &m_secondSide }) {
      RelayFlow* flow = side == &m_firstSide ? &m_first : SecondFlow();
      if (flow == nullptr || side->m_past.empty() ||
          *rc::gen::inRange(0, 3) != 0) {
        continue;
      }
      const RelayEvent event = side->m_past[static_cast<std::size_t>(
        *rc::gen::inRange<std::size_t>(0, side->m_past.size()))];
      const bool isOfPresent = AttemptOf(event) == side->m_attempt;
      if (AttemptOf(event) != 0 && !isOfPresent) {
        Take(*side, *flow, event);
      }
    }
  }

  RelayFlow* SecondFlow() { return m_second ? &*m_second : nullptr; }

  static AttemptId AttemptOf(const RelayEvent& aEvent)
  {
    return std::visit(
      [](const auto& aTyped) -> AttemptId {
        if constexpr (requires { aTyped.m_attempt; }) {
          return aTyped.m_attempt;
        } else {
          return 0;
        }
      },
      aEvent);
  }

  void Do(Side& aSide, const FindPlace&)
  {
    aSide.m_wantsPlace = true;
    aSide.m_attempt = 0;
  }
  void Do(Side& aSide, const SendPrefill& aAction)
  {
    aSide.m_attempt = aAction.m_attempt;
    aSide.m_isForwarded = false;
    aSide.m_isPrefill = true;
    aSide.m_hasRun = false;
  }
  void Do(Side& aSide, const SendRun& aAction)
  {
    aSide.m_attempt = aAction.m_attempt;
    aSide.m_isPrefill = false;
    aSide.m_isForwarded = aAction.m_upstream == kOtherInstance;
    aSide.m_hasHead = false;
    aSide.m_hasRun = false;
  }
  void Do(Side& aSide, const CancelAttempt&) { aSide.m_attempt = 0; }
  void Do(Side& aSide, const ForwardCompleteAnswer&)
  {
    aSide.m_attempt = 0;
    aSide.m_status = 200;
    // Passed through: the caller reads what the other instance promised.
    aSide.m_saidNotRun = aSide.m_isForwarded && m_secondSide.m_saidNotRun;
  }
  void Do(Side& aSide, const ReplyError& aAction)
  {
    aSide.m_attempt = 0;
    using Reason = ReplyError::Reason;
    aSide.m_saidNotRun = aAction.m_reason != Reason::NoAnswer &&
                         aAction.m_reason != Reason::TooLate;
    aSide.m_status = aSide.m_saidNotRun                    ? kUnavailable
                     : aAction.m_reason == Reason::TooLate ? kGatewayTimeout
                                                           : kBadGateway;
  }
  template<typename Other>
  void Do(Side&, const Other&)
  {
  }

  RelayTraits m_traits;
  RelayFlow m_first;
  std::optional<RelayFlow> m_second;
  Side m_firstSide;
  Side m_secondSide;
  int m_runs = 0;
};

struct TwoInstancesCase
{
  const char* m_name;
  RelayTraits m_traits;
};

std::ostream&
operator<<(std::ostream& aOut, const TwoInstancesCase& aCase)
{
  return aOut << aCase.m_name;
}

class TwoInstancesWorldTest : public ::testing::TestWithParam<TwoInstancesCase>
{};

// Guards against a call that runs twice as two instances each send it, and
// against an untrue "not run" behind another instance's answer.
TEST_P(TwoInstancesWorldTest, RunsAtMostOnceAndNotRunIsTrue)
{
  EXPECT_TRUE(rc::check(GetParam().m_name, [] {
    for (int call = 0; call < kCallsEachCase; ++call) {
      TwoInstances world(GetParam().m_traits);
      for (int i = 0; i < kMostSteps && !world.IsDone(); ++i) {
        world.Step();
        world.Check();
      }
      world.End();
      world.Check();
    }
  }));
}

INSTANTIATE_TEST_SUITE_P(
  Kinds,
  TwoInstancesWorldTest,
  ::testing::Values(
    TwoInstancesCase{ "Unsafe", { Repeat::Never, false, false, 1 } },
    TwoInstancesCase{ "UnsafeWithMoreRunsAllowed",
                      { Repeat::Never, false, false, 3 } },
    TwoInstancesCase{ "StreamNotResumable", { Repeat::Never, true, false, 3 } },
    TwoInstancesCase{ "StreamOfOneAttempt",
                      { Repeat::Never, true, false, 1 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
