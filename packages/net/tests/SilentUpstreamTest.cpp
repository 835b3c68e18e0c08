// Upstreams whose connections stay open and fall silent, over real sockets. On
// one machine no packet can be withheld without privileges, so a peer that
// never reads plays the one that acknowledges nothing: the system's time-out
// for both is the same.

#include "RawPeer.h"

#include <gtest/gtest.h>
#include <ridgeferry/net/HttpClient.h>

namespace ridgeferry::net {
namespace {

constexpr Duration kLongestTest{ 20'000 };
constexpr Duration kPollEvery{ 2 };
constexpr std::string_view kAnswer =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";

class SilentUpstreamTest : public ::testing::Test
{
protected:
  SilentUpstreamTest()
    : m_loop(EventLoop::Make())
    , m_client(*m_loop)
    , m_guard(m_loop->After(kLongestTest, [this] { m_loop->Stop(); }))
  {
  }

  HttpRequest Request() const
  {
    HttpRequest out;
    out.m_address = m_listener.Bound().ToString();
    return out;
  }

  void Send(const HttpRequest& aRequest)
  {
    HttpCallbacks callbacks;
    callbacks.m_done = [this](const HttpResponse& aResponse) {
      m_ends.push_back(aResponse.m_end);
    };
    m_client.Send(aRequest, std::move(callbacks));
  }

  /** Runs until so many requests have ended. */
  bool RunTo(std::size_t aEnds)
  {
    const Watch poll = m_loop->Every(kPollEvery, [&] {
      Serve();
      if (m_ends.size() >= aEnds) {
        m_loop->Stop();
      }
    });
    m_loop->Run();
    return m_ends.size() >= aEnds;
  }

  void Serve()
  {
    if (RawPeer peer = m_listener.Accept(); peer.IsOpen()) {
      m_peers.push_back(std::move(peer));
      m_answered.push_back(0);
    }
    for (std::size_t i = 0; i < m_peers.size() && m_answers; ++i) {
      m_peers[i].Poll();
      if (m_peers[i].Received().size() > m_answered[i]) {
        m_answered[i] = m_peers[i].Received().size();
        m_peers[i].Send(kAnswer);
      }
    }
  }

  std::unique_ptr<EventLoop> m_loop;
  HttpClient m_client;
  Watch m_guard;
  RawListener m_listener;
  bool m_answers = true;
  std::vector<RawPeer> m_peers;
  std::vector<std::size_t> m_answered; ///< Bytes, of each peer.
  std::vector<HttpEnd> m_ends;
};

TEST_F(SilentUpstreamTest, BytesThatNobodyAcknowledgesEndTheRequest)
{
  constexpr std::size_t kMoreThanBuffersTake = std::size_t{ 64 } << 20U;
  m_answers = false;
  HttpRequest request = Request();
  request.m_method = "POST";
  request.m_body.assign(kMoreThanBuffersTake, 'x');
  request.m_timeout = kLongestTest * 2;
  Send(request);
  ASSERT_TRUE(RunTo(1));
  EXPECT_EQ(m_ends[0], HttpEnd::Broken);
}

TEST_F(SilentUpstreamTest, OtherKeptConnectionsAreNotTrustedAfterwards)
{
  Send(Request());
  Send(Request());
  ASSERT_TRUE(RunTo(2));
  ASSERT_EQ(m_peers.size(), 2U); // Both are kept.
  m_answers = false;
  HttpRequest request = Request();
  request.m_timeout = Duration{ 200 };
  Send(request);
  ASSERT_TRUE(RunTo(3));
  EXPECT_EQ(m_ends[2], HttpEnd::Broken);
  EXPECT_EQ(m_peers.size(), 2U);
  m_answers = true;
  Send(Request());
  ASSERT_TRUE(RunTo(4));
  EXPECT_EQ(m_ends[3], HttpEnd::Complete);
  EXPECT_EQ(m_peers.size(), 3U);
}

} // namespace
} // namespace ridgeferry::net
