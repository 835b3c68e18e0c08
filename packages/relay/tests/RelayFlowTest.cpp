#include <gtest/gtest.h>
#include <ridgeferry/base/Overloaded.h>
#include <ridgeferry/relay/RelayFlow.h>

namespace ridgeferry::relay {
namespace {

/** Returns a short text for an action, so that the expected actions of a case
 * fit in one string. `!` marks a send that counts against the retry budget, `+`
 * a KV cache handle, and `>` the event after which a stream resumes. */
std::string
ActionText(const RelayAction& aAction)
{
  return std::visit(
    Overloaded{
      [](const FindPlace&) { return std::string("find"); },
      [](const SendPrefill& aSend) {
        return "read@" + aSend.m_prefillEngine + (aSend.m_repeat ? "!" : "");
      },
      [](const SendRun& aSend) {
        return "run@" + aSend.m_upstream +
               (aSend.m_handle.empty() ? "" : "+" + aSend.m_handle) +
               (aSend.m_resumeAfter.empty() ? "" : ">" + aSend.m_resumeAfter) +
               (aSend.m_repeat ? "!" : "");
      },
      [](const CancelAttempt&) { return std::string("cancel"); },
      [](const NoteAttemptEnd& aNote) {
        static constexpr const char* kEnds[] = {
          "served", "failed", "declined", "displaced", "abandoned"
        };
        return std::string(kEnds[static_cast<std::size_t>(aNote.m_end)]);
      },
      [](const FreeHandle& aFree) { return "free+" + aFree.m_handle; },
      [](const ForwardHead& aHead) {
        return std::string(aHead.m_unframed ? "open-head" : "head");
      },
      [](const ForwardBytes& aBytes) {
        return "bytes" + std::to_string(aBytes.m_bytes.size());
      },
      [](const ForwardEnd&) { return std::string("end"); },
      [](const ForwardCompleteAnswer& aWhole) {
        return (aWhole.m_unframed ? "open:" : "whole:") + aWhole.m_body;
      },
      [](const AbortConnection&) { return std::string("break"); },
      [](const ReplyError& aReply) {
        static constexpr const char* kReasons[] = {
          "no-room",      "too-large", "quarantined",
          "version-gone", "no-answer", "too-late"
        };
        return std::string(kReasons[static_cast<std::size_t>(aReply.m_reason)]);
      },
    },
    aAction);
}

constexpr RelayTraits kUnsafe{ Repeat::Never, false, false, 1 };
constexpr RelayTraits kSafe{ Repeat::Freely, false, false, 2 };
constexpr RelayTraits kStream{ Repeat::Never, true, false, 1 };
constexpr RelayTraits kResumableOnce{ Repeat::Never, true, true, 1 };
constexpr RelayTraits kResumable{ Repeat::Never, true, true, 2 };

struct FlowCase
{
  const char* m_name;
  RelayTraits m_traits;
  std::vector<RelayEvent> m_events; ///< Events that follow `CallBegan`.
  /** All actions, including those for `CallBegan`. */
  const char* m_expectedActions;
  bool m_repeatAllowed = true;
  int m_permits = 2; ///< Free before each event, if it may be repeated.
};

class RelayFlowTest : public ::testing::TestWithParam<FlowCase>
{};

TEST_P(RelayFlowTest, EmitsTheExpectedActions)
{
  RelayFlow flow(GetParam().m_traits);
  std::string story;
  const auto take = [&](const RelayEvent& aEvent) {
    flow.SetFreePermits(GetParam().m_repeatAllowed ? GetParam().m_permits : 0);
    for (const RelayAction& action : flow.Handle(aEvent)) {
      story += (story.empty() ? "" : " ") + ActionText(action);
    }
  };
  take(CallBegan{});
  for (const RelayEvent& event : GetParam().m_events) {
    take(event);
  }
  EXPECT_EQ(story, GetParam().m_expectedActions);
}

const std::string kEvent1 =
  "id: 1\ndata: a\n\n"; // 15 bytes, so the text is `bytes15`.
const std::string kEvent2 = "id: 2\ndata: b\n\n";

INSTANTIATE_TEST_SUITE_P(
  Whole,
  RelayFlowTest,
  ::testing::Values(
    FlowCase{ "Served",
              kUnsafe,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, "ab" },
                BytesArrived{ 1, "c" },
                AnswerEnded{ 1 } },
              "find run@u served whole:abc" },
    FlowCase{ "WithheldIsNoSend",
              kUnsafe,
              { PlaceFound{ "u", "" },
                AttemptWithheld{ 1 },
                PlaceFound{ "v", "" },
                HeadArrived{ 2, 200 },
                AnswerEnded{ 2 } },
              "find run@u find run@v served whole:" },
    FlowCase{ "WithheldBehindAPrefill",
              kUnsafe,
              { PlaceFound{ "u", "r" },
                PrefillCompleted{ 1, "h" },
                AttemptWithheld{ 2 },
                PlaceFound{ "v", "" },
                HeadArrived{ 3, 200 },
                AnswerEnded{ 3 } },
              "find read@r served run@u+h free+h find run@v served whole:" },
    FlowCase{
      "WithheldPrefill",
      kUnsafe,
      { PlaceFound{ "u", "r" }, AttemptWithheld{ 1 }, PlaceFound{ "u", "q" } },
      "find read@r find read@q" },
    FlowCase{ "WithheldWhereAStreamBrokeIsNoCrash",
              kResumableOnce,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 },
                AttemptWithheld{ 2 } },
              "find run@u head bytes15 failed run@u>1! break" },
    FlowCase{ "WithheldWithoutEnd",
              kUnsafe,
              { PlaceFound{ "u", "" },
                AttemptWithheld{ 1 },
                PlaceFound{ "v", "" },
                AttemptWithheld{ 2 },
                PlaceFound{ "w", "" },
                AttemptWithheld{ 3 },
                PlaceFound{ "x", "" },
                AttemptWithheld{ 4 },
                PlaceFound{ "y", "" },
                AttemptWithheld{ 5 },
                NoPlace{} },
              "find run@u find run@v find run@w find run@x find run@y find "
              "no-room" },
    FlowCase{ "TooLargeForItsTime",
              kUnsafe,
              { NoPlace{ {}, NoPlace::Cause::TooLarge } },
              "find too-large" },
    FlowCase{ "Quarantined",
              kUnsafe,
              { NoPlace{ {}, NoPlace::Cause::Quarantined } },
              "find quarantined" },
    FlowCase{ "ItsVersionIsGone",
              kResumable,
              { NoPlace{ {}, NoPlace::Cause::VersionGone } },
              "find version-gone" },
    FlowCase{ "ItsVersionIsGoneInTheMiddle",
              kResumable,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, "id: 1\n\n" },
                AttemptBroke{ 1 },
                NoPlace{ {}, NoPlace::Cause::VersionGone } },
              "find run@u head bytes7 failed find break" },
    FlowCase{ "NoPlaceIsNotRun",
              kUnsafe,
              { NoPlace{ Duration{ 50 } } },
              "find no-room" },
    FlowCase{ "UnsentIsSentElsewhere",
              kUnsafe,
              { PlaceFound{ "u", "" },
                AttemptNotSent{ 1 },
                PlaceFound{ "v", "" },
                HeadArrived{ 2, 200 },
                AnswerEnded{ 2 } },
              "find run@u failed find run@v served whole:" },
    FlowCase{ "RefusedIsSentElsewhereAndCounts",
              kUnsafe,
              { PlaceFound{ "u", "" },
                AttemptRefused{ 1 },
                PlaceFound{ "v", "" },
                HeadArrived{ 2, 200 },
                AnswerEnded{ 2 } },
              "find run@u declined find run@v! served whole:" },
    FlowCase{ "DisplacedIsSentElsewhereAndCounts",
              kUnsafe,
              { PlaceFound{ "u", "" },
                AttemptRefused{ 1, true },
                PlaceFound{ "v", "" },
                HeadArrived{ 2, 200 },
                AnswerEnded{ 2 } },
              "find run@u displaced find run@v! served whole:" },
    FlowCase{ "ASecondReadingCountsToo",
              kUnsafe,
              { PlaceFound{ "u", "r" },
                PrefillCompleted{ 1, "h1" },
                AttemptRefused{ 2 },
                PlaceFound{ "v", "s" },
                PrefillCompleted{ 3, "h2" },
                HeadArrived{ 4, 200 },
                AnswerEnded{ 4 } },
              "find read@r served run@u+h1 declined find read@s! served "
              "run@v+h2! served whole:" },
    FlowCase{ "RefusedWithoutBudget",
              kUnsafe,
              { PlaceFound{ "u", "" }, AttemptRefused{ 1 } },
              "find run@u declined no-room",
              false },
    FlowCase{ "BrokenMayHaveRun",
              kUnsafe,
              { PlaceFound{ "u", "" }, AttemptBroke{ 1 } },
              "find run@u failed no-answer" },
    FlowCase{ "BrokenIsRepeatedIfSafe",
              kSafe,
              { PlaceFound{ "u", "" },
                AttemptBroke{ 1 },
                PlaceFound{ "v", "" },
                AttemptBroke{ 2 } },
              "find run@u failed find run@v! failed no-answer" },
    FlowCase{ "AnErrorIsPassedOnIfUnsafe",
              kUnsafe,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 500 },
                BytesArrived{ 1, "no" },
                AnswerEnded{ 1 } },
              "find run@u served whole:no" },
    FlowCase{ "AnErrorIsRepeatedIfSafeAndTheLastIsPassedOn",
              kSafe,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 500 },
                AnswerEnded{ 1 },
                PlaceFound{ "v", "" },
                HeadArrived{ 2, 500 },
                BytesArrived{ 2, "no" },
                AnswerEnded{ 2 } },
              "find run@u failed find run@v! served whole:no" },
    FlowCase{
      "AStatusThatPromisesTooMuchIsConcealed",
      kUnsafe,
      { PlaceFound{ "u", "" }, HeadArrived{ 1, 503 }, AnswerEnded{ 1 } },
      "find run@u failed no-answer" },
    FlowCase{ "LateWhileItRuns",
              kUnsafe,
              { PlaceFound{ "u", "" }, DeadlinePassed{} },
              "find run@u cancel abandoned too-late" },
    FlowCase{ "LateBeforeItRan",
              kUnsafe,
              { DeadlinePassed{} },
              "find no-room" },
    FlowCase{ "TheCallerLeaves",
              kUnsafe,
              { PlaceFound{ "u", "" }, CallerLeft{}, AnswerEnded{ 1 } },
              "find run@u cancel abandoned" },
    FlowCase{ "WordsOfAnEarlierAttemptCountNoMore",
              kSafe,
              { PlaceFound{ "u", "" },
                AttemptBroke{ 1 },
                PlaceFound{ "v", "" },
                HeadArrived{ 1, 200 },
                AnswerEnded{ 1 },
                HeadArrived{ 2, 200 },
                AnswerEnded{ 2 } },
              "find run@u failed find run@v! served whole:" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

INSTANTIATE_TEST_SUITE_P(
  Streams,
  RelayFlowTest,
  ::testing::Values(
    FlowCase{ "EventByEvent",
              kStream,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 + "id" },
                BytesArrived{ 1, ": 2\ndata: b\n\n" },
                AnswerEnded{ 1 } },
              "find run@u head bytes15 bytes15 served end" },
    FlowCase{ "BrokenBeforeItsHead",
              kStream,
              { PlaceFound{ "u", "" }, AttemptBroke{ 1 } },
              "find run@u failed no-answer" },
    FlowCase{ "BrokenInTheMiddleIsBrokenOff",
              kStream,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 } },
              "find run@u head bytes15 failed break" },
    FlowCase{ "GoesOnElsewhereAfterTheLastWholeEvent",
              kResumable,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 + "id: 2" },
                AttemptBroke{ 1 },
                PlaceFound{ "v", "" },
                HeadArrived{ 2, 200 },
                BytesArrived{ 2, kEvent2 },
                AnswerEnded{ 2 } },
              "find run@u head bytes15 failed find run@v>1! bytes15 served "
              "end" },
    FlowCase{ "AFailureInPlaceOfTheRestIsBrokenOff",
              kResumable,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 },
                PlaceFound{ "v", "" },
                HeadArrived{ 2, 500 },
                AnswerEnded{ 2 } },
              "find run@u head bytes15 failed find run@v>1! failed break" },
    FlowCase{ "OneRunAllowedAndTheEngineHasEnded",
              kResumableOnce,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 },
                AttemptNotSent{ 2, true },
                PlaceFound{ "v", "" },
                HeadArrived{ 3, 200 },
                BytesArrived{ 3, kEvent2 },
                AnswerEnded{ 3 } },
              "find run@u head bytes15 failed run@u>1! failed find run@v>1! "
              "bytes15 served end" },
    // Guards against a stream that runs at more upstreams than it may, as a
    // connection that is slow to come is taken for a crash.
    FlowCase{ "OneRunAllowedAndTheEngineIsSlowToTakeAConnection",
              kResumableOnce,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 },
                AttemptNotSent{ 2 },
                HeadArrived{ 3, 200 },
                BytesArrived{ 3, kEvent2 },
                AnswerEnded{ 3 } },
              "find run@u head bytes15 failed run@u>1! failed run@u>1! bytes15 "
              "served end" },
    FlowCase{ "OneRunAllowedAndTheEngineTakesNoConnection",
              kResumableOnce,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 },
                AttemptNotSent{ 2 },
                AttemptNotSent{ 3 },
                AttemptNotSent{ 4 } },
              "find run@u head bytes15 failed run@u>1! failed run@u>1! failed "
              "run@u>1! failed break" },
    FlowCase{ "OneRunAllowedAndTheEngineEndsMeanwhile",
              kResumableOnce,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 },
                AttemptNotSent{ 2 },
                AttemptNotSent{ 3, true },
                PlaceFound{ "v", "" } },
              "find run@u head bytes15 failed run@u>1! failed run@u>1! failed "
              "find run@v>1!" },
    FlowCase{ "OneRunAllowedAndTheEngineGoesOn",
              kResumableOnce,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 },
                HeadArrived{ 2, 200 },
                BytesArrived{ 2, kEvent2 },
                AnswerEnded{ 2 } },
              "find run@u head bytes15 failed run@u>1! bytes15 served end" },
    FlowCase{ "OneRunAllowedAndTheEngineLivesButHasNoRoom",
              kResumableOnce,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 },
                AttemptRefused{ 2 } },
              "find run@u head bytes15 failed run@u>1! declined break" },
    FlowCase{ "OneRunAllowedAndTheEngineBreaksAgain",
              kResumableOnce,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 },
                AttemptBroke{ 2 } },
              "find run@u head bytes15 failed run@u>1! failed break" },
    FlowCase{ "LateInTheMiddle",
              kStream,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                DeadlinePassed{} },
              "find run@u head bytes15 cancel abandoned break" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

