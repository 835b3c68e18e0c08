#include <gtest/gtest.h>
#include <ridgeferry/net/HttpClient.h>
#include <ridgeferry/net/HttpServer.h>

namespace ridgeferry::net {
namespace {

constexpr Duration kLongestTest{ 10'000 };

/** How the server treats a request, and how the client sees its end. */
struct EndCase
{
  const char* m_name;
  void (*m_serve)(const std::shared_ptr<HttpExchange>&);
  HttpEnd m_end;
  const char* m_body;
};

class HttpTest : public ::testing::Test
{
protected:
  HttpTest()
    : m_loop(EventLoop::Make())
    , m_client(*m_loop)
  {
  }

  void Serve(HttpServer::Handler aHandler)
  {
    auto server =
      HttpServer::Listen(*m_loop, { "127.0.0.1", 0 }, {}, std::move(aHandler));
    ASSERT_TRUE(server.has_value()) << server.error().m_cause;
    m_server = std::move(*server);
  }

  HttpResponse Ask(const std::string& aAddress,
                   bool aFresh = false,
                   Duration aLongestRest = Duration::max())
  {
    HttpRequest request;
    request.m_address = aAddress;
    request.m_fresh = aFresh;
    request.m_longestRest = aLongestRest;
    HttpResponse out;
    HttpCallbacks callbacks;
    callbacks.m_done = [&](const HttpResponse& aResponse) {
      out = aResponse;
      m_loop->Stop();
    };
    m_client.Send(request, std::move(callbacks));
    const Watch guard = m_loop->After(kLongestTest, [this] { m_loop->Stop(); });
    m_loop->Run();
    return out;
  }

  std::unique_ptr<EventLoop> m_loop;
  HttpClient m_client;
  std::unique_ptr<HttpServer> m_server;
};

class HttpEndTest
  : public HttpTest
  , public ::testing::WithParamInterface<EndCase>
{};

TEST_P(HttpEndTest, IsSeenAsWhatItIs)
{
  Serve(GetParam().m_serve);
  for (int i = 0; i < 3; ++i) {
    const HttpResponse response = Ask(m_server->Bound().ToString());
    EXPECT_EQ(response.m_end, GetParam().m_end);
    EXPECT_EQ(response.m_body, GetParam().m_body);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Ends,
  HttpEndTest,
  ::testing::Values(
    EndCase{ "Whole",
             [](const std::shared_ptr<HttpExchange>& aExchange) {
               aExchange->Reply(200, {}, "body");
             },
             HttpEnd::Complete,
             "body" },
    EndCase{ "Streamed",
             [](const std::shared_ptr<HttpExchange>& aExchange) {
               aExchange->StartStream(200, {});
               aExchange->SendChunk("bo");
               aExchange->SendChunk("dy");
               aExchange->EndStream();
             },
             HttpEnd::Complete,
             "body" },
    EndCase{ "ClosedWithoutAnswer",
             [](const std::shared_ptr<HttpExchange>& aExchange) {
               aExchange->Abort();
             },
             HttpEnd::Broken,
             "" },
    EndCase{ "ClosedInTheMiddle",
             [](const std::shared_ptr<HttpExchange>& aExchange) {
               aExchange->StartStream(200, {});
               aExchange->SendChunk("bo");
               aExchange->Abort();
             },
             HttpEnd::Broken,
             "bo" },
    EndCase{ "Forgotten",
             [](const std::shared_ptr<HttpExchange>&) {},
             HttpEnd::Broken,
             "" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// "Not run" rests on this: where nobody listens, no byte has left.
TEST_F(HttpTest, NobodyListeningIsNotSent)
{
  Serve([](const std::shared_ptr<HttpExchange>&) {});
  const std::string address = m_server->Bound().ToString();
  m_server.reset();
  EXPECT_EQ(Ask(address).m_end, HttpEnd::NotSent);
  EXPECT_EQ(Ask(address, true).m_end, HttpEnd::NotSent);
}

TEST_F(HttpTest, ABadAddressIsNotSent)
{
  EXPECT_EQ(Ask("nowhere").m_end, HttpEnd::NotSent);
}

TEST_F(HttpTest, TellsThatTheCallerLeft)
{
  bool left = false;
  std::shared_ptr<HttpExchange> open;
  Serve([&](const std::shared_ptr<HttpExchange>& aExchange) {
    open = aExchange;
    aExchange->SignalLeft().connect([&] {
      left = true;
      m_loop->Stop();
    });
  });
  HttpRequest request;
  request.m_address = m_server->Bound().ToString();
  HttpCallbacks callbacks;
  callbacks.m_done = [](const HttpResponse&) {};
  const HttpCallId call = m_client.Send(request, std::move(callbacks));
  const Watch cancel =
    m_loop->After(Duration{ 50 }, [&] { m_client.Cancel(call); });
  const Watch guard = m_loop->After(kLongestTest, [this] { m_loop->Stop(); });
  m_loop->Run();
  EXPECT_TRUE(left);
}

/** How long a connection rests, and whether the next request may use it. */
struct RestCase
{
  const char* m_name;
  Duration m_rests;
  Duration m_longestRest;
  bool m_reused;
};

class HttpRestTest
  : public HttpTest
  , public ::testing::WithParamInterface<RestCase>
{};

TEST_P(HttpRestTest, AConnectionThatRestedForLongIsNotUsed)
{
  std::vector<std::string> peers;
  Serve([&](const std::shared_ptr<HttpExchange>& aExchange) {
    peers.push_back(aExchange->Peer());
    aExchange->Reply(200, {}, "body");
  });
  Ask(m_server->Bound().ToString());
  const Watch rest =
    m_loop->After(GetParam().m_rests, [this] { m_loop->Stop(); });
  m_loop->Run();
  Ask(m_server->Bound().ToString(), false, GetParam().m_longestRest);
  ASSERT_EQ(peers.size(), 2U);
  EXPECT_EQ(peers[0] == peers[1], GetParam().m_reused);
}

INSTANTIATE_TEST_SUITE_P(
  Rests,
  HttpRestTest,
  ::testing::Values(
    RestCase{ "Unbounded", Duration{ 50 }, Duration::max(), true },
    RestCase{ "WithinTheBound", Duration{ 1 }, Duration{ 10'000 }, true },
    RestCase{ "BeyondTheBound", Duration{ 50 }, Duration{ 20 }, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** What the handler does before the loop is stopped, as a planned stop does. */
struct UnsentCase
{
  const char* m_name;
  void (*m_serve)(const std::shared_ptr<HttpExchange>&);
  std::size_t m_unsentAtOnce;
};

class HttpUnsentTest
  : public HttpTest
  , public ::testing::WithParamInterface<UnsentCase>
{};

// A process that ends while this is above zero cuts an answer that has ended.
TEST_P(HttpUnsentTest, CountsUntilTheBytesHaveLeft)
{
  std::size_t atOnce = 0;
  Serve([&](const std::shared_ptr<HttpExchange>& aExchange) {
    GetParam().m_serve(aExchange);
    atOnce = m_server->Unsent();
  });
  const HttpResponse response = Ask(m_server->Bound().ToString());
  EXPECT_EQ(response.m_end, HttpEnd::Complete);
  EXPECT_EQ(atOnce, GetParam().m_unsentAtOnce);
  EXPECT_EQ(m_server->Unsent(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  HttpUnsentTest,
  ::testing::Values(
    UnsentCase{ "Whole",
                [](const std::shared_ptr<HttpExchange>& aExchange) {
                  aExchange->Reply(200, {}, "body");
                },
                1 },
    UnsentCase{ "StreamThatHasEnded",
                [](const std::shared_ptr<HttpExchange>& aExchange) {
                  aExchange->StartStream(200, {});
                  aExchange->SendChunk("body");
                  aExchange->EndStream();
                },
                1 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

struct AddressCase
{
  const char* m_text;
  bool m_valid;
};

class AddressTest : public ::testing::TestWithParam<AddressCase>
{};

TEST_P(AddressTest, ReadsOnlyIpAndPort)
{
  const auto address = Address::Parse(GetParam().m_text);
  ASSERT_EQ(address.has_value(), GetParam().m_valid);
  if (address) {
    EXPECT_EQ(address->ToString(), GetParam().m_text);
  }
}

INSTANTIATE_TEST_SUITE_P(Texts,
                         AddressTest,
                         ::testing::Values(AddressCase{ "127.0.0.1:80", true },
                                           AddressCase{ "10.0.0.1:0", true },
                                           AddressCase{ "127.0.0.1", false },
                                           AddressCase{ "host:80", false },
                                           AddressCase{ "127.0.0.1:", false },
                                           AddressCase{ "127.0.0.1:8x", false },
                                           AddressCase{ "1.2.3:80", false }));

} // namespace
} // namespace ridgeferry::net
