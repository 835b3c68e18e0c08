#include "Schedule.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/base/Overloaded.h>
#include <ridgeferry/routing/CallFlow.h>
#include <set>

namespace ridgeferry::routing {
namespace {

/** Length of the output of each generation, in tokens. */
constexpr std::uint64_t kTokens = 6;

std::string
TokenText(std::uint64_t aOffset)
{
  return "t" + std::to_string(aOffset) + " ";
}

/**
 * Drives one call with random events and records violations of its invariants.
 * Upstreams refuse, break the connection, and answer late, twice or for an
 * attempt that has ended. The claim may be won or refused, and its outcome may
 * or may not be stored. The caller may leave and the deadline may pass at any
 * time.
 */
class CallSimulation
{
public:
  explicit CallSimulation(CallTraits aTraits)
    : m_traits(aTraits)
    , m_flow(aTraits)
  {
    Feed(CallBegan{});
  }

  void Step(std::uint32_t aNumber)
  {
    support::Chooser choose(aNumber);
    m_flow.SetRetryAllowed(!choose.OneIn(6));
    switch (choose.Below(8)) {
      case 0:
        if (m_wantsUpstream) {
          m_wantsUpstream = false;
          Feed(UpstreamGranted{
            "u" + std::to_string(choose.Below(3)), "address", Phase::Whole });
        }
        break;
      case 1:
        if (m_wantsUpstream && choose.OneIn(5)) {
          m_wantsUpstream = false;
          Feed(UpstreamDenied{ ProblemCode::Overloaded, Duration{ 500 } });
        }
        break;
      case 2:
        StepClaim(choose);
        break;
      case 3:
        if (choose.OneIn(20)) {
          Feed(DeadlinePassed{});
        }
        break;
      case 4:
        if (choose.OneIn(30)) {
          m_left = true;
          Feed(CallerLeft{});
        }
        break;
      default:
        StepAttempt(choose);
        break;
    }
  }

  const std::vector<std::string>& Faults() const { return m_faults; }
  int WholeAnswers() const { return m_whole; }

private:
  /** The true state of an attempt at its upstream. */
  struct Attempt
  {
    std::uint64_t m_next = 0; ///< Offset of the next token.
    bool m_over = false;
    bool m_ran = false;
  };

  void StepClaim(support::Chooser& aChoose)
  {
    if (m_claiming) {
      m_claiming = false;
      if (aChoose.OneIn(4)) {
        Feed(ClaimRefused{
          { ProblemCode::ClaimOpen, Outcome::MayHaveRun, {}, {} } });
      } else {
        Feed(ClaimWon{});
      }
      return;
    }
    if (m_closing) {
      const Outcome wanted = *m_closing;
      m_closing.reset();
      // If "not run" could not be stored, it must not be reported.
      const bool written = !aChoose.OneIn(3);
      Feed(ClaimClosed{ written ? wanted : Outcome::MayHaveRun });
    }
  }

  void StepAttempt(support::Chooser& aChoose)
  {
    if (m_attempts.empty()) {
      return;
    }
    const auto id =
      static_cast<AttemptId>(aChoose.Below(m_attempts.size()) + 1);
    Attempt& attempt = m_attempts[id - 1];
    const std::size_t what = aChoose.Below(10);
    if (what == 0 && !attempt.m_ran) {
      attempt.m_over = true;
      Feed(AttemptNotSent{ id });
    } else if (what == 1 && !attempt.m_ran) {
      attempt.m_over = true;
      Feed(AttemptRefused{ id });
    } else if (what == 2) {
      Ran(attempt);
      attempt.m_over = true;
      Feed(AttemptBroke{ id });
    } else {
      Progress(id, attempt, aChoose);
    }
  }

  void Progress(AttemptId aId, Attempt& aAttempt, support::Chooser& aChoose)
  {
    // Attempts that have ended take part too, so that answers come late or
    // twice.
    Ran(aAttempt);
    if (!m_traits.m_generation) {
      Feed(AnswerArrived{ aId, 200, "text/plain", "answer", {} });
      return;
    }
    if (aAttempt.m_next == 0) {
      Feed(StreamBegan{ aId, "stream" + std::to_string(aId) });
    }
    if (aAttempt.m_next < kTokens) {
      const std::uint64_t skip = aChoose.OneIn(10) ? 1 : 0;
      const std::uint64_t offset = aAttempt.m_next + skip;
      Feed(TokenArrived{ aId, offset, TokenText(offset) });
      aAttempt.m_next = offset + (aChoose.OneIn(8) ? 0 : 1);
      return;
    }
    Feed(StreamEnded{ aId, kTokens, "stop" });
  }

