#include <gtest/gtest.h>
#include <optional>
#include <ridgeferry/net/ConnectProbe.h>
#include <ridgeferry/net/HttpClient.h>
#include <ridgeferry/net/HttpServer.h>

namespace ridgeferry::net {
namespace {

constexpr Duration kTimeout{ 300 };
constexpr Duration kLongestTest{ 5000 };

class ConnectProbeTest : public ::testing::Test
{
protected:
  ConnectProbeTest()
    : m_loop(EventLoop::Make())
  {
    auto server = HttpServer::Listen(*m_loop, { "127.0.0.1", 0 }, {}, {});
    m_server = std::move(*server);
    m_address = m_server->Bound();
  }

  Reach Probe()
  {
    std::optional<Reach> out;
    const ConnectProbe probe(*m_loop, m_address, kTimeout, [&](Reach aReach) {
      out = aReach;
      m_loop->Stop();
    });
    const Watch guard = m_loop->After(kLongestTest, [this] { m_loop->Stop(); });
    m_loop->Run();
    return out.value_or(Reach::Unknown);
  }

  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<HttpServer> m_server;
  Address m_address;
};

TEST_F(ConnectProbeTest, TellsWhetherAnybodyListens)
{
  EXPECT_EQ(Probe(), Reach::Taken);
  m_server.reset();
  EXPECT_EQ(Probe(), Reach::Refused);
}

TEST_F(ConnectProbeTest, ARequestTellsThatNobodyListens)
{
  m_server.reset();
  HttpClient client(*m_loop);
  HttpRequest request;
  request.m_address = m_address.ToString();
  HttpResponse out;
  HttpCallbacks callbacks;
  callbacks.m_done = [&](const HttpResponse& aResponse) {
    out = aResponse;
    m_loop->Stop();
  };
  client.Send(request, std::move(callbacks));
  const Watch guard = m_loop->After(kLongestTest, [this] { m_loop->Stop(); });
  m_loop->Run();
  EXPECT_EQ(out.m_end, HttpEnd::NotSent);
  EXPECT_TRUE(out.m_refused);
}

} // namespace
} // namespace ridgeferry::net
