// Guards against an engine whose answer never ends and makes its instance grow.

#include "RawPeer.h"

#include <gtest/gtest.h>
#include <ostream>
#include <ridgeferry/upstream/EngineClient.h>

namespace ridgeferry::upstream {
namespace {

constexpr Duration kLongestTest{ 10'000 };
constexpr Duration kSendEvery{ 1 };
constexpr std::size_t kPiece = std::size_t{ 64 } * 1024;

struct EngineCase
{
  const char* m_name;
  const char* m_head;
  std::string m_repeat; ///< Sent without end.
};

std::ostream&
operator<<(std::ostream& aOut, const EngineCase& aCase)
{
  return aOut << aCase.m_name;
}

class EndlessEngineTest : public ::testing::TestWithParam<EngineCase>
{};

TEST_P(EndlessEngineTest, EndsBroken)
{
  const auto loop = net::EventLoop::Make();
  net::HttpClient http(*loop);
  EngineClient client(http);
  const net::RawListener listener;
  std::vector<Failure> failures;
  GenerationCallbacks callbacks;
  callbacks.m_began = [](const std::string&) {};
  callbacks.m_token = [](std::uint64_t, const std::string&) {};
  callbacks.m_ended = [](std::uint64_t, const std::string&) {};
  callbacks.m_answered = [](const Answer&) {};
  callbacks.m_failed = [&](Failure aFailure) { failures.push_back(aFailure); };
  GenerationRequest request;
  request.m_address = listener.Bound().ToString();
  request.m_timeout = kLongestTest;
  client.Generate(request, callbacks);
  net::RawPeer peer;
  std::string next = GetParam().m_head;
  const net::Watch serve = loop->Every(kSendEvery, [&] {
    if (!peer.IsOpen()) {
      peer = listener.Accept();
    }
    while (next.size() < kPiece) {
      next += GetParam().m_repeat;
    }
    next.erase(0, peer.SendSome(next));
    peer.Poll();
    if (peer.IsClosed()) {
      loop->Stop();
    }
  });
  const net::Watch guard = loop->After(kLongestTest, [&] { loop->Stop(); });
  loop->Run();
  EXPECT_TRUE(peer.IsClosed());
  EXPECT_EQ(failures, std::vector<Failure>{ Failure::Broken });
}

const std::string kMuch(1000, 'a');
constexpr const char* kStream = "HTTP/1.1 200 OK\r\nX-Stream-Id: s\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
  Answers,
  EndlessEngineTest,
  ::testing::Values(
    EngineCase{ "Event", kStream, kMuch },
    EngineCase{ "Tokens",
                kStream,
                "data: {\"offset\":1,\"text\":\"" + kMuch + "\"}\n\n" },
    EngineCase{ "Failure", "HTTP/1.1 500 Failed\r\n\r\n", kMuch }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace ridgeferry::upstream