  void Ran(Attempt& aAttempt)
  {
    if (!aAttempt.m_ran && !aAttempt.m_over) {
      aAttempt.m_ran = true;
      ++m_runs;
      if (!m_traits.m_repeatable && m_runs > 1) {
        m_faults.emplace_back("a call that must not be repeated ran twice");
      }
    }
  }

  void Feed(const CallEvent& aEvent)
  {
    for (const CallAction& action : m_flow.Handle(aEvent)) {
      std::visit([&](const auto& aItem) { Seen(aItem); }, action);
    }
  }

  void Final()
  {
    if (++m_finals > 1) {
      m_faults.emplace_back("the caller got two final answers");
    }
  }

  void CheckText(const std::string& aText)
  {
    std::string expected;
    for (std::uint64_t i = 0; i < kTokens; ++i) {
      expected += TokenText(i);
    }
    if (aText != expected) {
      m_faults.push_back("the caller got the wrong output \"" + aText + "\"");
    }
    ++m_whole;
  }

  void Seen(const RequestClaim&) { m_claiming = true; }
  void Seen(const CloseClaim& aClose)
  {
    if (aClose.m_outcome != Outcome::Ran) {
      m_closing = aClose.m_outcome;
    }
  }
  void Seen(const RequestUpstream&)
  {
    if (!m_traits.m_repeatable && m_claiming) {
      m_faults.emplace_back("an upstream was chosen before the claim was won");
    }
    m_wantsUpstream = true;
  }
  void Seen(const SendAttempt& aSend)
  {
    m_attempts.push_back({ aSend.m_givenTokens, false, false });
    ++m_held;
  }
  void Seen(const ResumeAttempt& aResume)
  {
    // The engine still produces the stream, so this is not a new run.
    m_attempts.push_back({ aResume.m_offset, false, true });
  }
  void Seen(const CancelAttempt&) {}
  void Seen(const ReleaseUpstream&)
  {
    if (--m_held < 0) {
      m_faults.emplace_back("an upstream was released twice");
    }
  }
  void Seen(const StartStream&) {}
  void Seen(const ReplyToken& aToken) { m_text += aToken.m_text; }
  void Seen(const EndStream&)
  {
    Final();
    CheckText(m_text);
  }
  void Seen(const ReplyGeneration& aReply)
  {
    Final();
    CheckText(aReply.m_text);
  }
  void Seen(const ReplyAnswer& aReply)
  {
    Final();
    ++m_whole;
    if (aReply.m_body != "answer") {
      m_faults.emplace_back("the caller got an answer that no upstream sent");
    }
  }
  void Seen(const ReplyProblem& aProblem)
  {
    Final();
    if (aProblem.m_problem.m_outcome == Outcome::NotRun && m_runs > 0) {
      m_faults.emplace_back("\"not run\" was reported for a call that ran");
    }
  }

