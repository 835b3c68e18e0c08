#include "RawPeer.h"

#include <gtest/gtest.h>
#include <optional>
#include <ostream>
#include <ridgeferry/upstream/ServiceClient.h>
#include <variant>

namespace ridgeferry::upstream {
namespace {

constexpr Duration kLongestTest{ 5'000 };
constexpr Duration kPollEvery{ 2 };

/** How a call ends that its service answers by these bytes and a close. */
struct ServiceCase
{
  const char* m_name;
  const char* m_bytes;
  bool m_answered;
  bool m_unframed;
  std::optional<Duration> m_backOff = {};
};

std::ostream&
operator<<(std::ostream& aOut, const ServiceCase& aCase)
{
  return aOut << aCase.m_name;
}

class ServiceClientTest : public ::testing::TestWithParam<ServiceCase>
{
protected:
  void Serve()
  {
    if (net::RawPeer peer = m_listener.Accept(); peer.IsOpen()) {
      m_peer = std::move(peer);
    }
    m_peer.Poll();
    if (m_peer.Received().find("\r\n\r\n") != std::string::npos) {
      m_peer.Send(GetParam().m_bytes);
      m_peer.Close();
    }
  }

  std::unique_ptr<net::EventLoop> m_loop = net::EventLoop::Make();
  net::HttpClient m_http{ *m_loop };
  ServiceClient m_client{ m_http };
  net::RawListener m_listener;
  net::RawPeer m_peer;
};

// Guards against a service's answer that was cut and counts as whole.
TEST_P(ServiceClientTest, SaysWhetherTheAnswerIsProvenWhole)
{
  ServiceRequest request;
  request.m_address = m_listener.Bound().ToString();
  request.m_method = "GET";
  request.m_target = "/";
  request.m_timeout = kLongestTest;
  std::optional<Answer> answer;
  std::optional<Failure> failure;
  ServiceCallbacks callbacks;
  callbacks.m_answered = [&](const Answer& aAnswer) {
    answer = aAnswer;
    m_loop->Stop();
  };
  callbacks.m_failed = [&](Failure aFailure) {
    failure = aFailure;
    m_loop->Stop();
  };
  std::optional<Duration> backOff;
  callbacks.m_backsOff = [&](Duration aFor) { backOff = aFor; };
  m_client.Call(request, callbacks);
  const net::Watch serve = m_loop->Every(kPollEvery, [this] { Serve(); });
  const net::Watch guard =
    m_loop->After(kLongestTest, [this] { m_loop->Stop(); });
  m_loop->Run();
  EXPECT_EQ(backOff, GetParam().m_backOff);
  ASSERT_EQ(answer.has_value(), GetParam().m_answered);
  if (answer) {
    EXPECT_EQ(answer->m_unframed, GetParam().m_unframed);
    EXPECT_EQ(answer->m_body, "ab");
  } else {
    EXPECT_EQ(failure, Failure::Broken);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  ServiceClientTest,
  ::testing::Values(
    ServiceCase{ "Length",
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
                 true,
                 false },
    ServiceCase{ "CutLength",
                 "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
                 false,
                 false },
    ServiceCase{ "BacksOff",
                 "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\n"
                 "Content-Length: 2\r\n\r\nab",
                 true,
                 false,
                 Duration{ 2000 } },
    ServiceCase{ "OddBackOff",
                 "HTTP/1.1 503 Busy\r\nRetry-After: soon\r\n"
                 "Content-Length: 2\r\n\r\nab",
                 true,
                 false },
    ServiceCase{ "Unframed", "HTTP/1.1 200 OK\r\n\r\nab", true, true },
    ServiceCase{ "OldProtocol", "HTTP/1.0 200 OK\r\n\r\nab", true, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::upstream
