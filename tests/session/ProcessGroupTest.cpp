// Guards against processes that keep the connections open which the starter has
// at that moment: when it closes one, its peer would not see the end.

#include "ProcessGroup.h"

#include <gtest/gtest.h>
#include <ridgeferry/net/HttpClient.h>
#include <ridgeferry/net/HttpServer.h>

namespace ridgeferry::session {
namespace {

/** Longer than the test: the process must not end before its check. */
constexpr const char* kSleepSeconds = "30";
constexpr Duration kLongestWait{ 2000 };
constexpr Duration kPollEvery{ 5 };

class ProcessGroupTest : public ::testing::Test
{
protected:
  ProcessGroupTest()
    : m_loop(net::EventLoop::Make())
    , m_client(*m_loop)
  {
    auto server = net::HttpServer::Listen(
      *m_loop,
      { "127.0.0.1", 0 },
      {},
      [this](const std::shared_ptr<net::HttpExchange>& aExchange) {
        m_exchange = aExchange;
        aExchange->SignalLeft().connect([this] { m_hasLeft = true; });
      });
    m_server = std::move(*server);
  }

  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    bool held = false;
    const net::Watch poll = m_loop->Every(kPollEvery, [&] {
      held = aCondition();
      if (held) {
        m_loop->Stop();
      }
    });
    const net::Watch guard =
      m_loop->After(kLongestWait, [this] { m_loop->Stop(); });
    m_loop->Run();
    return held;
  }

  std::unique_ptr<net::EventLoop> m_loop;
  net::HttpClient m_client;
  std::unique_ptr<net::HttpServer> m_server;
  std::shared_ptr<net::HttpExchange> m_exchange;
  bool m_hasLeft = false;
};

TEST_F(ProcessGroupTest, AProcessKeepsNoConnectionOfItsStarter)
{
  net::HttpRequest request;
  request.m_address = m_server->Bound().ToString();
  const net::HttpCallId call = m_client.Send(request, {});
  ASSERT_TRUE(RunUntil([this] { return m_exchange != nullptr; }));
  ProcessGroup group;
  ASSERT_TRUE(
    group.Start("sleeper", { "/bin/sleep", kSleepSeconds }, "/dev/null"));
  m_client.Cancel(call);
  EXPECT_TRUE(RunUntil([this] { return m_hasLeft; }));
  EXPECT_FALSE(group.HasEnded("sleeper", nullptr));
}

} // namespace
} // namespace ridgeferry::session