  CallTraits m_traits;
  CallFlow m_flow;
  /** All attempts. A deque, because references to its elements must stay valid
   * when an attempt is added. */
  std::deque<Attempt> m_attempts;
  bool m_wantsUpstream = false;
  bool m_claiming = false;
  std::optional<Outcome> m_closing;
  bool m_left = false;
  int m_runs = 0;
  int m_held = 0; ///< Upstreams granted and not yet released.
  int m_finals = 0;
  int m_whole = 0; ///< Complete answers that the caller got.
  std::string m_text;
  std::vector<std::string> m_faults;
};

struct FlowCase
{
  const char* m_name;
  CallTraits m_traits;
};

class CallFlowTest : public ::testing::TestWithParam<FlowCase>
{};

TEST_P(CallFlowTest, KeepsItsInvariantsInAnySchedule)
{
  int whole = 0;
  EXPECT_TRUE(rc::check("the invariants hold in any schedule", [&]() {
    constexpr std::size_t kSteps = 120;
    const auto schedule = *support::AnySchedule(kSteps);
    CallSimulation world(GetParam().m_traits);
    for (std::uint32_t number : schedule) {
      world.Step(number);
    }
    whole += world.WholeAnswers();
    RC_ASSERT(world.Faults() == std::vector<std::string>());
  }));
  EXPECT_GT(whole, 0)
    << "no schedule led to a complete answer, so the test checked too little";
}

INSTANTIATE_TEST_SUITE_P(
  Calls,
  CallFlowTest,
  ::testing::Values(FlowCase{ "Service", { false, false, true, 0 } },
                    FlowCase{ "ServiceOnce", { false, false, false, 0 } },
                    FlowCase{ "Generation", { true, false, true, 0 } },
                    FlowCase{ "Stream", { true, true, true, 0 } },
                    FlowCase{ "GenerationOnce", { true, false, false, 0 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

struct LateCase
{
  const char* m_name;
  CallEvent m_event; ///< An event of the first attempt, which was refused.
};

class LateEventTest : public ::testing::TestWithParam<LateCase>
{};

// A late or repeated event of an earlier attempt must not end the current
// attempt. Otherwise the call would be sent again while it runs.
TEST_P(LateEventTest, HasNoEffectOnTheCurrentAttempt)
{
  CallFlow flow({ false, false, false, 0 });
  flow.Handle(CallBegan{});
  flow.Handle(ClaimWon{});
  flow.Handle(UpstreamGranted{ "a", "address", Phase::Whole });
  flow.Handle(AttemptRefused{ 1 });
  flow.Handle(UpstreamGranted{ "b", "address", Phase::Whole });
  EXPECT_TRUE(flow.Handle(GetParam().m_event).empty());
  const auto actions =
    flow.Handle(AnswerArrived{ 2, 200, "text/plain", "answer", {} });
  EXPECT_TRUE(flow.IsDone());
  EXPECT_FALSE(actions.empty());
}

INSTANTIATE_TEST_SUITE_P(
  Events,
  LateEventTest,
  ::testing::Values(LateCase{ "NotSent", AttemptNotSent{ 1 } },
                    LateCase{ "Refused", AttemptRefused{ 1 } },
                    LateCase{ "Broke", AttemptBroke{ 1 } },
                    LateCase{ "Answer",
                              AnswerArrived{ 1, 200, "text/plain", "x", {} } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

struct ServiceAnswerCase
{
  const char* m_name;
  bool m_unframed;
  Outcome m_claim; ///< How the claim is closed.
};

class ServiceAnswerTest : public ::testing::TestWithParam<ServiceAnswerCase>
{};

// Guards against an answer that may have been cut and that looks whole, to its
// caller or to a later one with the same key.
TEST_P(ServiceAnswerTest, IsPassedOnWithNoMoreProofThanItHad)
{
  CallFlow flow({ false, false, false, 0 });
  flow.Handle(CallBegan{});
  flow.Handle(ClaimWon{});
  flow.Handle(UpstreamGranted{ "a", "address", Phase::Whole });
  const auto actions = flow.Handle(
    AnswerArrived{ 1, 200, "text/plain", "answer", {}, GetParam().m_unframed });
  EXPECT_TRUE(flow.IsDone());
  const auto& reply = std::get<ReplyAnswer>(actions.back());
  EXPECT_EQ(reply.m_unframed, GetParam().m_unframed);
  EXPECT_EQ(reply.m_body, "answer");
  const auto& claim = std::get<CloseClaim>(actions.at(actions.size() - 2));
  EXPECT_EQ(claim.m_outcome, GetParam().m_claim);
  EXPECT_EQ(claim.m_body, GetParam().m_unframed ? "" : "answer");
}

INSTANTIATE_TEST_SUITE_P(
  Framings,
  ServiceAnswerTest,
  ::testing::Values(ServiceAnswerCase{ "Framed", false, Outcome::Ran },
                    ServiceAnswerCase{ "Unframed", true, Outcome::MayHaveRun }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** The text of a stream position, and whether it is valid. */
struct PositionCase
{
  const char* m_text;
  bool m_valid;
};

class StreamPositionTest : public ::testing::TestWithParam<PositionCase>
{};

TEST_P(StreamPositionTest, DecodesOnlyValidPositions)
{
  const auto place = DecodeStreamPosition(GetParam().m_text);
  ASSERT_EQ(place.has_value(), GetParam().m_valid);
  if (place) {
    EXPECT_EQ(EncodeStreamPosition(*place), GetParam().m_text);
  }
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         StreamPositionTest,
                         ::testing::Values(PositionCase{ "e/s/0", true },
                                           PositionCase{ "e/s-1/42", true },
                                           PositionCase{ "", false },
                                           PositionCase{ "e", false },
                                           PositionCase{ "e/1", false },
                                           PositionCase{ "/s/1", false },
                                           PositionCase{ "e//1", false },
                                           PositionCase{ "e/s/", false },
                                           PositionCase{ "e/s/-1", false },
                                           PositionCase{ "e/s/1x", false }));

} // namespace
} // namespace ridgeferry::routing
