// Guards against "not sent" being said of a request whose bytes have left: the
// loop stands still while its connection comes about and its time for that
// passes.

#include "RawPeer.h"

#include <gtest/gtest.h>
#include <optional>
#include <ostream>
#include <ridgeferry/net/HttpClient.h>
#include <thread>

namespace ridgeferry::net {
namespace {

constexpr Duration kConnectTimeout{ 30 };
constexpr Duration kRequestTimeout{ 120 };
constexpr Duration kLongestTest{ 5000 };
/** So often, as both come in one turn of the loop by chance. */
constexpr int kRuns = 10;

struct StallCase
{
  const char* m_name;
  Duration m_stall; ///< Of the loop, as soon as the request is given to it.
  std::size_t m_bodyBytes;
};

std::ostream&
operator<<(std::ostream& aOut, const StallCase& aCase)
{
  return aOut << aCase.m_name;
}

class NotSentTest : public ::testing::TestWithParam<StallCase>
{
protected:
  HttpResponse Ask()
  {
    HttpRequest request;
    request.m_method = "POST";
    request.m_address = m_listener.Bound().ToString();
    request.m_body = std::string(GetParam().m_bodyBytes, 'b');
    request.m_connectTimeout = kConnectTimeout;
    request.m_timeout = kRequestTimeout;
    std::optional<HttpResponse> out;
    HttpCallbacks callbacks;
    callbacks.m_done = [&](const HttpResponse& aResponse) {
      out = aResponse;
      m_loop->Stop();
    };
    m_client.Send(request, std::move(callbacks));
    std::this_thread::sleep_for(GetParam().m_stall);
    const Watch guard = m_loop->After(kLongestTest, [this] { m_loop->Stop(); });
    m_loop->Run();
    return out.value_or(HttpResponse{});
  }

  RawListener m_listener;
  std::unique_ptr<EventLoop> m_loop = EventLoop::Make();
  HttpClient m_client{ *m_loop };
};

TEST_P(NotSentTest, NothingOfTheRequestHasLeft)
{
  for (int i = 0; i < kRuns; ++i) {
    const HttpResponse response = Ask();
    ASSERT_NE(response.m_end, HttpEnd::Complete);
    RawPeer peer = m_listener.Accept();
    ASSERT_TRUE(peer.IsOpen());
    peer.Poll();
    EXPECT_EQ(response.m_end == HttpEnd::NotSent, peer.Received().empty());
    EXPECT_EQ(response.m_sent.m_bytesWritten == 0, peer.Received().empty());
  }
}

INSTANTIATE_TEST_SUITE_P(
  Stalls,
  NotSentTest,
  ::testing::Values(
    StallCase{ "None", {}, 0 },
    StallCase{ "Shorter", kConnectTimeout / 2, 600 },
    StallCase{ "AsLong", kConnectTimeout, 600 },
    StallCase{ "Longer", kConnectTimeout * 2, 600 },
    StallCase{ "LongerWithALongBody", kConnectTimeout * 2, 200'000 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::net
