// Guards against requests that together hold more memory than their process
// has: the budget alone, and a server that shares it.

#include "RawPeer.h"

#include <gtest/gtest.h>
#include <list>
#include <ridgeferry/net/BodyBudget.h>
#include <ridgeferry/net/HttpServer.h>
#include <sstream>

namespace ridgeferry::net {
namespace {

constexpr std::size_t kSmall = BodyBudget::kSmall;
constexpr std::size_t kMost = 16 * kSmall;

/** Bodies that are held, and whether one more has room. */
struct RoomCase
{
  const char* m_name;
  std::vector<std::size_t> m_held;
  std::size_t m_more;
  bool m_hasRoom;
};

class BodyBudgetTest : public ::testing::TestWithParam<RoomCase>
{};

TEST_P(BodyBudgetTest, IsShared)
{
  BodyBudget budget(kMost);
  std::size_t sum = 0;
  std::size_t refused = 0;
  budget.SignalRefused().connect([&](std::size_t aBytes) { refused = aBytes; });
  {
    std::list<BodyShare> shares;
    for (const std::size_t bytes : GetParam().m_held) {
      ASSERT_TRUE(shares.emplace_back(&budget).RaiseTo(bytes));
      sum += bytes;
    }
    BodyShare more(&budget);
    EXPECT_EQ(more.RaiseTo(GetParam().m_more), GetParam().m_hasRoom);
    EXPECT_EQ(refused, GetParam().m_hasRoom ? 0 : GetParam().m_more);
    EXPECT_EQ(budget.Held(),
              sum + (GetParam().m_hasRoom ? GetParam().m_more : 0));
  }
  EXPECT_EQ(budget.Held(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Bodies,
  BodyBudgetTest,
  ::testing::Values(
    RoomCase{ "OneAlone", {}, 3 * kMost, true },
    RoomCase{ "LargeOnes", { 4 * kSmall, 4 * kSmall }, 4 * kSmall, true },
    RoomCase{ "OneTooMany",
              { 4 * kSmall, 4 * kSmall, 4 * kSmall },
              kSmall + 1,
              false },
    RoomCase{ "SmallOnesHaveMoreRoom",
              { 4 * kSmall, 4 * kSmall, 4 * kSmall },
              kSmall,
              true },
    RoomCase{ "NotWithoutBound", { kMost - kSmall + 1 }, kSmall, false },
    RoomCase{ "BehindOneThatIsTooLargeAlone", { 3 * kMost }, 1, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(BodyShareTest, MovesWithItsRequest)
{
  BodyBudget budget(kMost);
  BodyShare first(&budget);
  ASSERT_TRUE(first.RaiseTo(kSmall));
  {
    const BodyShare second(std::move(first));
    EXPECT_EQ(budget.Held(), kSmall);
  }
  EXPECT_EQ(budget.Held(), 0U);
}

/** How requests tell how long their bodies are. */
enum class Framing
{
  Length,
  Chunks,
};

class SharedBodiesTest : public ::testing::TestWithParam<Framing>
{
protected:
  SharedBodiesTest()
    : m_loop(EventLoop::Make())
    , m_budget(kMost)
  {
    HttpServerLimits limits;
    limits.m_maxBodyBytes = kMost;
    auto server = HttpServer::Listen(
      *m_loop,
      *Address::Parse("127.0.0.1:0"),
      limits,
      [this](const std::shared_ptr<HttpExchange>& aExchange) {
        m_waiting.push_back(aExchange);
      });
    EXPECT_TRUE(server.has_value());
    m_server = std::move(*server);
    m_server->ShareBodies(&m_budget);
  }

  void RunFor(Duration aTime)
  {
    const Watch end = m_loop->After(aTime, [this] { m_loop->Stop(); });
    m_loop->Run();
  }

  RawPeer Ask(std::size_t aBytes)
  {
    RawPeer caller = RawPeer::Connect(m_server->Bound());
    std::string text = "POST /x HTTP/1.1\r\nHost: h\r\n";
    const std::string body(aBytes, 'x');
    if (GetParam() == Framing::Length) {
      text += "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n" + body;
    } else {
      std::ostringstream size;
      size << std::hex << aBytes;
      text += "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" +
              body + "\r\n0\r\n\r\n";
    }
    std::string_view left = text;
    while (!left.empty()) {
      left.remove_prefix(caller.SendSome(left));
      RunFor(Duration{ 2 });
    }
    RunFor(Duration{ 20 });
    caller.Poll();
    return caller;
  }

  std::unique_ptr<EventLoop> m_loop;
  BodyBudget m_budget;
  std::vector<std::shared_ptr<HttpExchange>> m_waiting;
  std::unique_ptr<HttpServer> m_server;
};

TEST_P(SharedBodiesTest, WithoutRoomItIsRefusedAtOnceAndNotRun)
{
  const RawPeer first = Ask(8 * kSmall);
  ASSERT_EQ(m_waiting.size(), 1U);
  EXPECT_EQ(m_budget.Held(), 8 * kSmall);
  const RawPeer refused = Ask(8 * kSmall);
  EXPECT_EQ(m_waiting.size(), 1U);
  EXPECT_TRUE(refused.Received().starts_with("HTTP/1.1 503 "));
  EXPECT_NE(refused.Received().find("Retry-After: "), std::string::npos);
  EXPECT_NE(refused.Received().find("not-run"), std::string::npos);
  const RawPeer small = Ask(100);
  EXPECT_EQ(m_waiting.size(), 2U);
  for (const auto& exchange : m_waiting) {
    exchange->Reply(200, {}, "");
  }
  m_waiting.clear();
  EXPECT_EQ(m_budget.Held(), 0U);
  const RawPeer again = Ask(8 * kSmall);
  EXPECT_EQ(m_waiting.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Framings,
                         SharedBodiesTest,
                         ::testing::Values(Framing::Length, Framing::Chunks),
                         [](const auto& aInfo) {
                           return aInfo.param == Framing::Length
                                    ? std::string("Length")
                                    : std::string("Chunks");
                         });

} // namespace
} // namespace ridgeferry::net
