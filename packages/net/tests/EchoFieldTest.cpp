// Guards against an answer that its caller cannot tell from one to an earlier
// request on the same connection.

#include "RawPeer.h"

#include <gtest/gtest.h>
#include <ostream>
#include <ridgeferry/net/HttpServer.h>

namespace ridgeferry::net {
namespace {

constexpr Duration kLongestTest{ 10'000 };
constexpr Duration kPollEvery{ 2 };
constexpr std::string_view kEcho = "\r\nEcho-This: seven\r\n";

struct EchoCase
{
  const char* m_name;
  std::string m_head; ///< Behind the request line.
  std::string m_target;
  const char* m_status;
  bool m_isEchoed;
};

std::ostream&
operator<<(std::ostream& aOut, const EchoCase& aCase)
{
  return aOut << aCase.m_name;
}

class EchoFixture : public ::testing::Test
{
protected:
  static void Answer(const std::shared_ptr<HttpExchange>& aExchange)
  {
    if (aExchange->Path() == "/pieces") {
      aExchange->StartStream(200, {});
      aExchange->SendChunk("piece");
      aExchange->EndStream();
    } else if (aExchange->Path() == "/unframed") {
      aExchange->ReplyUnframed(200, {}, "whole");
    } else {
      aExchange->Reply(200, {}, "whole");
    }
  }

  /** What has come once the bytes hold `aText`, or after the longest time. */
  std::string ReadUntil(RawPeer& aPeer, std::string_view aText)
  {
    const Watch poll = m_loop->Every(kPollEvery, [&] {
      aPeer.Poll();
      if (aPeer.Received().find(aText) != std::string::npos) {
        m_loop->Stop();
      }
    });
    const Watch guard = m_loop->After(kLongestTest, [this] { m_loop->Stop(); });
    m_loop->Run();
    return aPeer.Received();
  }

  std::unique_ptr<EventLoop> m_loop = EventLoop::Make();
};

class EchoFieldTest
  : public EchoFixture
  , public ::testing::WithParamInterface<EchoCase>
{};

TEST_P(EchoFieldTest, EachAnswerNamesItsRequest)
{
  HttpServerLimits limits;
  limits.m_maxBodyBytes = 10;
  auto server = HttpServer::Listen(
    *m_loop, { "127.0.0.1", 0 }, limits, sigc::ptr_fun(&Answer));
  ASSERT_TRUE(server.has_value());
  (*server)->EchoField("Echo-This");
  RawPeer peer = RawPeer::Connect((*server)->Bound());
  peer.Send("POST " + GetParam().m_target + " HTTP/1.1\r\n" +
            GetParam().m_head);
  const std::string got = ReadUntil(peer, "\r\n\r\n");
  EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 " + std::string(GetParam().m_status));
  EXPECT_EQ(got.find(kEcho) != std::string::npos, GetParam().m_isEchoed) << got;
}

TEST_F(EchoFixture, TheNextRequestIsNotNamedAsTheOneBefore)
{
  auto server =
    HttpServer::Listen(*m_loop, { "127.0.0.1", 0 }, {}, sigc::ptr_fun(&Answer));
  ASSERT_TRUE(server.has_value());
  (*server)->EchoField("Echo-This");
  RawPeer peer = RawPeer::Connect((*server)->Bound());
  peer.Send("GET /one HTTP/1.1\r\nHost: h\r\nEcho-This: seven\r\n\r\n");
  const std::string first = ReadUntil(peer, "whole");
  EXPECT_NE(first.find(kEcho), std::string::npos);
  peer.Send("GET /two HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string both = ReadUntil(peer, "wholeHTTP/1.1 200");
  EXPECT_EQ(both.find(kEcho, first.size()), std::string::npos) << both;
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  EchoFieldTest,
  ::testing::Values(
    EchoCase{ "Whole",
              "Host: h\r\nEcho-This: seven\r\nContent-Length: 0\r\n\r\n",
              "/",
              "200",
              true },
    EchoCase{ "InPieces",
              "Host: h\r\necho-this: seven\r\nContent-Length: 0\r\n\r\n",
              "/pieces",
              "200",
              true },
    EchoCase{ "Unframed",
              "Host: h\r\nEcho-This: seven\r\nContent-Length: 0\r\n\r\n",
              "/unframed",
              "200",
              true },
    EchoCase{ "NotAsked",
              "Host: h\r\nContent-Length: 0\r\n\r\n",
              "/",
              "200",
              false },
    EchoCase{ "RefusedByTheServer",
              "Host: h\r\nEcho-This: seven\r\nContent-Length: 11\r\n\r\n",
              "/",
              "413",
              false },
    EchoCase{ "RefusedForItsHead",
              "Echo-This: seven\r\nContent-Length: 0\r\n\r\n",
              "/",
              "400",
              true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::net
