// Answers that end with their connection, as a raw caller sees them.

#include "RawPeer.h"

#include <gtest/gtest.h>
#include <ostream>
#include <ridgeferry/net/HttpServer.h>

namespace ridgeferry::net {
namespace {

constexpr Duration kLongestTest{ 5'000 };
constexpr Duration kPollEvery{ 2 };
constexpr Duration kEndAfter{ 30 };

enum class End
{
  Regular,
  Aborted,
  AbortedAtOnce, ///< Before the loop has written anything.
  /** The process ends, as far as its sockets can tell. */
  ServerGone,
};

struct UnframedCase
{
  const char* m_name;
  std::string m_body;
  /** Bytes that the caller sends behind its request. */
  std::string m_surplus;
  End m_end;
  bool m_isReset;
};

std::ostream&
operator<<(std::ostream& aOut, const UnframedCase& aCase)
{
  return aOut << aCase.m_name;
}

class UnframedAnswerTest : public ::testing::TestWithParam<UnframedCase>
{
protected:
  UnframedAnswerTest()
    : m_loop(EventLoop::Make())
  {
    auto made = HttpServer::Listen(
      *m_loop,
      { "127.0.0.1", 0 },
      {},
      [this](const std::shared_ptr<HttpExchange>& aCall) { Answer(aCall); });
    m_server = std::move(*made);
  }

  void Answer(const std::shared_ptr<HttpExchange>& aCall)
  {
    m_call = aCall;
    aCall->StartStream(200, {}, BodyFraming::Close);
    aCall->SendChunk(GetParam().m_body);
    if (GetParam().m_end == End::AbortedAtOnce) {
      m_call->Abort();
    }
    m_ending = m_loop->After(kEndAfter, [this] { EndIt(); });
  }

  void EndIt()
  {
    if (GetParam().m_end == End::Regular) {
      m_call->EndStream();
    } else if (GetParam().m_end == End::Aborted) {
      m_call->Abort();
    } else if (GetParam().m_end == End::ServerGone) {
      m_server.reset();
    }
  }

  RawPeer Ask()
  {
    RawPeer caller = RawPeer::Connect(m_server->Bound());
    caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n" + GetParam().m_surplus);
    const Watch poll = m_loop->Every(kPollEvery, [&] {
      caller.Poll();
      if (caller.IsClosed()) {
        m_loop->Stop();
      }
    });
    const Watch guard = m_loop->After(kLongestTest, [this] { m_loop->Stop(); });
    m_loop->Run();
    return caller;
  }

  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpServer> m_server;
  std::shared_ptr<HttpExchange> m_call;
  Watch m_ending;
};

// Guards against an answer that was broken off here and that reads like a whole
// one to its caller.
TEST_P(UnframedAnswerTest, EndsInGoodOrderOnlyIfItIsWhole)
{
  const RawPeer caller = Ask();
  EXPECT_TRUE(caller.IsClosed());
  EXPECT_EQ(caller.IsReset(), GetParam().m_isReset);
  const std::string& got = caller.Received();
  EXPECT_NE(got.find("Connection: close\r\n"), std::string::npos) << got;
  EXPECT_EQ(got.find("Transfer-Encoding"), std::string::npos) << got;
  EXPECT_EQ(got.find("Content-Length"), std::string::npos) << got;
  EXPECT_TRUE(got.ends_with("\r\n\r\n" + GetParam().m_body)) << got.size();
}

/** More than a socket's buffers take at once. */
const std::string kLarge = std::string(std::size_t{ 8 } * 1024 * 1024, 'x');
const std::string kNext = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
  Ends,
  UnframedAnswerTest,
  ::testing::Values(
    UnframedCase{ "Regular", "answer", "", End::Regular, false },
    UnframedCase{ "RegularWithoutABody", "", "", End::Regular, false },
    UnframedCase{ "RegularAndLarge", kLarge, "", End::Regular, false },
    UnframedCase{ "RegularBeforeANextRequest",
                  "answer",
                  kNext,
                  End::Regular,
                  false },
    UnframedCase{ "Aborted", "answer", "", End::Aborted, true },
    UnframedCase{ "AbortedAtOnce", "answer", "", End::AbortedAtOnce, true },
    UnframedCase{ "ServerGone", "answer", "", End::ServerGone, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

struct RequestCase
{
  const char* m_name;
  const char* m_request;
  const char* m_body; ///< All that follows the answer's head.
  bool m_isFramed;
  bool m_closes;
};

std::ostream&
operator<<(std::ostream& aOut, const RequestCase& aCase)
{
  return aOut << aCase.m_name;
}

class PiecesTest : public ::testing::TestWithParam<RequestCase>
{};

// Guards against an answer in pieces that its caller cannot read.
TEST_P(PiecesTest, AreFramedAsTheRequestAllows)
{
  const auto loop = EventLoop::Make();
  const auto server =
    HttpServer::Listen(*loop,
                       { "127.0.0.1", 0 },
                       {},
                       [](const std::shared_ptr<HttpExchange>& aCall) {
                         aCall->StartStream(200, {});
                         aCall->SendChunk("ab");
                         aCall->EndStream();
                       });
  RawPeer caller = RawPeer::Connect((*server)->Bound());
  caller.Send(GetParam().m_request);
  const Watch poll = loop->Every(kPollEvery, [&] { caller.Poll(); });
  const Watch end = loop->After(10 * kEndAfter, [&] { loop->Stop(); });
  loop->Run();
  const std::string& got = caller.Received();
  const std::size_t head = got.find("\r\n\r\n");
  ASSERT_NE(head, std::string::npos);
  EXPECT_EQ(got.substr(head + 4), GetParam().m_body);
  EXPECT_EQ(got.find("Transfer-Encoding: chunked") < head,
            GetParam().m_isFramed);
  EXPECT_EQ(caller.IsClosed(), GetParam().m_closes);
  EXPECT_FALSE(caller.IsReset());
}

INSTANTIATE_TEST_SUITE_P(
  Requests,
  PiecesTest,
  ::testing::Values(RequestCase{ "Present",
                                 "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                                 "2\r\nab\r\n0\r\n\r\n",
                                 true,
                                 false },
                    RequestCase{ "OldProtocol",
                                 "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
                                 "ab",
                                 false,
                                 true },
                    RequestCase{ "OldProtocolThatKeepsItsConnection",
                                 "GET / HTTP/1.0\r\nHost: h\r\n"
                                 "Connection: keep-alive\r\n\r\n",
                                 "ab",
                                 false,
                                 true },
                    RequestCase{ "HeadOnly",
                                 "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n",
                                 "",
                                 true,
                                 false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::net
