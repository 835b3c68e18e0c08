#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/scaling/ScalePlanner.h>

namespace ridgeferry::scaling {
namespace {

constexpr Instant kStart{ Duration{ 1'000'000 } };
constexpr Duration kStep{ 500 };
const ScaleTerms kTerms{ 1, 38, Duration{ 4000 }, 0.15 };

/** A platform that carries orders out and takes upstreams away. */
class World
{
public:
  explicit World(const ScaleTerms& aTerms, std::int64_t aRegular)
    : m_terms(aTerms)
    , m_pools{ { "a", aRegular, 0 },
               { "b", aRegular, 0 },
               { "c", aRegular, 0 } }
  {
  }

  void Step(double aNeeded)
  {
    m_now += kStep;
    Boot();
    for (const ScaleOrder& order :
         m_planner.Plan(m_terms, m_pools, aNeeded, m_now)) {
      ++m_orders;
      const bool isOut = order.m_kind == Kind::Withdrawable && m_isDry;
      m_planner.NoteAnswer(order,
                           isOut ? ScaleAnswer::NoneAvailable
                                 : ScaleAnswer::Accepted,
                           m_now);
      if (!isOut) {
        Carry(order);
      }
    }
  }

  void Play(int aSteps, double aNeeded)
  {
    for (int i = 0; i < aSteps; ++i) {
      Step(aNeeded);
    }
  }

  /** Takes the withdrawable upstreams of a data centre away. */
  void Withdraw(std::size_t aPool)
  {
    m_pools[aPool].m_withdrawable = 0;
    m_isDry = true;
  }
  void EndWithdrawal() { m_isDry = false; }

  std::int64_t Serving() const
  {
    std::int64_t out = 0;
    for (const DataCentrePool& pool : m_pools) {
      out += pool.m_regular + pool.m_withdrawable;
    }
    return out;
  }
  std::int64_t Regular() const
  {
    std::int64_t out = 0;
    for (const DataCentrePool& pool : m_pools) {
      out += pool.m_regular;
    }
    return out;
  }
  const std::vector<DataCentrePool>& Pools() const { return m_pools; }
  int Orders() const { return m_orders; }

private:
  struct Booting
  {
    ScaleOrder m_order;
    Instant m_at;
  };

  DataCentrePool& PoolOf(const std::string& aName)
  {
    return *std::find_if(
      m_pools.begin(), m_pools.end(), [&](const DataCentrePool& aPool) {
        return aPool.m_dataCentre == aName;
      });
  }

  void Carry(const ScaleOrder& aOrder)
  {
    DataCentrePool& pool = PoolOf(aOrder.m_dataCentre);
    std::int64_t& count =
      aOrder.m_kind == Kind::Regular ? pool.m_regular : pool.m_withdrawable;
    count = std::min(count, aOrder.m_desired);
    m_desired[{ aOrder.m_dataCentre, aOrder.m_kind }] = aOrder.m_desired;
    m_booting.push_back({ aOrder, m_now + m_terms.m_bootTime });
  }

  void Boot()
  {
    std::erase_if(m_booting, [this](const Booting& aBooting) {
      if (m_now < aBooting.m_at) {
        return false;
      }
      DataCentrePool& pool = PoolOf(aBooting.m_order.m_dataCentre);
      std::int64_t& count = aBooting.m_order.m_kind == Kind::Regular
                              ? pool.m_regular
                              : pool.m_withdrawable;
      const std::int64_t desired =
        m_desired[{ pool.m_dataCentre, aBooting.m_order.m_kind }];
      if (!m_isDry || aBooting.m_order.m_kind == Kind::Regular) {
        count = std::max(count, std::min(desired, aBooting.m_order.m_desired));
      }
      return true;
    });
  }

  ScaleTerms m_terms;
  ScalePlanner m_planner;
  std::vector<DataCentrePool> m_pools;
  std::vector<Booting> m_booting;
  /** What the platform was ordered last. */
  std::map<std::pair<std::string, Kind>, std::int64_t> m_desired;
  Instant m_now = kStart;
  bool m_isDry = false;
  int m_orders = 0;
};

TEST(ScalePlannerTest, AFleetWhoseLoadIsUnknownStays)
{
  World world(kTerms, 19);
  world.Play(100, 0);
  EXPECT_EQ(world.Orders(), 0);
}

TEST(ScalePlannerTest, CheapUpstreamsReplaceDearOnesOnceTheyServe)
{
  World world(kTerms, 19);
  world.Play(4, 18);
  EXPECT_EQ(world.Regular(), 57); // None is given up before its replacement.
  world.Play(80, 18);
  EXPECT_LE(world.Regular(), 9);
  EXPECT_GE(world.Serving(), 50);
  EXPECT_LE(world.Orders(), 20);
}

TEST(ScalePlannerTest, ASteadyLoadCausesNoOrders)
{
  World world(kTerms, 19);
  world.Play(200, 18);
  const int before = world.Orders();
  for (int i = 0; i < 200; ++i) {
    world.Step(i % 2 == 0 ? 18 : 17.5);
  }
  EXPECT_EQ(world.Orders(), before);
}

// The platform takes the cheap upstreams of a data centre away at once, and has
// no more of them anywhere for some seconds.
TEST(ScalePlannerTest, AWithdrawalOfADataCentreLeavesWhatTheLoadNeeds)
{
  World world(kTerms, 19);
  world.Play(120, 30);
  world.Withdraw(1);
  for (int i = 0; i < 40; ++i) {
    world.Step(30);
    EXPECT_GE(world.Serving(), 30) << "step " << i;
  }
  world.EndWithdrawal();
  world.Play(40, 30);
  EXPECT_GE(world.Pools()[1].m_withdrawable, 20);
}

TEST(ScalePlannerTest, UpstreamsThatCostTheSameAreRegular)
{
  ScaleTerms terms = kTerms;
  terms.m_withdrawablePrice = 1;
  World world(terms, 19);
  world.Play(200, 18);
  EXPECT_EQ(world.Serving(), world.Regular());
  const auto wanted = 18 * ScalePlanner::kRegularHeadroom;
  EXPECT_GE(static_cast<double>(world.Regular()), wanted);
  EXPECT_LE(static_cast<double>(world.Regular()), wanted + 3);
}

TEST(ScalePlannerTest, AnyLoadKeepsTheLimits)
{
  EXPECT_TRUE(rc::check("limits", [] {
    World world(kTerms, *rc::gen::inRange(1, 39));
    for (int i = 0; i < 120; ++i) {
      world.Step(*rc::gen::inRange(0, 200));
      if (*rc::gen::inRange(0, 20) == 0) {
        world.Withdraw(*rc::gen::inRange<std::size_t>(0, 3));
      }
      if (*rc::gen::inRange(0, 10) == 0) {
        world.EndWithdrawal();
      }
      for (const DataCentrePool& pool : world.Pools()) {
        RC_ASSERT(pool.m_regular + pool.m_withdrawable <= kTerms.m_most);
        RC_ASSERT(pool.m_regular >= kTerms.m_least);
      }
    }
  }));
}

} // namespace
} // namespace ridgeferry::scaling
