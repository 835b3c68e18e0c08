#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/PartDesk.h>
#include <set>

namespace ridgeferry::relay {
namespace {

constexpr Instant kNow{ Duration{ 10'000 } };

class PartDeskTest : public ::testing::Test
{
protected:
  std::vector<DeskAction> Tick(bool aMayOrder = true)
  {
    return m_desk.Handle(DeskTick{ aMayOrder }, m_now);
  }
  void Want(const std::string& aEngine, Part aTo = Part::Prefill)
  {
    Tick();
    m_desk.Handle(ChangesWanted{ { { aEngine, aTo } } }, m_now);
  }
  std::vector<DeskAction> Report(const std::string& aEngine,
                                 Part aPart,
                                 bool aChanging,
                                 std::int64_t aOrders)
  {
    return m_desk.Handle(
      ReportCame{ aEngine, EngineReport{ aPart, aChanging, aOrders } }, m_now);
  }
  std::vector<DeskAction> Answer(const std::string& aEngine,
                                 OrderAnswer aAnswer)
  {
    return m_desk.Handle(OrderAnswered{ aEngine, aAnswer }, m_now);
  }
  /**
   * Takes a change up to the order, for an engine that has accepted four orders
   * before.
   */
  std::vector<DeskAction> Order(const std::string& aEngine)
  {
    Want(aEngine);
    m_now += PartDesk::kAnnounce;
    Tick();
    return Report(aEngine, Part::Generate, false, 4);
  }
  template<typename Action>
  static const Action* Find(const std::vector<DeskAction>& aActions)
  {
    for (const DeskAction& action : aActions) {
      if (const auto* found = std::get_if<Action>(&action)) {
        return found;
      }
    }
    return nullptr;
  }

  PartDesk m_desk;
  Instant m_now = kNow;
};

TEST_F(PartDeskTest, OthersAreToldBeforeTheEngineIsAsked)
{
  Tick();
  const auto wanted =
    m_desk.Handle(ChangesWanted{ { { "e", Part::Prefill } } }, m_now);
  EXPECT_NE(Find<TellNews>(wanted), nullptr);
  EXPECT_EQ(m_desk.News(), (std::vector<PartNews>{ { "e", std::nullopt } }));
  m_now += PartDesk::kAnnounce - Duration{ 1 };
  EXPECT_EQ(Find<AskReport>(Tick()), nullptr);
  m_now += Duration{ 1 };
  EXPECT_NE(Find<AskReport>(Tick()), nullptr);
}

TEST_F(PartDeskTest, AnOrderNamesTheOrdersThatTheEngineHasTaken)
{
  const auto actions = Order("e");
  const auto* order = Find<SendPartOrder>(actions);
  ASSERT_NE(order, nullptr);
  EXPECT_EQ(order->m_engine, "e");
  EXPECT_EQ(order->m_to, Part::Prefill);
  EXPECT_EQ(order->m_expectedOrders, 4);
}

TEST_F(PartDeskTest, NewsGoOnUntilTheListShouldHaveThem)
{
  Order("e");
  Answer("e", OrderAnswer::Taken);
  EXPECT_EQ(m_desk.TargetOf("e"), Part::Prefill);
  m_now += PartDesk::kAskEvery;
  EXPECT_NE(Find<AskReport>(Tick()), nullptr);
  Report("e", Part::Generate, true, 5);
  EXPECT_EQ(m_desk.News(), (std::vector<PartNews>{ { "e", std::nullopt } }));
  Report("e", Part::Prefill, false, 5);
  EXPECT_EQ(m_desk.News(), (std::vector<PartNews>{ { "e", Part::Prefill } }));
  EXPECT_EQ(m_desk.TargetOf("e"), std::nullopt);
  m_now += PartDesk::kNewsLife;
  Tick();
  EXPECT_TRUE(m_desk.News().empty());
}

// The first order may arrive late, after the second one; it then names an
// outdated count and is ignored.
TEST_F(PartDeskTest, ALostOrderIsMadeAgainWithTheSameCount)
{
  Order("e");
  Answer("e", OrderAnswer::Lost);
  // The engine keeps the role that the list shows.
  EXPECT_TRUE(m_desk.News().empty());
  EXPECT_EQ(m_desk.TargetOf("e"), Part::Prefill);
  m_now += PartDesk::kOrderAgain;
  Tick();
  m_now += PartDesk::kAnnounce;
  EXPECT_NE(Find<AskReport>(Tick()), nullptr);
  const auto again = Report("e", Part::Generate, false, 4);
  ASSERT_NE(Find<SendPartOrder>(again), nullptr);
  EXPECT_EQ(Find<SendPartOrder>(again)->m_expectedOrders, 4);
}

TEST_F(PartDeskTest, ALostOrderThatWasTakenIsWatched)
{
  Order("e");
  Answer("e", OrderAnswer::Lost);
  m_now += PartDesk::kAskEvery;
  Tick();
  Report("e", Part::Generate, true, 5);
  m_now += PartDesk::kOrderAgain;
  Tick();
  EXPECT_EQ(Find<SendPartOrder>(Report("e", Part::Generate, true, 5)), nullptr);
  EXPECT_EQ(m_desk.News(), (std::vector<PartNews>{ { "e", std::nullopt } }));
}

TEST_F(PartDeskTest, ARefusalIsLeftAloneForAWhile)
{
  Order("e");
  Answer("e", OrderAnswer::Refused);
  EXPECT_TRUE(m_desk.IsLeftAlone("e"));
  EXPECT_TRUE(m_desk.News().empty());
  m_now += PartDesk::kPause;
  Tick();
  EXPECT_FALSE(m_desk.IsLeftAlone("e"));
}

TEST_F(PartDeskTest, NoOrderLeavesWithoutTheRightToOrder)
{
  Want("e");
  m_now += PartDesk::kAnnounce;
  Tick();
  Tick(false); // The right to order was lost while the engine was asked.
  EXPECT_EQ(Find<SendPartOrder>(Report("e", Part::Generate, false, 4)),
            nullptr);
}

TEST_F(PartDeskTest, WhatWasOrderedIsWatchedWithoutTheRightToOrder)
{
  Order("e");
  Answer("e", OrderAnswer::Taken);
  m_now += PartDesk::kAskEvery;
  EXPECT_NE(Find<AskReport>(Tick(false)), nullptr);
  Report("e", Part::Prefill, false, 5);
  EXPECT_EQ(m_desk.News(), (std::vector<PartNews>{ { "e", Part::Prefill } }));
}

TEST_F(PartDeskTest, AnEngineThatIsThereGetsNoOrder)
{
  Want("e");
  m_now += PartDesk::kAnnounce;
  Tick();
  EXPECT_EQ(Find<SendPartOrder>(Report("e", Part::Prefill, false, 4)), nullptr);
  EXPECT_EQ(m_desk.News(), (std::vector<PartNews>{ { "e", Part::Prefill } }));
}

TEST_F(PartDeskTest, AnEngineThatHasGoneIsForgotten)
{
  Order("e");
  EXPECT_NE(Find<TellNews>(m_desk.Handle(EngineGone{ "e" }, m_now)), nullptr);
  EXPECT_TRUE(m_desk.News().empty());
}

// Guards against changing the roles of a whole data centre at once, which would
// keep the ordering instance from all its other work.
TEST_F(PartDeskTest, FewAreAskedAtATimeAndAllInTurn)
{
  constexpr int kEngines = 60;
  Tick();
  ChangesWanted wanted;
  for (int i = 0; i < kEngines; ++i) {
    wanted.m_changes.push_back({ "e" + std::to_string(i), Part::Prefill });
  }
  // There is one announcement for all changes.
  EXPECT_EQ(m_desk.Handle(wanted, m_now).size(), 1U);
  m_now += PartDesk::kAnnounce;
  std::set<std::string> asked;
  for (int tick = 0; tick < kEngines; ++tick) {
    const auto actions = Tick();
    std::size_t asks = 0;
    for (const DeskAction& action : actions) {
      if (const auto* ask = std::get_if<AskReport>(&action)) {
        asked.insert(ask->m_engine);
        ++asks;
      }
    }
    EXPECT_LE(asks, PartDesk::kMostAsksATick);
    m_now += Duration{ 50 };
  }
  EXPECT_EQ(asked.size(), static_cast<std::size_t>(kEngines));
}

/**
 * Simulates an engine whose answers get lost and whose orders arrive late. It
 * carries out an order only if the order names its current count.
 */
TEST_F(PartDeskTest, WhateverIsLostTheEngineFollowsEachOrderOnceAtMost)
{
  EXPECT_TRUE(rc::check("answers get lost and orders arrive late", [] {
    PartDesk desk;
    Instant now = kNow;
    Part part = Part::Generate;
    std::int64_t taken = 0;
    std::vector<std::pair<Instant, SendPartOrder>> late;
    int effects = 0;
    const auto carryOut = [&](const SendPartOrder& aOrder) {
      if (aOrder.m_expectedOrders != taken) {
        return false;
      }
      ++taken;
      ++effects;
      part = aOrder.m_to;
      return true;
    };
    desk.Handle(DeskTick{ true }, now);
    desk.Handle(ChangesWanted{ { { "e", Part::Prefill } } }, now);
    for (int step = 0; step < 200; ++step) {
      now += Duration{ 50 };
      std::erase_if(late, [&](const auto& aItem) {
        return aItem.first <= now && (carryOut(aItem.second), true);
      });
      std::vector<DeskAction> todo = desk.Handle(DeskTick{ true }, now);
      while (!todo.empty()) {
        const DeskAction action = todo.back();
        todo.pop_back();
        std::vector<DeskAction> more;
        if (const auto* ask = std::get_if<AskReport>(&action)) {
          const bool lost = *rc::gen::inRange(0, 4) == 0;
          more =
            desk.Handle(ReportCame{ ask->m_engine,
                                    lost ? std::optional<EngineReport>{}
                                         : EngineReport{ part, false, taken } },
                        now);
        } else if (const auto* order = std::get_if<SendPartOrder>(&action)) {
          const int fate = *rc::gen::inRange(0, 3);
          if (fate == 0) {
            const bool done = carryOut(*order);
            more = desk.Handle(
              OrderAnswered{ "e",
                             done ? OrderAnswer::Taken : OrderAnswer::Refused },
              now);
          } else {
            if (fate == 1) {
              late.emplace_back(now + Duration{ *rc::gen::inRange(50, 5000) },
                                *order);
            }
            more = desk.Handle(OrderAnswered{ "e", OrderAnswer::Lost }, now);
          }
        }
        todo.insert(todo.end(), more.begin(), more.end());
      }
    }
    RC_ASSERT(effects <= 1);
    RC_ASSERT(taken == effects);
  }));
}

// The engine restarts while its order is unanswered, so its count starts from
// zero. Guards against taking its role as a sign that the order was carried
// out.
TEST_F(PartDeskTest, AnOrderToAnEarlierLifeIsNotCountedForALaterOne)
{
  const auto report = [&](std::int64_t aBorn, std::int64_t aOrders) {
    return m_desk.Handle(
      ReportCame{ "e", EngineReport{ Part::Generate, false, aOrders, aBorn } },
      m_now);
  };
  Want("e");
  m_now += PartDesk::kAnnounce;
  Tick();
  ASSERT_NE(Find<SendPartOrder>(report(1000, 4)), nullptr);
  Answer("e", OrderAnswer::Lost);
  m_now += PartDesk::kAskEvery;
  Tick();
  EXPECT_NE(Find<TellNews>(report(2000, 0)), nullptr);
  EXPECT_EQ(m_desk.TargetOf("e"), std::nullopt);
  EXPECT_TRUE(m_desk.News().empty());
  // The later incarnation gets no order until a change is requested anew, and
  // then the order names its own count.
  m_now += PartDesk::kOrderAgain;
  EXPECT_EQ(Find<AskReport>(Tick()), nullptr);
  Want("e");
  m_now += PartDesk::kAnnounce;
  Tick();
  const auto again = report(2000, 0);
  ASSERT_NE(Find<SendPartOrder>(again), nullptr);
  EXPECT_EQ(Find<SendPartOrder>(again)->m_expectedOrders, 0);
}

} // namespace
} // namespace ridgeferry::relay
