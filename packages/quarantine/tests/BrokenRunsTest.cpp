#include <functional>
#include <gtest/gtest.h>
#include <ridgeferry/quarantine/BrokenRuns.h>

namespace ridgeferry::quarantine {
namespace {

constexpr CallDigest kCall{ 1, 1 };
constexpr CallDigest kOther{ 2, 2 };
const UpstreamIncarnation kIncarnation{ "i-1", 100 };
const UpstreamIncarnation kLater{ "i-1", 200 };
const UpstreamIncarnation kElsewhere{ "i-2", 100 };

Instant
At(int aMs)
{
  return Instant(Duration(aMs));
}

void
NoteBroken(BrokenRuns& aRuns,
           const CallDigest& aCall,
           const UpstreamIncarnation& aUpstream,
           Instant aNow)
{
  const NamedSuspect named{ aCall };
  aRuns.NoteBroken({ &named, 1 }, aUpstream, aNow);
}

struct EndCase
{
  std::function<void(BrokenRuns&)> m_before;
  UpstreamIncarnation m_ended;
  std::vector<Suspect> m_accused;
  const char* m_name;
};

class BrokenRunsTest : public ::testing::TestWithParam<EndCase>
{};

TEST_P(BrokenRunsTest, ACrashCountsAgainstTheCallsOfItsUpstream)
{
  BrokenRuns runs;
  GetParam().m_before(runs);
  std::vector<Suspect> accused;
  for (const auto& [suspect, broken] : runs.NoteEnded(GetParam().m_ended)) {
    accused.push_back(suspect);
  }
  EXPECT_EQ(accused, GetParam().m_accused);
  EXPECT_TRUE(runs.NoteEnded(GetParam().m_ended).empty());
}

INSTANTIATE_TEST_SUITE_P(
  Ends,
  BrokenRunsTest,
  ::testing::Values(
    EndCase{ [](BrokenRuns& aRuns) {
              NoteBroken(aRuns, kCall, kIncarnation, At(0));
              NoteBroken(aRuns, kOther, kIncarnation, At(0));
              NoteBroken(aRuns, kCall, kIncarnation, At(1));
            },
             kIncarnation,
             { kCall, kOther },
             "EachCallOnce" },
    EndCase{
      [](BrokenRuns& aRuns) { NoteBroken(aRuns, kCall, kIncarnation, At(0)); },
      kElsewhere,
      {},
      "NotThatOfAnotherUpstream" },
    EndCase{
      [](BrokenRuns& aRuns) { NoteBroken(aRuns, kCall, kIncarnation, At(0)); },
      kLater,
      {},
      "NotThatOfALaterLife" },
    // The connection broke, but the upstream has answered since.
    EndCase{ [](BrokenRuns& aRuns) {
              NoteBroken(aRuns, kCall, kIncarnation, At(5));
              aRuns.NoteAlive(kIncarnation.m_id, At(5));
            },
             kIncarnation,
             {},
             "NotOfOneThatLives" },
    // The answer belongs to a request that was sent before the break, so the
    // upstream may have crashed after it sent the answer.
    EndCase{ [](BrokenRuns& aRuns) {
              NoteBroken(aRuns, kCall, kIncarnation, At(5));
              aRuns.NoteAlive(kIncarnation.m_id, At(4));
            },
             kIncarnation,
             { kCall },
             "AnEarlierSendProvesNothing" },
    EndCase{ [](BrokenRuns& aRuns) {
              NoteBroken(aRuns, kCall, kIncarnation, At(0));
              aRuns.Tick(At(0) + BrokenRuns::kUnresolvedFor);
            },
             kIncarnation,
             {},
             "NotWhatBrokeLongAgo" },
    EndCase{ [](BrokenRuns& aRuns) {
              NoteBroken(aRuns, kCall, kIncarnation, At(0));
              aRuns.NoteServed(kCall);
            },
             kIncarnation,
             {},
             "NotOfACallThatRanWell" },
    EndCase{ [](BrokenRuns& aRuns) {
              NoteBroken(aRuns, kCall, kIncarnation, At(0));
              aRuns.ForgetAll();
            },
             kIncarnation,
             {},
             "NotWhatBrokeWhileThisStoodStill" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(BrokenRunsCountTest, ACallIsCountedOnceForEachUpstream)
{
  BrokenRuns runs;
  NoteBroken(runs, kCall, kIncarnation, At(0));
  NoteBroken(runs, kCall, kIncarnation, At(0));
  NoteBroken(runs, kCall, kElsewhere, At(0));
  EXPECT_EQ(runs.Unresolved(kCall), 2U);
  EXPECT_EQ(runs.Unresolved(kOther), 0U);
  EXPECT_EQ(runs.Upstreams(), (std::set<std::string>{ "i-1", "i-2" }));
  EXPECT_EQ(runs.UnresolvedIncarnations("i-1"),
            std::vector<UpstreamIncarnation>{ kIncarnation });
}

TEST(BrokenRunsCountTest, MemoryIsBounded)
{
  BrokenRuns runs;
  for (std::uint64_t i = 0; i < 2 * BrokenRuns::kMaxTracked; ++i) {
    NoteBroken(runs, { i, i }, kIncarnation, At(0));
  }
  EXPECT_EQ(runs.NoteEnded(kIncarnation).size(), BrokenRuns::kMaxTracked);
}

} // namespace
} // namespace ridgeferry::quarantine
