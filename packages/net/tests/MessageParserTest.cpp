#include "MessageParser.h"

#include <event2/buffer.h>
#include <gtest/gtest.h>
#include <memory>
#include <ostream>

namespace ridgeferry::net {
namespace {

using BufferPtr = std::unique_ptr<evbuffer, decltype(&evbuffer_free)>;

constexpr std::size_t kMaxBytes = 10'000;

struct FramingCase
{
  const char* m_name;
  const char* m_head;
  bool m_headOnly; ///< The answer is to a HEAD request.
  BodyFraming m_framing;
};

std::ostream&
operator<<(std::ostream& aOut, const FramingCase& aCase)
{
  return aOut << aCase.m_name;
}

class AnswerFramingTest : public ::testing::TestWithParam<FramingCase>
{};

// Guards against an answer whose end nothing tells but its connection's being
// taken for one with a frame.
TEST_P(AnswerFramingTest, IsWhatTheHeadSays)
{
  MessageParser<false> parser(kMaxBytes, kMaxBytes);
  if (GetParam().m_headOnly) {
    parser.ExpectNoBody();
  }
  const BufferPtr bytes(evbuffer_new(), &evbuffer_free);
  const std::string text = std::string(GetParam().m_head) + "\r\n";
  evbuffer_add(bytes.get(), text.data(), text.size());
  ASSERT_NE(parser.Feed(bytes.get()), ParseState::Failed);
  ASSERT_TRUE(parser.HasHead());
  EXPECT_EQ(parser.Framing(), GetParam().m_framing);
}

INSTANTIATE_TEST_SUITE_P(
  Heads,
  AnswerFramingTest,
  ::testing::Values(
    FramingCase{ "Length",
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
                 false,
                 BodyFraming::Length },
    FramingCase{ "EmptyBody",
                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                 false,
                 BodyFraming::Length },
    FramingCase{ "Chunks",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
                 false,
                 BodyFraming::Chunks },
    FramingCase{ "Neither", "HTTP/1.1 200 OK\r\n", false, BodyFraming::Close },
    FramingCase{ "NeitherAndSaysClose",
                 "HTTP/1.1 500 X\r\nConnection: close\r\n",
                 false,
                 BodyFraming::Close },
    FramingCase{ "OldProtocol",
                 "HTTP/1.0 200 OK\r\n",
                 false,
                 BodyFraming::Close },
    FramingCase{ "OldProtocolWithLength",
                 "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n",
                 false,
                 BodyFraming::Length },
    FramingCase{ "NoContent",
                 "HTTP/1.1 204 No Content\r\n",
                 false,
                 BodyFraming::Length },
    FramingCase{ "NotModified",
                 "HTTP/1.1 304 Not Modified\r\n",
                 false,
                 BodyFraming::Length },
    FramingCase{ "ToHead", "HTTP/1.1 200 OK\r\n", true, BodyFraming::Length }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::net
