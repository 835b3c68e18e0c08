#include <gtest/gtest.h>
#include <ridgeferry/authority/OrderDesk.h>

namespace ridgeferry::authority {
namespace {

constexpr Instant kStart{ Duration{ 1'000'000 } };

/** A desk with authority over one engine that should become `prefill`. */
class OrderDeskTest : public ::testing::Test
{
protected:
  OrderDeskTest()
    : m_desk("hall", "self")
  {
    m_state.m_bootId = "boot";
    m_state.m_role = "decode";
    Handle(TargetSet{ "e", { "prefill", "", "", "", true }, false });
    Handle(AuthorityChanged{ true, 1, 1 });
    Handle(OrderRowRead{ "e", { table::ReadStatus::Ok, { "", 0, "" } } });
    Handle(StateReported{ "e", m_state });
  }

  void Handle(const DeskEvent& aEvent, Duration aAfter = Duration{ 0 })
  {
    for (const DeskAction& action : m_desk.Handle(aEvent, kStart + aAfter)) {
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

  /** The row of the recorded order, not settled. */
  OrderRowRead OpenRow() const
  {
    return { "e",
             { table::ReadStatus::Ok, { "", 1, EncodeOrder(m_recorded) } } };
  }

  OrderDesk m_desk;
  EngineState m_state;
  Order m_recorded;
  std::vector<std::string> m_sent;
  std::string m_settled;
};

TEST_F(OrderDeskTest, SendsOnlyWhatIsRecorded)
{
  EXPECT_TRUE(m_sent.empty());
  Handle(OrderWritten{
    "e", m_recorded.m_id, false, table::CommitResult::Committed });
  EXPECT_EQ(m_sent.size(), 1U);
}

TEST_F(OrderDeskTest, SendsAfterALostAnswerOnlyOnceTheRowSaysSo)
{
  Handle(
    OrderWritten{ "e", m_recorded.m_id, false, table::CommitResult::Unknown });
  EXPECT_TRUE(m_sent.empty());
  Handle(OpenRow());
  EXPECT_EQ(m_sent.size(), 1U);
}

TEST_F(OrderDeskTest, NeverSendsAnOrderAgainAfterRegainingTheLease)
{
  Handle(OrderWritten{
    "e", m_recorded.m_id, false, table::CommitResult::Committed });
  Handle(OrderAnswered{ "e", m_recorded.m_id, SendResult::Lost });
  Handle(AuthorityChanged{});
  Handle(AuthorityChanged{ true, 2, 2 });
  Handle(OpenRow());
  EXPECT_EQ(m_sent.size(), 1U);
  EXPECT_EQ(m_settled, ""); // It may have arrived, or arrive yet.
}

struct EndCase
{
  const char* m_name;
  SendResult m_result;
  const char* m_how;
};

class OrderEndTest
  : public OrderDeskTest
  , public ::testing::WithParamInterface<EndCase>
{};

TEST_P(OrderEndTest, IsSettledAsWhatItIs)
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

TEST_F(OrderDeskTest, SettlesALostOrderByTheEnginesWordOrByItsSilence)
{
  Handle(OrderWritten{
    "e", m_recorded.m_id, false, table::CommitResult::Committed });
  Handle(OrderAnswered{ "e", m_recorded.m_id, SendResult::Lost });
  Handle(StateReported{ "e", m_state }, OrderDesk::kSilence - Duration{ 1 });
  EXPECT_EQ(m_settled, "");
  Handle(StateReported{ "e", m_state }, OrderDesk::kSilence);
  EXPECT_EQ(m_settled, "never arrived");
}

} // namespace
} // namespace ridgeferry::authority
