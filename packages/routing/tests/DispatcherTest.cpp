#include <gtest/gtest.h>
#include <ridgeferry/routing/Dispatcher.h>
#include <ridgeferry/routing/OrganisationLimiter.h>
#include <ridgeferry/routing/RetryBudget.h>

namespace ridgeferry::routing {
namespace {

using declared::TrafficClass;

constexpr Instant kStart{ Duration{ 1'000'000 } };

class DispatcherTest : public ::testing::Test
{
protected:
  DispatcherTest()
    : m_dispatcher(m_upstreams, TwoChoices{})
  {
    auto pool = std::make_shared<PoolSpec>();
    pool->m_key = "pool";
    m_pool = pool;
  }

  void AddEngines(int aCount, std::int64_t aSlots)
  {
    std::vector<ListedUpstream> listed;
    for (int i = 0; i < aCount; ++i) {
      ListedUpstream engine;
      engine.m_id = "e" + std::to_string(i);
      listed.push_back(engine);
    }
    m_upstreams.SetListed(listed);
    for (const ListedUpstream& engine : listed) {
      EngineReport report;
      report.m_slots = aSlots;
      m_upstreams.SetReport(engine.m_id, report, kStart);
    }
  }

  std::optional<Rejected> Offer(CallId aCall,
                                TrafficClass aClass,
                                Duration aDeadline = Duration{ 10'000 })
  {
    UpstreamRequest request;
    request.m_call = aCall;
    request.m_class = aClass;
    request.m_deadline = kStart + aDeadline;
    request.m_pool = m_pool;
    return m_dispatcher.Offer(std::move(request), kStart);
  }

  /** Returns the ids of the granted calls, in order. The id of a rejected call
   * is negative. */
  std::vector<std::int64_t> Pump(Instant aNow = kStart)
  {
    std::vector<std::int64_t> out;
    for (const Dispatch& dispatch :
         m_dispatcher.Pump(aNow, 1, [] { return std::uint64_t{ 1 }; })) {
      if (const auto* granted = std::get_if<Granted>(&dispatch)) {
        out.push_back(static_cast<std::int64_t>(granted->m_call));
      } else {
        out.push_back(
          -static_cast<std::int64_t>(std::get<Rejected>(dispatch).m_call));
      }
    }
    return out;
  }

  UpstreamSet m_upstreams;
  Dispatcher m_dispatcher;
  std::shared_ptr<const PoolSpec> m_pool;
};

using Calls = std::vector<std::int64_t>;

TEST_F(DispatcherTest, ServesUrgentWorkFirst)
{
  AddEngines(1, 2);
  ASSERT_FALSE(Offer(1, TrafficClass::Low));
  ASSERT_FALSE(Offer(2, TrafficClass::Normal));
  ASSERT_FALSE(Offer(3, TrafficClass::Urgent));
  ASSERT_FALSE(Offer(4, TrafficClass::Urgent));
  EXPECT_EQ(Pump(), (Calls{ 3, 4 }));
}

// A later call must not overtake an earlier one of the same class.
TEST_F(DispatcherTest, IsFairInsideAClass)
{
  AddEngines(1, 1);
  ASSERT_FALSE(Offer(1, TrafficClass::Normal));
  ASSERT_FALSE(Offer(2, TrafficClass::Normal));
  EXPECT_EQ(Pump(), (Calls{ 1 }));
  m_dispatcher.Ended("e0", false, kStart);
  EXPECT_EQ(Pump(), (Calls{ 2 }));
}

// Without a reserve, less urgent calls would fill every slot, and the next
// urgent call would have to wait until one of them ends.
TEST_F(DispatcherTest, KeepsASlotWhileUrgentWorkIsAround)
{
  AddEngines(1, 2);
  ASSERT_FALSE(Offer(1, TrafficClass::Urgent));
  EXPECT_EQ(Pump(), (Calls{ 1 }));
  m_dispatcher.Ended("e0", false, kStart);
  ASSERT_FALSE(Offer(2, TrafficClass::Normal));
  ASSERT_FALSE(Offer(3, TrafficClass::Normal));
  EXPECT_EQ(Pump(), (Calls{ 2 }));
  // The slot is still reserved 1 ms before `kUrgentReserveTime` has passed.
  EXPECT_EQ(Pump(kStart + Dispatcher::kUrgentReserveTime - Duration{ 1 }),
            Calls{});
}

// A slot that stayed reserved without urgent calls would be wasted.
TEST_F(DispatcherTest, GivesTheReserveBackWhenNobodyUrgentComes)
{
  AddEngines(1, 2);
  ASSERT_FALSE(Offer(1, TrafficClass::Urgent));
  EXPECT_EQ(Pump(), (Calls{ 1 }));
  m_dispatcher.Ended("e0", false, kStart);
  ASSERT_FALSE(Offer(2, TrafficClass::Normal, Duration{ 60'000 }));
  ASSERT_FALSE(Offer(3, TrafficClass::Normal, Duration{ 60'000 }));
  EXPECT_EQ(Pump(kStart + Dispatcher::kUrgentReserveTime), (Calls{ 2, 3 }));
}

TEST_F(DispatcherTest, RefusesAtOnceWithoutUpstreams)
{
  const auto rejected = Offer(1, TrafficClass::Urgent);
  ASSERT_TRUE(rejected.has_value());
  EXPECT_EQ(rejected->m_code, ProblemCode::NoUpstream);
}

TEST_F(DispatcherTest, GivesUpWhatIsTooLate)
{
  AddEngines(1, 1);
  ASSERT_FALSE(Offer(1, TrafficClass::Normal));
  ASSERT_FALSE(Offer(2, TrafficClass::Normal, Duration{ 500 }));
  EXPECT_EQ(Pump(), (Calls{ 1 }));
  EXPECT_EQ(Pump(kStart + Duration{ 500 }), (Calls{ -2 }));
}

/** The state of an upstream, and whether it gets new calls. */
struct StateCase
{
  const char* m_name;
  bool m_leaving;
  bool m_draining;
  bool m_changing;
  declared::Role m_role;
  bool m_served;
};

class UpstreamStateTest
  : public DispatcherTest
  , public ::testing::WithParamInterface<StateCase>
{};

TEST_P(UpstreamStateTest, DecidesWhetherItGetsNewWork)
{
  AddEngines(1, 4);
  EngineReport report;
  report.m_slots = 4;
  report.m_draining = GetParam().m_draining;
  report.m_changing = GetParam().m_changing;
  report.m_role = GetParam().m_role;
  m_upstreams.SetReport("e0", report, kStart);
  if (GetParam().m_leaving) {
    m_upstreams.MarkLeaving("e0");
  }
  ASSERT_FALSE(Offer(1, TrafficClass::Normal));
  EXPECT_EQ(Pump(), GetParam().m_served ? Calls{ 1 } : Calls{});
}

INSTANTIATE_TEST_SUITE_P(
  States,
  UpstreamStateTest,
  ::testing::Values(
    StateCase{ "Live", false, false, false, declared::Role::Mixed, true },
    StateCase{ "Leaving", true, false, false, declared::Role::Mixed, false },
    StateCase{ "Draining", false, true, false, declared::Role::Mixed, false },
    StateCase{ "Changing", false, false, true, declared::Role::Mixed, false },
    StateCase{ "PrefillFirst",
               false,
               false,
               false,
               declared::Role::Prefill,
               true },
    StateCase{ "OnlyDecode",
               false,
               false,
               false,
               declared::Role::Decode,
               false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// If an out-of-date list cancelled the announcement, the leaving upstream would
// get new calls and then interrupt them when it stops.
TEST(UpstreamSetTest, StaysLeavingWhenTheListIsOutOfDate)
{
  UpstreamSet upstreams;
  const ListedUpstream listed[] = {
    { "s", UpstreamKind::Service, {}, {}, {} }
  };
  upstreams.SetListed(listed);
  upstreams.MarkLeaving("s");
  upstreams.SetListed(listed); // This list still contains it as live.
  EXPECT_FALSE(upstreams.MayServe(0, Phase::Whole, kStart));
}

TEST(UpstreamSetTest, EjectsAFailingUpstreamForAWhile)
{
  UpstreamSet upstreams;
  const ListedUpstream listed[] = {
    { "s", UpstreamKind::Service, {}, {}, {} }
  };
  upstreams.SetListed(listed);
  for (int i = 0; i < UpstreamSet::kFailuresToEject; ++i) {
    EXPECT_TRUE(upstreams.MayServe(0, Phase::Whole, kStart));
    upstreams.NoteSent("s");
    upstreams.NoteEnded("s", true, kStart);
  }
  EXPECT_FALSE(upstreams.MayServe(0, Phase::Whole, kStart));
  EXPECT_TRUE(
    upstreams.MayServe(0, Phase::Whole, kStart + UpstreamSet::kEjectionTime));
}

// All instances together must allow one organisation no more than its rate. At
// a rate of 10 calls a second, the burst of 2 s is 20 calls.
TEST(OrganisationLimiterTest, SharesARateAmongInstances)
{
  declared::Organisation organisation;
  organisation.m_name = "t";
  organisation.m_limits.m_requestsPerSecond = 10;
  for (std::size_t instances : { 1U, 2U, 5U }) {
    OrganisationLimiter limiter;
    int allowed = 0;
    while (!limiter.Take(organisation, instances, kStart)) {
      ++allowed;
    }
    EXPECT_EQ(allowed, 20 / static_cast<int>(instances));
    EXPECT_FALSE(
      limiter.Take(organisation, instances, kStart + Duration{ 1000 }));
  }
}

TEST(OrganisationLimiterTest, CountsCallsInFlight)
{
  declared::Organisation organisation;
  organisation.m_name = "t";
  organisation.m_limits.m_inFlight = 1;
  OrganisationLimiter limiter;
  EXPECT_FALSE(limiter.Take(organisation, 1, kStart));
  EXPECT_TRUE(limiter.Take(organisation, 1, kStart));
  limiter.Release("t");
  EXPECT_FALSE(limiter.Take(organisation, 1, kStart));
}

// After the initial budget is used up, retries must be limited to a fraction of
// the calls, else a failing data centre would get a storm of retries.
TEST(RetryBudgetTest, BoundsRetriesToAShareOfTheCalls)
{
  RetryBudget budget;
  while (budget.TakeRetry()) {
  }
  constexpr int kCalls = 1000;
  int retries = 0;
  for (int i = 0; i < kCalls; ++i) {
    budget.NoteCall();
    retries += budget.TakeRetry() ? 1 : 0;
  }
  EXPECT_NEAR(retries, kCalls * RetryBudget::kPerCall, 2);
}

// Guards against calls to an upstream that has asked for a pause, and against
// callers that wait in vain for the end of all pauses.
TEST_F(DispatcherTest, AnUpstreamThatBacksOffGetsNoCallUntilThen)
{
  constexpr Duration kPause{ 3000 };
  AddEngines(2, 4);
  EXPECT_TRUE(m_upstreams.NoteBackOff("e0", kPause, kStart));
  EXPECT_FALSE(m_upstreams.NoteBackOff("e0", Duration{ 100 }, kStart));
  const Instant end = kStart + kPause;
  EXPECT_FALSE(m_upstreams.MayServe(0, Phase::Whole, end - Duration{ 1 }));
  EXPECT_TRUE(m_upstreams.MayServe(0, Phase::Whole, end));
  EXPECT_TRUE(m_upstreams.MayServe(1, Phase::Whole, kStart));
}

TEST_F(DispatcherTest, WhereAllBackOffBeyondTheDeadlineCallersAreToldTheEnd)
{
  constexpr Duration kPause{ 3000 };
  AddEngines(2, 4);
  m_upstreams.NoteBackOff("e0", kPause, kStart);
  EXPECT_FALSE(Offer(1, TrafficClass::Normal, Duration{ 1000 }).has_value());
  m_upstreams.NoteBackOff("e1", kPause * 2, kStart);
  const auto rejected = Offer(2, TrafficClass::Normal, Duration{ 1000 });
  ASSERT_TRUE(rejected.has_value());
  EXPECT_EQ(rejected->m_retryAfter, kPause);
  EXPECT_FALSE(Offer(3, TrafficClass::Normal, kPause * 2).has_value());
}

TEST_F(DispatcherTest, ABackOffIsBoundedAndEndsWithItsProcess)
{
  AddEngines(1, 4);
  m_upstreams.NoteBackOff("e0", Duration{ 86'400'000 }, kStart);
  EXPECT_TRUE(
    m_upstreams.MayServe(0, Phase::Whole, kStart + UpstreamSet::kMaxBackOff));
  EXPECT_FALSE(m_upstreams.MayServe(0, Phase::Whole, kStart));
  EngineReport report;
  report.m_bootId = "another";
  m_upstreams.SetReport("e0", report, kStart);
  EXPECT_TRUE(m_upstreams.MayServe(0, Phase::Whole, kStart));
}

} // namespace
} // namespace ridgeferry::routing
