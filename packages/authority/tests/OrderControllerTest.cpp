#include <gtest/gtest.h>
#include <ridgeferry/authority/OrderController.h>

namespace ridgeferry::authority {
namespace {

constexpr Instant kStart{ Duration{ 1'000'000 } };

/**
 * A controller that has authority, and one `decode` engine that should become
 * `prefill`.
 */
class OrderControllerTest : public ::testing::Test
{
protected:
  OrderControllerTest()
    : m_orderController("hall", "self")
  {
    m_state.m_bootId = "boot";
    m_state.m_role = "decode";
    Handle(TargetSet{ "e", { "prefill", "", "", "", true }, false });
    Handle(AuthorityChanged{ true, 1, 1 });
    Handle(OrderRowRead{ "e", { table::ReadStatus::Ok, { "", 0, "" } } });
    Handle(StateReported{ "e", m_state });
  }

  void Handle(const OrderEvent& aEvent, Duration aAfter = Duration{ 0 })
  {
    for (const OrderAction& action :
         m_orderController.Handle(aEvent, kStart + aAfter)) {
      if (const auto* record = std::get_if<RecordOrder>(&action)) {
        m_recorded = record->m_order;
      }
      if (const auto* send = std::get_if<SendOrder>(&action)) {
        m_sent.push_back(send->m_order.m_id);
      }
      if (const auto* settle = std::get_if<SettleOrder>(&action)) {
        m_settled = settle->m_order.m_how;
      }
    }
  }

  /** Returns the order row with the recorded order, not settled yet. */
  OrderRowRead OpenRow() const
  {
    return { "e",
             { table::ReadStatus::Ok, { "", 1, EncodeOrder(m_recorded) } } };
  }

  OrderController m_orderController;
  EngineState m_state;
  Order m_recorded;
  std::vector<std::string> m_sent;
  std::string m_settled;
};

// Guards against an order that is sent before the store has confirmed its
// record: another planner could then record a conflicting order.
TEST_F(OrderControllerTest, SendsOnlyWhatIsRecorded)
{
  EXPECT_TRUE(m_sent.empty());
  Handle(OrderWritten{
    "e", m_recorded.m_id, false, table::CommitResult::Committed });
  EXPECT_EQ(m_sent.size(), 1U);
}

// If the answer to the recording write is lost, the order may or may not be
// recorded. The order must not be sent until a read of the row shows it.
TEST_F(OrderControllerTest, SendsAfterALostAnswerOnlyOnceTheRowSaysSo)
{
  Handle(
    OrderWritten{ "e", m_recorded.m_id, false, table::CommitResult::Unknown });
  EXPECT_TRUE(m_sent.empty());
  Handle(OpenRow());
  EXPECT_EQ(m_sent.size(), 1U);
}

// Guards against an order that is sent twice: its answer is lost, and the
// sender loses the lease, regains it and reads its own order in the row.
TEST_F(OrderControllerTest, NeverSendsAnOrderAgainAfterRegainingTheLease)
{
  Handle(OrderWritten{
    "e", m_recorded.m_id, false, table::CommitResult::Committed });
  Handle(OrderAnswered{ "e", m_recorded.m_id, SendResult::Lost });
  Handle(AuthorityChanged{});
  Handle(AuthorityChanged{ true, 2, 2 });
  Handle(OpenRow());
  EXPECT_EQ(m_sent.size(), 1U);
  // The order may have arrived already, or may still arrive.
  EXPECT_EQ(m_settled, "");
}

/** How sending ended, and the expected settlement; empty: not settled. */
struct EndCase
{
  const char* m_name;
  SendResult m_result;
  const char* m_how;
};

class OrderEndTest
  : public OrderControllerTest
  , public ::testing::WithParamInterface<EndCase>
{};

TEST_P(OrderEndTest, IsSettledAsItsSendResultSays)
{
  Handle(OrderWritten{
    "e", m_recorded.m_id, false, table::CommitResult::Committed });
  Handle(OrderAnswered{ "e", m_recorded.m_id, GetParam().m_result });
  EXPECT_EQ(m_settled, GetParam().m_how);
}

INSTANTIATE_TEST_SUITE_P(
  Ends,
  OrderEndTest,
  ::testing::Values(EndCase{ "Taken", SendResult::Taken, "taken" },
                    EndCase{ "Refused", SendResult::Refused, "refused" },
                    EndCase{ "NotSent", SendResult::NotSent, "never sent" },
                    EndCase{ "Lost", SendResult::Lost, "" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Guards against a lost order that is settled too early, while it may still
// reach the engine, or that stays open although it can no longer arrive.
TEST_F(OrderControllerTest,
       SettlesALostOrderByAReportOrAfterTheUnresponsiveTime)
{
  Handle(OrderWritten{
    "e", m_recorded.m_id, false, table::CommitResult::Committed });
  Handle(OrderAnswered{ "e", m_recorded.m_id, SendResult::Lost });
  Handle(StateReported{ "e", m_state },
         OrderController::kUnresponsiveTime - Duration{ 1 });
  EXPECT_EQ(m_settled, "");
  Handle(StateReported{ "e", m_state }, OrderController::kUnresponsiveTime);
  EXPECT_EQ(m_settled, "never arrived");
}

} // namespace
} // namespace ridgeferry::authority
