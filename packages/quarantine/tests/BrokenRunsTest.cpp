#include <functional>
#include <gtest/gtest.h>
#include <ridgeferry/quarantine/BrokenRuns.h>

namespace ridgeferry::quarantine {
namespace {

constexpr CallDigest kCall{ 1, 1 };
constexpr CallDigest kOther{ 2, 2 };
const UpstreamLife kLife{ "i-1", 100 };
const UpstreamLife kLater{ "i-1", 200 };
const UpstreamLife kElsewhere{ "i-2", 100 };

Instant
At(int aMs)
{
  return Instant(Duration(aMs));
}

struct EndCase
{
  std::function<void(BrokenRuns&)> m_before;
  UpstreamLife m_ended;
  std::vector<CallDigest> m_accused;
  const char* m_name;
};

class BrokenRunsTest : public ::testing::TestWithParam<EndCase>
{};

TEST_P(BrokenRunsTest, ACrashCountsAgainstTheCallsOfItsUpstream)
{
  BrokenRuns runs;
  GetParam().m_before(runs);
  std::vector<CallDigest> accused;
  for (const auto& [call, brokeAt] : runs.NoteEnded(GetParam().m_ended)) {
    accused.push_back(call);
  }
  EXPECT_EQ(accused, GetParam().m_accused);
  EXPECT_TRUE(runs.NoteEnded(GetParam().m_ended).empty());
}

INSTANTIATE_TEST_SUITE_P(
  Ends,
  BrokenRunsTest,
  ::testing::Values(
    EndCase{ [](BrokenRuns& aRuns) {
              aRuns.NoteBroken(kCall, kLife, At(0));
              aRuns.NoteBroken(kOther, kLife, At(0));
              aRuns.NoteBroken(kCall, kLife, At(1));
            },
             kLife,
             { kCall, kOther },
             "EachCallOnce" },
    EndCase{ [](BrokenRuns& aRuns) { aRuns.NoteBroken(kCall, kLife, At(0)); },
             kElsewhere,
             {},
             "NotThatOfAnotherUpstream" },
    EndCase{ [](BrokenRuns& aRuns) { aRuns.NoteBroken(kCall, kLife, At(0)); },
             kLater,
             {},
             "NotThatOfALaterLife" },
    // The connection broke, but the upstream has answered since.
    EndCase{ [](BrokenRuns& aRuns) {
              aRuns.NoteBroken(kCall, kLife, At(5));
              aRuns.NoteAlive(kLife.m_id, At(5));
            },
             kLife,
             {},
             "NotOfOneThatLives" },
    // The answer belongs to a request that was sent before the break, so the
    // upstream may have crashed after it sent the answer.
    EndCase{ [](BrokenRuns& aRuns) {
              aRuns.NoteBroken(kCall, kLife, At(5));
              aRuns.NoteAlive(kLife.m_id, At(4));
            },
             kLife,
             { kCall },
             "AnEarlierSendProvesNothing" },
    EndCase{ [](BrokenRuns& aRuns) {
              aRuns.NoteBroken(kCall, kLife, At(0));
              aRuns.Tick(At(0) + BrokenRuns::kUnresolvedFor);
            },
             kLife,
             {},
             "NotWhatBrokeLongAgo" },
    EndCase{ [](BrokenRuns& aRuns) {
              aRuns.NoteBroken(kCall, kLife, At(0));
              aRuns.NoteServed(kCall);
            },
             kLife,
             {},
             "NotOfACallThatRanWell" },
    EndCase{ [](BrokenRuns& aRuns) {
              aRuns.NoteBroken(kCall, kLife, At(0));
              aRuns.ForgetAll();
            },
             kLife,
             {},
             "NotWhatBrokeWhileThisStoodStill" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(BrokenRunsCountTest, ACallIsCountedOnceForEachUpstream)
{
  BrokenRuns runs;
  runs.NoteBroken(kCall, kLife, At(0));
  runs.NoteBroken(kCall, kLife, At(0));
  runs.NoteBroken(kCall, kElsewhere, At(0));
  EXPECT_EQ(runs.Unresolved(kCall), 2U);
  EXPECT_EQ(runs.Unresolved(kOther), 0U);
  EXPECT_EQ(runs.Upstreams(), (std::set<std::string>{ "i-1", "i-2" }));
  EXPECT_EQ(runs.UnresolvedIncarnations("i-1"),
            std::vector<UpstreamLife>{ kLife });
}

TEST(BrokenRunsCountTest, MemoryIsBounded)
{
  BrokenRuns runs;
  for (std::uint64_t i = 0; i < 2 * BrokenRuns::kMaxRuns; ++i) {
    runs.NoteBroken({ i, i }, kLife, At(0));
  }
  EXPECT_EQ(runs.NoteEnded(kLife).size(), BrokenRuns::kMaxRuns);
}

} // namespace
} // namespace ridgeferry::quarantine
