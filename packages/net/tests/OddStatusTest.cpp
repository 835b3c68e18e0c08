// Guards against an answer whose status is none of the protocol being taken
// for an answer, or for the announcement of one: over real sockets.

#include "RawPeer.h"

#include <gtest/gtest.h>
#include <ostream>
#include <ridgeferry/net/HttpClient.h>

namespace ridgeferry::net {
namespace {

constexpr Duration kLongestTest{ 10'000 };
constexpr Duration kPollEvery{ 2 };
/** For which the client waits in silence. */
constexpr Duration kTimeout{ 4000 };
/** An answer is judged when it is there. */
constexpr Duration kAtOnce{ 1000 };
constexpr const char* kId = "X-Request-Id";

struct StatusCase
{
  const char* m_name;
  const char* m_status; ///< As the upstream sends it.
  HttpEnd m_end;
};

std::ostream&
operator<<(std::ostream& aOut, const StatusCase& aCase)
{
  return aOut << aCase.m_name;
}

class OddStatusTest : public ::testing::TestWithParam<StatusCase>
{
protected:
  OddStatusTest()
    : m_loop(EventLoop::Make())
    , m_client(*m_loop)
  {
  }

  static std::string Answer(const std::string& aStatus)
  {
    return "HTTP/1.1 " + aStatus + " X\r\nX-Request-Id: mine\r\n" +
           "Content-Length: 2\r\n\r\nab";
  }

  void Serve(const std::string& aBytes)
  {
    if (RawPeer peer = m_listener.Accept(); peer.IsOpen()) {
      m_peer = std::move(peer);
    }
    m_peer.Poll();
    if (!m_served && m_peer.Received().find("\r\n\r\n") != std::string::npos) {
      m_served = true;
      m_peer.Send(aBytes);
    }
  }

  /** Asks an upstream that answers with these bytes and keeps its connection.
   */
  HttpResponse Ask(const std::string& aBytes)
  {
    HttpRequest request;
    request.m_address = m_listener.Bound().ToString();
    request.m_timeout = kTimeout;
    request.m_headers.Add(kId, "mine");
    request.m_mustEcho = { kId, "mine" };
    HttpResponse out;
    HttpCallbacks callbacks;
    callbacks.m_head = [this](const HttpHead&) { ++m_heads; };
    callbacks.m_done = [&](const HttpResponse& aResponse) {
      out = aResponse;
      m_loop->Stop();
    };
    m_client.Send(request, std::move(callbacks));
    const Watch serve = m_loop->Every(kPollEvery, [&] { Serve(aBytes); });
    const Watch guard = m_loop->After(kLongestTest, [this] { m_loop->Stop(); });
    m_loop->Run();
    return out;
  }

  std::unique_ptr<EventLoop> m_loop;
  HttpClient m_client;
  RawListener m_listener;
  RawPeer m_peer;
  bool m_served = false;
  int m_heads = 0;
};

TEST_P(OddStatusTest, IsJudgedAtOnce)
{
  const Instant began = m_loop->Now();
  const HttpResponse response = Ask(Answer(GetParam().m_status));
  EXPECT_EQ(response.m_end, GetParam().m_end);
  EXPECT_FALSE(response.m_silent);
  EXPECT_LT(m_loop->Now() - began, kAtOnce);
  EXPECT_EQ(m_heads, GetParam().m_end == HttpEnd::Complete ? 1 : 0);
}

// What comes behind it on its connection may be another request's.
TEST_P(OddStatusTest, NothingBehindItIsTakenForTheAnswer)
{
  const HttpResponse response =
    Ask(Answer(GetParam().m_status) + Answer("200"));
  EXPECT_EQ(response.m_end, GetParam().m_end);
  EXPECT_EQ(m_heads, GetParam().m_end == HttpEnd::Complete ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
  Statuses,
  OddStatusTest,
  ::testing::Values(StatusCase{ "Least", "200", HttpEnd::Complete },
                    StatusCase{ "Most", "599", HttpEnd::Complete },
                    StatusCase{ "Zeros", "000", HttpEnd::Broken },
                    StatusCase{ "One", "001", HttpEnd::Broken },
                    StatusCase{ "BelowAll", "099", HttpEnd::Broken },
                    StatusCase{ "AboveAll", "600", HttpEnd::Broken },
                    StatusCase{ "Nines", "999", HttpEnd::Broken },
                    // Nobody asked for another protocol.
                    StatusCase{ "OtherProtocol", "101", HttpEnd::Broken },
                    StatusCase{ "TwoDigits", "20", HttpEnd::Broken },
                    StatusCase{ "FourDigits", "2000", HttpEnd::Broken },
                    StatusCase{ "Signed", "-20", HttpEnd::Broken }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::net
