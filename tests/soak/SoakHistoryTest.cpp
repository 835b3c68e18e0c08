// Each rule of the soak's checker refuses a history that breaks it, and takes
// the same one with the excuse that the rule names.

#include "SoakHistory.h"

#include <functional>
#include <gtest/gtest.h>

namespace ridgeferry::soak {
namespace {

constexpr Instant kStart{ Duration{ 100'000 } };
constexpr const char* kCall = "c-1";

Instant
After(int aMs)
{
  return kStart + Duration{ aMs };
}

/** One call that was served by one run, in an otherwise empty history. */
SoakHistory
Served(CallKind aKind)
{
  SoakHistory out;
  SoakCall call;
  call.m_kind = aKind;
  call.m_instance = "i";
  call.m_sentAt = kStart;
  call.m_deadline = Duration{ 1000 };
  call.m_body = "body";
  call.m_end = CallEnd::Whole;
  call.m_endedAt = After(50);
  call.m_status = 200;
  const bool stream = aKind == CallKind::Resumable || aKind == CallKind::Stream;
  call.m_answer =
    stream ? RestOfStream(kCall, "v1") : PlainAnswer(kCall, "body");
  out.m_calls[kCall] = call;
  SoakRun run;
  run.m_call = kCall;
  run.m_upstream = "u";
  run.m_service = "s";
  run.m_body = "body";
  run.m_arrivedAt = After(5);
  run.m_ran = true;
  run.m_endedAt = After(45);
  out.m_runs.push_back(run);
  return out;
}

void
Disturb(SoakHistory& aHistory, std::string aWhere, int aFrom, int aTo)
{
  aHistory.m_disturbances.push_back(
    { std::move(aWhere), After(aFrom), After(aTo) });
}

/** Breaks the call off after its first event; another one has the rest, from
 * that version. */
void
TakeUp(SoakHistory& aHistory, std::string_view aVersion)
{
  SoakCall& first = aHistory.m_calls.at(kCall);
  SoakCall rest = first;
  first.m_end = CallEnd::Broken;
  first.m_answer = EventText(kCall, "v1", 1);
  rest.m_stream = kCall;
  rest.m_afterEvent = 1;
  rest.m_answer = RestOfStream(kCall, aVersion, 1);
  aHistory.m_calls["c-2"] = rest;
}

void
Repeat(SoakHistory& aHistory, int aTimes, int aAt)
{
  for (int i = 0; i < aTimes; ++i) {
    aHistory.m_runs.push_back(aHistory.m_runs[0]);
    aHistory.m_runs.back().m_arrivedAt = After(aAt);
  }
}

/** The engine "r" ran the call, too, where it was to read its prompt. */
void
RunForPrefill(SoakHistory& aHistory)
{
  Repeat(aHistory, 1, 20);
  SoakRun& run = aHistory.m_runs.back();
  run.m_upstream = "r";
  run.m_readOnly = true;
  run.m_endedAt = After(30);
}

struct HistoryCase
{
  const char* m_name;
  CallKind m_kind;
  bool m_isGood;
  std::function<void(SoakHistory&)> m_change;
};

class SoakHistoryTest : public ::testing::TestWithParam<HistoryCase>
{};

TEST_P(SoakHistoryTest, IsJudged)
{
  SoakHistory history = Served(GetParam().m_kind);
  GetParam().m_change(history);
  const auto wrong = CheckSoak(history, {});
  EXPECT_EQ(wrong.empty(), GetParam().m_isGood)
    << (wrong.empty() ? "nothing was found" : wrong[0]);
}

SoakCall&
Call(SoakHistory& aHistory)
{
  return aHistory.m_calls.at(kCall);
}

void
RefuseCall(SoakHistory& aHistory)
{
  Call(aHistory).m_status = 503;
  Call(aHistory).m_hasRetryAfter = true;
}

void
LeaveCall(SoakHistory& aHistory, int aRunEnds)
{
  Call(aHistory).m_end = CallEnd::Left;
  aHistory.m_runs[0].m_endedAt = After(aRunEnds);
}

void
LeaveUpstream(SoakHistory& aHistory, int aArrives)
{
  aHistory.m_leaving["u"] = kStart;
  Call(aHistory).m_sentAt = After(aArrives - 10);
  Call(aHistory).m_endedAt = After(aArrives + 10);
  aHistory.m_runs[0].m_arrivedAt = After(aArrives);
}

void
Probe(SoakHistory& aHistory, int aAt, bool aInForce)
{
  aHistory.m_configs = { { 4, kStart } };
  aHistory.m_probes.push_back(
    { "i", 1, 4, aInForce, After(aAt), After(aAt + 20) });
}

INSTANTIATE_TEST_SUITE_P(
  Histories,
  SoakHistoryTest,
  ::testing::Values(
    HistoryCase{ "Served", CallKind::Once, true, [](SoakHistory&) {} },
    HistoryCase{ "ServedStream", CallKind::Stream, true, [](SoakHistory&) {} },
    HistoryCase{ "RanTwice",
                 CallKind::Once,
                 false,
                 [](SoakHistory& aHistory) { Repeat(aHistory, 1, 20); } },
    HistoryCase{ "RanInPlaceOfAPrefillToo",
                 CallKind::Stream,
                 false,
                 [](SoakHistory& aHistory) { RunForPrefill(aHistory); } },
    // Its answer, which shows so, may be lost with the engine.
    HistoryCase{ "RanInPlaceOfAPrefillAtAnEngineInTrouble",
                 CallKind::Stream,
                 true,
                 [](SoakHistory& aHistory) {
                   RunForPrefill(aHistory);
                   aHistory.m_disturbances = { { "r", After(25), After(25) } };
                 } },
    HistoryCase{ "SafeRanTwice",
                 CallKind::Safe,
                 true,
                 [](SoakHistory& aHistory) { Repeat(aHistory, 1, 20); } },
    HistoryCase{
      "OthersMemory",
      CallKind::Safe,
      false,
      [](SoakHistory& aHistory) { aHistory.m_runs[0].m_wrongMemory = true; } },
    HistoryCase{ "RefusedAndRan", CallKind::Once, false, &RefuseCall },
    HistoryCase{ "RefusedAndDidNotRun",
                 CallKind::Once,
                 true,
                 [](SoakHistory& aHistory) {
                   RefuseCall(aHistory);
                   aHistory.m_runs[0].m_ran = false;
                 } },
    HistoryCase{ "RefusedWithoutATime",
                 CallKind::Once,
                 false,
                 [](SoakHistory& aHistory) {
                   RefuseCall(aHistory);
                   Call(aHistory).m_hasRetryAfter = false;
                   aHistory.m_runs.clear();
                 } },
    HistoryCase{ "OthersAnswer",
                 CallKind::Safe,
                 false,
                 [](SoakHistory& aHistory) {
                   Call(aHistory).m_answer = PlainAnswer("c-2", "body");
                 } },
    HistoryCase{ "EventLost",
                 CallKind::Resumable,
                 false,
                 [](SoakHistory& aHistory) {
                   Call(aHistory).m_answer = EventText(kCall, "v1", 1);
                 } },
    HistoryCase{ "TakenUp",
                 CallKind::Resumable,
                 true,
                 [](SoakHistory& aHistory) { TakeUp(aHistory, "v1"); } },
    HistoryCase{ "TakenUpAtAnotherVersion",
                 CallKind::Resumable,
                 false,
                 [](SoakHistory& aHistory) { TakeUp(aHistory, "v2"); } },
    HistoryCase{ "AnotherVersionInTheMiddle",
                 CallKind::Resumable,
                 false,
                 [](SoakHistory& aHistory) {
                   Call(aHistory).m_answer =
                     EventText(kCall, "v1", 1) + RestOfStream(kCall, "v2", 1);
                 } },
    HistoryCase{
      "TooLate",
      CallKind::Safe,
      false,
      [](SoakHistory& aHistory) { Call(aHistory).m_endedAt = After(1800); } },
    HistoryCase{ "TooLateAtAPausedInstance",
                 CallKind::Safe,
                 true,
                 [](SoakHistory& aHistory) {
                   Call(aHistory).m_endedAt = After(1800);
                   Disturb(aHistory, "i", 100, 200);
                 } },
    HistoryCase{
      "NeverEnded",
      CallKind::Safe,
      false,
      [](SoakHistory& aHistory) { Call(aHistory).m_end = CallEnd::Open; } },
    HistoryCase{
      "PassedOnAndCut",
      CallKind::Once,
      false,
      [](SoakHistory& aHistory) { Call(aHistory).m_end = CallEnd::Broken; } },
    HistoryCase{ "PassedOnAndCutByAKill",
                 CallKind::Once,
                 true,
                 [](SoakHistory& aHistory) {
                   Call(aHistory).m_end = CallEnd::Broken;
                   Disturb(aHistory, "i", 20, 60);
                 } },
    HistoryCase{ "CutUnread",
                 CallKind::Once,
                 true,
                 [](SoakHistory& aHistory) {
                   Call(aHistory).m_end = CallEnd::Broken;
                   aHistory.m_runs.clear();
                 } },
    HistoryCase{ "StillAtWork",
                 CallKind::Safe,
                 false,
                 [](SoakHistory& aHistory) { LeaveCall(aHistory, 1300); } },
    HistoryCase{ "StillAtWorkBehindACut",
                 CallKind::Safe,
                 true,
                 [](SoakHistory& aHistory) {
                   LeaveCall(aHistory, 1300);
                   Disturb(aHistory, "u", 20, 800);
                 } },
    HistoryCase{
      "Unasked",
      CallKind::Safe,
      false,
      [](SoakHistory& aHistory) { aHistory.m_runs[0].m_call = "c-2"; } },
    HistoryCase{
      "Changed",
      CallKind::Safe,
      false,
      [](SoakHistory& aHistory) { aHistory.m_runs[0].m_body = "bodyX"; } },
    HistoryCase{ "SentToWhoLeft",
                 CallKind::Safe,
                 false,
                 [](SoakHistory& aHistory) { LeaveUpstream(aHistory, 4000); } },
    HistoryCase{ "SentSoonToWhoLeft",
                 CallKind::Safe,
                 true,
                 [](SoakHistory& aHistory) { LeaveUpstream(aHistory, 1900); } },
    HistoryCase{ "SentToWhoLeftWhileTheStoreWasAway",
                 CallKind::Safe,
                 true,
                 [](SoakHistory& aHistory) {
                   LeaveUpstream(aHistory, 4000);
                   Disturb(aHistory, "store", 500, 2000);
                 } },
    HistoryCase{ "ConfigLate",
                 CallKind::Safe,
                 false,
                 [](SoakHistory& aHistory) { Probe(aHistory, 3000, false); } },
    HistoryCase{ "ConfigLateBehindACut",
                 CallKind::Safe,
                 true,
                 [](SoakHistory& aHistory) {
                   Probe(aHistory, 3000, false);
                   Disturb(aHistory, "store/i", 100, 900);
                 } },
    HistoryCase{ "ConfigReverted",
                 CallKind::Safe,
                 false,
                 [](SoakHistory& aHistory) {
                   Probe(aHistory, 1000, true);
                   Probe(aHistory, 1100, false);
                 } },
    HistoryCase{ "ConfigProbeOvertaken",
                 CallKind::Safe,
                 true,
                 [](SoakHistory& aHistory) {
                   Probe(aHistory, 1000, true);
                   Probe(aHistory, 1100, false);
                   aHistory.m_configs.push_back({ 5, After(1110) });
                 } },
    HistoryCase{ "ConfigRevertedBeforeTheNext",
                 CallKind::Safe,
                 false,
                 [](SoakHistory& aHistory) {
                   Probe(aHistory, 1000, true);
                   Probe(aHistory, 1100, false);
                   aHistory.m_configs.push_back({ 5, After(1130) });
                 } },
    HistoryCase{ "ManyRepeats",
                 CallKind::Safe,
                 false,
                 [](SoakHistory& aHistory) { Repeat(aHistory, 21, 500); } },
    HistoryCase{ "ManyRepeatsFarApart",
                 CallKind::Safe,
                 true,
                 [](SoakHistory& aHistory) {
                   Repeat(aHistory, 15, 500);
                   Repeat(aHistory, 15, 20'000);
                 } },
    HistoryCase{ "Crashed",
                 CallKind::Safe,
                 false,
                 [](SoakHistory& aHistory) {
                   aHistory.m_crashes.emplace_back("i: code 1");
                 } },
    HistoryCase{ "NotRecovered",
                 CallKind::Safe,
                 false,
                 [](SoakHistory& aHistory) {
                   aHistory.m_lastSent = 40;
                   aHistory.m_lastServed = 30;
                 } }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace ridgeferry::soak