INSTANTIATE_TEST_SUITE_P(
  DisaggregatedPrefill,
  RelayFlowTest,
  ::testing::Values(
    FlowCase{ "ReadThenRun",
              kStream,
              { PlaceFound{ "u", "r" },
                PrefillCompleted{ 1, "h" },
                HeadArrived{ 2, 200 },
                BytesArrived{ 2, kEvent1 },
                AnswerEnded{ 2 } },
              "find read@r served run@u+h head bytes15 served end" },
    FlowCase{ "TheReaderBreaks",
              kStream,
              { PlaceFound{ "u", "r" }, AttemptBroke{ 1 } },
              "find read@r failed run@u!" },
    FlowCase{ "TheReaderBreaksWithoutAPermit",
              kStream,
              { PlaceFound{ "u", "r" }, AttemptBroke{ 1 } },
              "find read@r failed no-room",
              false },
    FlowCase{ "TheReaderIsOutOfReach",
              kStream,
              { PlaceFound{ "u", "r" }, AttemptNotSent{ 1 } },
              "find read@r failed run@u" },
    FlowCase{ "TheReaderNamesNoHandle",
              kStream,
              { PlaceFound{ "u", "r" }, AnswerEnded{ 1 } },
              "find read@r failed run@u" },
    FlowCase{
      "TheReaderDeclines",
      kStream,
      { PlaceFound{ "u", "r" }, AttemptRefused{ 1 }, PlaceFound{ "v", "" } },
      "find read@r declined find run@v!" },
    FlowCase{ "TheHandleIsGone",
              kStream,
              { PlaceFound{ "u", "r" },
                PrefillCompleted{ 1, "h" },
                AttemptRefused{ 2 },
                PlaceFound{ "v", "" } },
              "find read@r served run@u+h declined find run@v!" },
    FlowCase{
      "TheCallerLeavesBeforeItIsTaken",
      kStream,
      { PlaceFound{ "u", "r" }, PrefillCompleted{ 1, "h" }, CallerLeft{} },
      "find read@r served run@u+h cancel abandoned free+h" },
    FlowCase{ "TheCallerLeavesWhileItIsRead",
              kStream,
              { PlaceFound{ "u", "r" }, CallerLeft{} },
              "find read@r cancel abandoned" },
    FlowCase{ "ARefusalOfAnInstanceIsTrue",
              kUnsafe,
              { PlaceFound{ "i", "" },
                HeadArrived{ 1, 503, true },
                BytesArrived{ 1, "not run" },
                AnswerEnded{ 1 } },
              "find run@i served whole:not run" },
    FlowCase{ "ARefusalOfAnInstanceBehindARunIsNot",
              kSafe,
              { PlaceFound{ "u", "" },
                AttemptBroke{ 1 },
                PlaceFound{ "i", "" },
                HeadArrived{ 2, 503, true },
                BytesArrived{ 2, "not run" },
                AnswerEnded{ 2 } },
              "find run@u failed find run@i! failed no-answer" },
    FlowCase{ "AnInstanceThatDeclinesIsFollowedByAnother",
              kUnsafe,
              { PlaceFound{ "i", "" },
                AttemptRefused{ 1 },
                PlaceFound{ "j", "" },
                HeadArrived{ 2, 200, true },
                AnswerEnded{ 2 } },
              "find run@i declined find run@j! served whole:" },
    FlowCase{ "ALostInstanceMayHaveRunTheCall",
              kUnsafe,
              { PlaceFound{ "i", "" }, AttemptBroke{ 1 } },
              "find run@i failed no-answer" },
    FlowCase{ "LateWhileItIsReadHasNotRun",
              kStream,
              { PlaceFound{ "u", "r" }, DeadlinePassed{} },
              "find read@r cancel abandoned no-room" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

HeadArrived
Unframed(AttemptId aAttempt, int aStatus)
{
  return { aAttempt, aStatus, false, true };
}

// Guards against a frame, made here, that claims more of an answer than its
// upstream showed.
INSTANTIATE_TEST_SUITE_P(
  Unframed,
  RelayFlowTest,
  ::testing::Values(
    FlowCase{ "ABodyGoesOnUnframed",
              kUnsafe,
              { PlaceFound{ "u", "" },
                Unframed(1, 200),
                BytesArrived{ 1, "abc" },
                ConnectionClosed{ 1 } },
              "find run@u served open:abc" },
    FlowCase{ "AStreamBetweenEventsGoesOnUnframed",
              kStream,
              { PlaceFound{ "u", "" },
                Unframed(1, 200),
                BytesArrived{ 1, kEvent1 },
                ConnectionClosed{ 1 } },
              "find run@u open-head bytes15 served end" },
    FlowCase{ "InsideAnEventIsBrokenOff",
              kStream,
              { PlaceFound{ "u", "" },
                Unframed(1, 200),
                BytesArrived{ 1, kEvent1 + "id: 2" },
                ConnectionClosed{ 1 } },
              "find run@u open-head bytes15 failed break" },
    FlowCase{
      "BeforeTheFirstEventIsBrokenOff",
      kStream,
      { PlaceFound{ "u", "" }, Unframed(1, 200), ConnectionClosed{ 1 } },
      "find run@u open-head failed break" },
    FlowCase{ "InsideAnEventGoesOnElsewhere",
              kResumable,
              { PlaceFound{ "u", "" },
                Unframed(1, 200),
                BytesArrived{ 1, kEvent1 + "id: 2" },
                ConnectionClosed{ 1 },
                PlaceFound{ "v", "" },
                HeadArrived{ 2, 200 },
                BytesArrived{ 2, kEvent2 },
                AnswerEnded{ 2 } },
              "find run@u open-head bytes15 failed find run@v>1! bytes15 "
              "served end" },
    FlowCase{ "AFramedHeadMustNotEndWithoutProof",
              kResumable,
              { PlaceFound{ "u", "" },
                HeadArrived{ 1, 200 },
                BytesArrived{ 1, kEvent1 },
                AttemptBroke{ 1 },
                PlaceFound{ "v", "" },
                Unframed(2, 200),
                BytesArrived{ 2, kEvent2 },
                ConnectionClosed{ 2 } },
              "find run@u head bytes15 failed find run@v>1! bytes15 served "
              "break" },
    FlowCase{ "AFailureIsRetriedAllTheSame",
              kSafe,
              { PlaceFound{ "u", "" },
                Unframed(1, 500),
                ConnectionClosed{ 1 },
                PlaceFound{ "v", "" },
                HeadArrived{ 2, 200 },
                AnswerEnded{ 2 } },
              "find run@u failed find run@v! served whole:" },
    FlowCase{ "APrefillAnswerWithoutAHandleIsNone",
              kStream,
              { PlaceFound{ "u", "r" }, ConnectionClosed{ 1 } },
              "find read@r failed run@u" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** What is left of the permits when a second prefill engine is found behind a
 * run that broke, and what is sent then. */
struct SecondPrefillCase
{
  const char* m_name;
  int m_free;
  const char* m_expectedSend;
  int m_held; ///< Permits that are held behind it.
};

class SecondPrefillTest : public ::testing::TestWithParam<SecondPrefillCase>
{};

// Guards against one permission that pays for a second prefill and for a second
// run.
TEST_P(SecondPrefillTest, NeedsAPermitBesideThatOfTheRun)
{
  RelayFlow flow(kResumable);
  flow.Handle(CallBegan{});
  flow.Handle(PlaceFound{ "u", "r" });
  flow.Handle(PrefillCompleted{ 1, "h" });
  flow.SetFreePermits(1);
  flow.Handle(AttemptBroke{ 2 });
  EXPECT_EQ(flow.Permits(), 1);
  flow.SetFreePermits(GetParam().m_free);
  const auto actions = flow.Handle(PlaceFound{ "v", "s" });
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(ActionText(actions.front()), GetParam().m_expectedSend);
  EXPECT_EQ(flow.Permits(), GetParam().m_held);
  flow.Handle(CallerLeft{});
  EXPECT_EQ(flow.Permits(), 0);
}

INSTANTIATE_TEST_SUITE_P(
  Permits,
  SecondPrefillTest,
  ::testing::Values(SecondPrefillCase{ "One", 1, "read@s!", 1 },
                    SecondPrefillCase{ "None", 0, "run@v!", 0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Guards against callers that are told to come back before any upstream takes
// calls again.
TEST(RelayFlowRefusalTest, WithoutAnotherSendTheTimeOfTheUpstreamsIsTold)
{
  for (const auto& [roomIn, expected] :
       { std::pair{ std::optional(Duration{ 2500 }), Duration{ 2500 } },
         std::pair{ std::optional<Duration>(), RelayFlow::kRetryAfter } }) {
    RelayFlow flow(kUnsafe);
    flow.Handle(CallBegan{});
    flow.Handle(PlaceFound{ "u", "" });
    flow.SetFreePermits(0);
    const auto actions = flow.Handle(AttemptRefused{ 1, false, roomIn });
    ASSERT_FALSE(actions.empty());
    const auto* reply = std::get_if<ReplyError>(&actions.back());
    ASSERT_NE(reply, nullptr);
    EXPECT_EQ(reply->m_retryAfter, expected);
  }
}

const std::string kLongEvent(RelayFlow::kMaxEventBytes + 1, 'a');
const std::string kLongRefusal(RelayFlow::kMaxDroppedBytes + 1, 'a');

INSTANTIATE_TEST_SUITE_P(
  WithoutEnd,
  RelayFlowTest,
  ::testing::Values(FlowCase{ "EventOfAStreamThatMayNotGoOn",
                              kStream,
                              { PlaceFound{ "a", "" },
                                HeadArrived{ 1, 200 },
                                BytesArrived{ 1, kEvent1 + kLongEvent } },
                              "find run@a head bytes15 cancel failed break" },
                    FlowCase{
                      "EventOfAStreamThatMayGoOn",
                      kResumable,
                      { PlaceFound{ "a", "" },
                        HeadArrived{ 1, 200 },
                        BytesArrived{ 1, kEvent1 + kLongEvent },
                        PlaceFound{ "b", "" } },
                      "find run@a head bytes15 cancel failed find run@b>1!" },
                    FlowCase{ "FailureThatMayBeRepeated",
                              kSafe,
                              { PlaceFound{ "a", "" },
                                HeadArrived{ 1, 500 },
                                BytesArrived{ 1, kLongRefusal },
                                PlaceFound{ "b", "" } },
                              "find run@a cancel failed find run@b!" },
                    FlowCase{ "RefusalThatMayHaveRun",
                              kUnsafe,
                              { PlaceFound{ "a", "" },
                                HeadArrived{ 1, 503 },
                                BytesArrived{ 1, kLongRefusal } },
                              "find run@a cancel failed no-answer" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace ridgeferry::relay
