// Guards against shutting out large prompts: admission must depend on the
// queue, not on the prompt's own size. When prompts of 4,000 to 24,000 tokens
// had their own prefill counted against the admission bound on the first-token
// time as well, behind queues of some 95 ms, 0.16 of the attempts were admitted
// for the largest tenth of the prompts and 0.84 for the smallest tenth.
//
// The loads here are similar: engines prefill 60 to 400 tokens per ms, and
// first-token targets are 150 to 700 ms.

#include "FleetFixture.h"

#include <rapidcheck/gtest.h>

namespace ridgeferry::relay {
namespace {

/** Length of the shared prefix, in tokens. */
constexpr std::int64_t kShared = 6300;

Prompt
LongPrompt(std::int64_t aOwn)
{
  Prompt out{ 7, kShared, aOwn, 2 };
  out.m_commonTokens = 2500;
  return out;
}

PlaceRequest
RequestOf(std::int64_t aOwn, std::int64_t aTypicalOwn, Duration aPatience)
{
  PlaceRequest out = LongRequest(7);
  out.m_prompt = LongPrompt(aOwn);
  out.m_typical = LongPrompt(aTypicalOwn);
  out.m_admissionBound = aPatience;
  out.m_pause = Duration{ 150 };
  out.m_shortestAim = aPatience;
  out.m_left = Duration{ 2000 };
  return out;
}

bool
HasPlace(const Fleet& aFleet, const PlaceRequest& aRequest)
{
  return std::holds_alternative<Place>(aFleet.FindPlace(aRequest, kNow));
}

const NoPlaceCause*
CauseOf(const PlaceResult& aResult)
{
  const auto* fault = std::get_if<PlaceFault>(&aResult);
  return fault == nullptr ? nullptr : &fault->m_cause;
}

/** Queues `aWork` units of prefill work at every engine. */
void
LoadAll(Fleet& aFleet, std::int64_t aWork)
{
  for (int i = 0; i < 8; ++i) {
    aFleet.NoteSent("g" + std::to_string(i), aWork, kNow);
  }
  for (int i = 0; i < 4; ++i) {
    aFleet.NoteSent("p" + std::to_string(i), aWork, kNow);
  }
}

/** Whether prefill is disaggregated or colocated. */
struct WayCase
{
  const char* m_name;
  bool m_isDisaggregated;
};

class FleetSizeTest
  : public FleetTest
  , public ::testing::WithParamInterface<WayCase>
{
protected:
  void SetUp() override
  {
    if (GetParam().m_isDisaggregated) {
      m_fleet.RestoreDisaggregatedServices({ Fleet::ShortHash("llm") });
    }
  }
};

TEST_P(FleetSizeTest, OneQueueLetsAllSizesOfAKindInOrNone)
{
  EXPECT_TRUE(rc::check("any queue at the engines", [&] {
    Fleet fleet = m_fleet;
    const int pace = *rc::gen::inRange(60, 400);
    for (int i = 0; i < 9; ++i) {
      fleet.NoteThroughput(
        { "p0", pace * std::int64_t{ 100 }, Duration{ 115 }, true });
    }
    LoadAll(fleet, *rc::gen::inRange(0, 60'000));
    const std::int64_t typical = *rc::gen::inRange(500, 8000);
    const Duration patience{ *rc::gen::inRange(100, 500) };
    const bool one = HasPlace(fleet, RequestOf(typical / 4, typical, patience));
    const bool other =
      HasPlace(fleet, RequestOf(typical * 4, typical, patience));
    RC_ASSERT(one == other);
  }));
}

// Uses the queue that shut out large prompts: a small prompt waits 110 ms
// there.
TEST_P(FleetSizeTest, ALargePromptWaitsAsATypicalOneDoes)
{
  LoadAll(m_fleet, 4000);
  const Duration patience{ 140 };
  EXPECT_TRUE(HasPlace(m_fleet, RequestOf(2900, 2900, patience)));
  EXPECT_TRUE(HasPlace(m_fleet, RequestOf(16'000, 2900, patience)));
}

TEST_P(FleetSizeTest, APromptThatNoEngineCanPrefillInTimeIsTooLarge)
{
  PlaceRequest request = RequestOf(400'000, 2900, Duration{ 140 });
  request.m_untilGivenUp = Duration{ 1000 };
  const PlaceResult result = m_fleet.FindPlace(request, kNow);
  ASSERT_NE(CauseOf(result), nullptr);
  EXPECT_EQ(*CauseOf(result), NoPlaceCause::TooLarge);
  // A call that another upstream has begun already is continued in any case.
  request.m_admissionBound = Duration::max();
  EXPECT_TRUE(HasPlace(m_fleet, request));
}

INSTANTIATE_TEST_SUITE_P(Ways,
                         FleetSizeTest,
                         ::testing::Values(WayCase{ "Beside", false },
                                           WayCase{ "Apart", true }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

TEST_F(FleetTest, ASmallPromptPassesForItsSizeOnlyIfItMay)
{
  LoadAll(m_fleet, 20'000);
  PlaceRequest request = RequestOf(200, 9000, Duration{ 140 });
  const PlaceResult refused = m_fleet.FindPlace(request, kNow);
  ASSERT_NE(CauseOf(refused), nullptr);
  EXPECT_EQ(*CauseOf(refused), NoPlaceCause::Full);
  request.m_mayPassForItsSize = true;
  EXPECT_TRUE(MustFind(m_fleet, request).m_forItsSize);
  request.m_prompt = LongPrompt(9000);
  EXPECT_FALSE(HasPlace(m_fleet, request));
}

} // namespace
} // namespace ridgeferry::relay
