#pragma once

#include "RawPeer.h"

#include <gtest/gtest.h>
#include <ridgeferry/net/HttpServer.h>

namespace ridgeferry::net {

/** A server on a loop of its own, and a plain socket that calls it. Not
 * thread-safe. */
class ServerFixture : public ::testing::Test
{
protected:
  static constexpr Duration kLongestTest{ 10'000 };
  static constexpr Duration kPollEvery{ 2 };

  ServerFixture()
    : m_loop(EventLoop::Make())
  {
  }

  /** Answers each request with 200 and keeps its body. */
  void Listen(const HttpServerLimits& aLimits)
  {
    auto server =
      HttpServer::Listen(*m_loop,
                         { "127.0.0.1", 0 },
                         aLimits,
                         [this](const std::shared_ptr<HttpExchange>& aCall) {
                           m_bodies += "<" + aCall->Body() + ">";
                           aCall->Reply(200, {}, "ok");
                         });
    ASSERT_TRUE(server.has_value());
    m_server = std::move(*server);
  }

  /** Runs until the condition holds; false: it never did. */
  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    bool held = false;
    const Watch poll = m_loop->Every(kPollEvery, [&] {
      m_peer.Poll();
      held = aCondition();
      if (held) {
        m_loop->Stop();
      }
    });
    const Watch guard = m_loop->After(kLongestTest, [this] { m_loop->Stop(); });
    m_loop->Run();
    return held;
  }

  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpServer> m_server;
  RawPeer m_peer;
  std::string m_bodies; ///< Of all requests that were answered, each in <>.
};

} // namespace ridgeferry::net
