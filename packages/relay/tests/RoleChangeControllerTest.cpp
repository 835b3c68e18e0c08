#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/RoleChangeController.h>
#include <set>

namespace ridgeferry::relay {
namespace {

constexpr Instant kNow{ Duration{ 10'000 } };

class RoleChangeControllerTest : public ::testing::Test
{
protected:
  std::vector<RoleChangeAction> Tick(bool aMayOrder = true)
  {
    return m_controller.Handle(RoleChangeTick{ aMayOrder }, m_now);
  }
  void Want(const std::string& aEngine,
            UpstreamRole aTo = UpstreamRole::Prefill)
  {
    Tick();
    m_controller.Handle(ChangesWanted{ { { aEngine, aTo } } }, m_now);
  }
  std::vector<RoleChangeAction> Report(const std::string& aEngine,
                                       UpstreamRole aPart,
                                       bool aChanging,
                                       std::int64_t aOrders)
  {
    return m_controller.Handle(
      ReportCame{ aEngine, EngineReport{ aPart, aChanging, aOrders } }, m_now);
  }
  std::vector<RoleChangeAction> Answer(const std::string& aEngine,
                                       OrderAnswer aAnswer)
  {
    return m_controller.Handle(OrderAnswered{ aEngine, aAnswer }, m_now);
  }
  /**
   * Drives a role change until the controller sends the order, for an engine
   * that has accepted four orders before.
   */
  std::vector<RoleChangeAction> Order(const std::string& aEngine)
  {
    Want(aEngine);
    m_now += RoleChangeController::kAnnounce;
    Tick();
    return Report(aEngine, UpstreamRole::Decode, false, 4);
  }
  template<typename Action>
  static const Action* Find(const std::vector<RoleChangeAction>& aActions)
  {
    for (const RoleChangeAction& action : aActions) {
      if (const auto* found = std::get_if<Action>(&action)) {
        return found;
      }
    }
    return nullptr;
  }

  RoleChangeController m_controller;
  Instant m_now = kNow;
};

TEST_F(RoleChangeControllerTest, PeersAreInformedBeforeTheEngineIsAsked)
{
  Tick();
  const auto wanted = m_controller.Handle(
    ChangesWanted{ { { "e", UpstreamRole::Prefill } } }, m_now);
  EXPECT_NE(Find<AnnounceRoleUpdates>(wanted), nullptr);
  EXPECT_EQ(m_controller.RoleUpdates(),
            (std::vector<RoleUpdate>{ { "e", std::nullopt } }));
  m_now += RoleChangeController::kAnnounce - Duration{ 1 };
  EXPECT_EQ(Find<AskReport>(Tick()), nullptr);
  m_now += Duration{ 1 };
  EXPECT_NE(Find<AskReport>(Tick()), nullptr);
}

TEST_F(RoleChangeControllerTest, AnOrderNamesTheOrdersThatTheEngineHasTaken)
{
  const auto actions = Order("e");
  const auto* order = Find<SendRoleOrder>(actions);
  ASSERT_NE(order, nullptr);
  EXPECT_EQ(order->m_engine, "e");
  EXPECT_EQ(order->m_to, UpstreamRole::Prefill);
  EXPECT_EQ(order->m_expectedOrders, 4);
}

TEST_F(RoleChangeControllerTest,
       RoleUpdatesAreAnnouncedUntilTheListShouldShowThem)
{
  Order("e");
  Answer("e", OrderAnswer::Taken);
  EXPECT_EQ(m_controller.TargetOf("e"), UpstreamRole::Prefill);
  m_now += RoleChangeController::kAskEvery;
  EXPECT_NE(Find<AskReport>(Tick()), nullptr);
  Report("e", UpstreamRole::Decode, true, 5);
  EXPECT_EQ(m_controller.RoleUpdates(),
            (std::vector<RoleUpdate>{ { "e", std::nullopt } }));
  Report("e", UpstreamRole::Prefill, false, 5);
  EXPECT_EQ(m_controller.RoleUpdates(),
            (std::vector<RoleUpdate>{ { "e", UpstreamRole::Prefill } }));
  EXPECT_EQ(m_controller.TargetOf("e"), std::nullopt);
  m_now += RoleChangeController::kRoleUpdateLifetime;
  Tick();
  EXPECT_TRUE(m_controller.RoleUpdates().empty());
}

// An order names the number of orders that the engine must have accepted
// before. If the first order arrives late, after the second one, that number is
// outdated and the engine ignores the order.
TEST_F(RoleChangeControllerTest, ALostOrderIsMadeAgainWithTheSameCount)
{
  Order("e");
  Answer("e", OrderAnswer::Lost);
  // No announced role update overrides the role that the list of upstreams
  // shows.
  EXPECT_TRUE(m_controller.RoleUpdates().empty());
  EXPECT_EQ(m_controller.TargetOf("e"), UpstreamRole::Prefill);
  m_now += RoleChangeController::kOrderAgain;
  Tick();
  m_now += RoleChangeController::kAnnounce;
  EXPECT_NE(Find<AskReport>(Tick()), nullptr);
  const auto again = Report("e", UpstreamRole::Decode, false, 4);
  ASSERT_NE(Find<SendRoleOrder>(again), nullptr);
  EXPECT_EQ(Find<SendRoleOrder>(again)->m_expectedOrders, 4);
}

TEST_F(RoleChangeControllerTest, ALostOrderThatWasTakenIsWatched)
{
  Order("e");
  Answer("e", OrderAnswer::Lost);
  m_now += RoleChangeController::kAskEvery;
  Tick();
  Report("e", UpstreamRole::Decode, true, 5);
  m_now += RoleChangeController::kOrderAgain;
  Tick();
  EXPECT_EQ(Find<SendRoleOrder>(Report("e", UpstreamRole::Decode, true, 5)),
            nullptr);
  EXPECT_EQ(m_controller.RoleUpdates(),
            (std::vector<RoleUpdate>{ { "e", std::nullopt } }));
}

TEST_F(RoleChangeControllerTest, ARefusalIsLeftAloneForAWhile)
{
  Order("e");
  Answer("e", OrderAnswer::Refused);
  EXPECT_TRUE(m_controller.IsLeftAlone("e"));
  EXPECT_TRUE(m_controller.RoleUpdates().empty());
  m_now += RoleChangeController::kPause;
  Tick();
  EXPECT_FALSE(m_controller.IsLeftAlone("e"));
}

TEST_F(RoleChangeControllerTest, NoOrderLeavesWithoutTheRightToOrder)
{
  Want("e");
  m_now += RoleChangeController::kAnnounce;
  Tick();
  // The instance lost the right to order while it waited for the report.
  Tick(false);
  EXPECT_EQ(Find<SendRoleOrder>(Report("e", UpstreamRole::Decode, false, 4)),
            nullptr);
}

TEST_F(RoleChangeControllerTest, WhatWasOrderedIsWatchedWithoutTheRightToOrder)
{
  Order("e");
  Answer("e", OrderAnswer::Taken);
  m_now += RoleChangeController::kAskEvery;
  EXPECT_NE(Find<AskReport>(Tick(false)), nullptr);
  Report("e", UpstreamRole::Prefill, false, 5);
  EXPECT_EQ(m_controller.RoleUpdates(),
            (std::vector<RoleUpdate>{ { "e", UpstreamRole::Prefill } }));
}

TEST_F(RoleChangeControllerTest, AnEngineThatIsThereGetsNoOrder)
{
  Want("e");
  m_now += RoleChangeController::kAnnounce;
  Tick();
  EXPECT_EQ(Find<SendRoleOrder>(Report("e", UpstreamRole::Prefill, false, 4)),
            nullptr);
  EXPECT_EQ(m_controller.RoleUpdates(),
            (std::vector<RoleUpdate>{ { "e", UpstreamRole::Prefill } }));
}

TEST_F(RoleChangeControllerTest, AnEngineThatHasGoneIsForgotten)
{
  Order("e");
  EXPECT_NE(
    Find<AnnounceRoleUpdates>(m_controller.Handle(EngineGone{ "e" }, m_now)),
    nullptr);
  EXPECT_TRUE(m_controller.RoleUpdates().empty());
}

// Guards against changing the roles of a whole data centre at once, which would
// keep the ordering instance from all its other work.
TEST_F(RoleChangeControllerTest, FewAreAskedAtATimeAndAllInTurn)
{
  constexpr int kEngines = 60;
  Tick();
  ChangesWanted wanted;
  for (int i = 0; i < kEngines; ++i) {
    wanted.m_changes.push_back(
      { "e" + std::to_string(i), UpstreamRole::Prefill });
  }
  // One `AnnounceRoleUpdates` action announces all changes.
  EXPECT_EQ(m_controller.Handle(wanted, m_now).size(), 1U);
  m_now += RoleChangeController::kAnnounce;
  std::set<std::string> asked;
  for (int tick = 0; tick < kEngines; ++tick) {
    const auto actions = Tick();
    std::size_t asks = 0;
    for (const RoleChangeAction& action : actions) {
      if (const auto* ask = std::get_if<AskReport>(&action)) {
        asked.insert(ask->m_engine);
        ++asks;
      }
    }
    EXPECT_LE(asks, RoleChangeController::kMostAsksATick);
    m_now += Duration{ 50 };
  }
  EXPECT_EQ(asked.size(), static_cast<std::size_t>(kEngines));
}

/**
 * Simulates an engine whose answers get lost and whose orders arrive late. The
 * engine carries out an order only if the order names the number of orders that
 * it has carried out so far.
 */
TEST_F(RoleChangeControllerTest,
       WhateverIsLostTheEngineFollowsEachOrderOnceAtMost)
{
  EXPECT_TRUE(rc::check("answers get lost and orders arrive late", [] {
    RoleChangeController desk;
    Instant now = kNow;
    UpstreamRole part = UpstreamRole::Decode;
    std::int64_t taken = 0;
    std::vector<std::pair<Instant, SendRoleOrder>> late;
    int effects = 0;
    const auto carryOut = [&](const SendRoleOrder& aOrder) {
      if (aOrder.m_expectedOrders != taken) {
        return false;
      }
      ++taken;
      ++effects;
      part = aOrder.m_to;
      return true;
    };
    desk.Handle(RoleChangeTick{ true }, now);
    desk.Handle(ChangesWanted{ { { "e", UpstreamRole::Prefill } } }, now);
    for (int step = 0; step < 200; ++step) {
      now += Duration{ 50 };
      std::erase_if(late, [&](const auto& aItem) {
        return aItem.first <= now && (carryOut(aItem.second), true);
      });
      std::vector<RoleChangeAction> todo =
        desk.Handle(RoleChangeTick{ true }, now);
      while (!todo.empty()) {
        const RoleChangeAction action = todo.back();
        todo.pop_back();
        std::vector<RoleChangeAction> more;
        if (const auto* ask = std::get_if<AskReport>(&action)) {
          const bool lost = *rc::gen::inRange(0, 4) == 0;
          more =
            desk.Handle(ReportCame{ ask->m_engine,
                                    lost ? std::optional<EngineReport>{}
                                         : EngineReport{ part, false, taken } },
                        now);
        } else if (const auto* order = std::get_if<SendRoleOrder>(&action)) {
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

// The engine restarts while its order is unanswered, so its number of accepted
// orders starts from zero. Guards against taking its role as a sign that the
// order was carried out.
TEST_F(RoleChangeControllerTest,
       AnOrderToAnEarlierIncarnationIsNotCountedForALaterOne)
{
  const auto report = [&](std::int64_t aBorn, std::int64_t aOrders) {
    return m_controller.Handle(
      ReportCame{ "e",
                  EngineReport{ UpstreamRole::Decode, false, aOrders, aBorn } },
      m_now);
  };
  Want("e");
  m_now += RoleChangeController::kAnnounce;
  Tick();
  ASSERT_NE(Find<SendRoleOrder>(report(1000, 4)), nullptr);
  Answer("e", OrderAnswer::Lost);
  m_now += RoleChangeController::kAskEvery;
  Tick();
  EXPECT_NE(Find<AnnounceRoleUpdates>(report(2000, 0)), nullptr);
  EXPECT_EQ(m_controller.TargetOf("e"), std::nullopt);
  EXPECT_TRUE(m_controller.RoleUpdates().empty());
  // The later incarnation gets no order until a change is requested anew. That
  // order names the number of orders that this incarnation has accepted.
  m_now += RoleChangeController::kOrderAgain;
  EXPECT_EQ(Find<AskReport>(Tick()), nullptr);
  Want("e");
  m_now += RoleChangeController::kAnnounce;
  Tick();
  const auto again = report(2000, 0);
  ASSERT_NE(Find<SendRoleOrder>(again), nullptr);
  EXPECT_EQ(Find<SendRoleOrder>(again)->m_expectedOrders, 0);
}

} // namespace
} // namespace ridgeferry::relay
