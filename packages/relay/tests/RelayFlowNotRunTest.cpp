// What a caller is told where an attempt leaves open, or settles, whether its
// call has run.

#include <gtest/gtest.h>
#include <ostream>
#include <ridgeferry/relay/RelayFlow.h>

namespace ridgeferry::relay {
namespace {

constexpr RelayTraits kOnce{ Repeat::Never, true, false, 1 };
constexpr RelayTraits kResumable{ Repeat::Freely, true, true, 2 };
constexpr RelayTraits kPlain{ Repeat::Never, false, false, 1 };

struct FlowCase
{
  const char* m_name;
  RelayTraits m_traits;
  bool m_isPrefilled; ///< The prompt is read apart from the run.
  std::vector<RelayEvent> m_events;
  /** What the caller is told; std::nullopt if nothing yet, or what the other
   * instance says. */
  std::optional<ReplyError::Reason> m_reply;
  bool m_isDone = true;
};

std::ostream&
operator<<(std::ostream& aOut, const FlowCase& aCase)
{
  return aOut << aCase.m_name;
}

class RelayFlowNotRunTest : public ::testing::TestWithParam<FlowCase>
{};

// Guards against a "not run" of a call that may have run, and against a "may
// have run" of one of which nothing has left.
TEST_P(RelayFlowNotRunTest, SaysWhatIsKnown)
{
  const FlowCase& given = GetParam();
  RelayFlow flow(given.m_traits);
  flow.SetFreePermits(4);
  flow.Handle(CallBegan{});
  flow.Handle(PlaceFound{ "u", given.m_isPrefilled ? "p" : "" });
  std::optional<ReplyError::Reason> reply;
  for (const RelayEvent& event : given.m_events) {
    for (const RelayAction& action : flow.Handle(event)) {
      if (const auto* error = std::get_if<ReplyError>(&action)) {
        reply = error->m_reason;
      }
    }
  }
  EXPECT_EQ(reply, given.m_reply);
  EXPECT_EQ(flow.IsDone(), given.m_isDone);
}

using Reason = ReplyError::Reason;

INSTANTIATE_TEST_SUITE_P(
  Ends,
  RelayFlowNotRunTest,
  ::testing::Values(
    FlowCase{ "APrefillThatRan",
              kOnce,
              true,
              { PrefillRan{ 1 } },
              Reason::NoAnswer },
    FlowCase{ "APrefillThatRanAStreamThatGoesOn",
              kResumable,
              true,
              { PrefillRan{ 1 } },
              std::nullopt,
              false },
    FlowCase{ "APrefillThatRanAndThenNoRoom",
              kResumable,
              true,
              { PrefillRan{ 1 }, AttemptRefused{ 2 }, NoPlace{} },
              Reason::NoAnswer },
    FlowCase{ "APrefillThatWasLostAndThenNoRoom",
              kOnce,
              true,
              { AttemptBroke{ 1 }, AttemptRefused{ 2 }, NoPlace{} },
              Reason::NoRoom },
    FlowCase{ "ARefusalThatNamesTheAttempt",
              kPlain,
              false,
              { HeadArrived{ 1, 503, true }, AnswerEnded{ 1 } },
              std::nullopt },
    FlowCase{ "ARefusalThatDoesNot",
              kPlain,
              false,
              { HeadArrived{ 1, 503, false }, AnswerEnded{ 1 } },
              Reason::NoAnswer },
    FlowCase{ "TheDeadlineOfARun",
              kPlain,
              false,
              { DeadlinePassed{ true } },
              Reason::TooLate },
    FlowCase{ "TheDeadlineBeforeAConnection",
              kPlain,
              false,
              { DeadlinePassed{ false } },
              Reason::NoRoom },
    FlowCase{
      "TheDeadlineBeforeASecondConnection",
      { Repeat::Freely, false, false, 2 },
      false,
      { AttemptBroke{ 1 }, PlaceFound{ "u2", "" }, DeadlinePassed{ false } },
      Reason::TooLate },
    FlowCase{ "TheDeadlineOfAPrefill",
              kOnce,
              true,
              { DeadlinePassed{ true } },
              Reason::NoRoom }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
