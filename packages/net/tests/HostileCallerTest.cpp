// Bytes that no sound caller sends, over real sockets: each is answered with
// what is wrong and the connection closed, and no call comes of it.

#include "ServerFixture.h"

namespace ridgeferry::net {
namespace {

constexpr std::size_t kHeadLimit = 2048;
constexpr std::size_t kBodyLimit = 4096;

/** What a caller sends, and what becomes of it. */
struct CallerCase
{
  const char* m_name;
  std::string m_bytes;
  std::string m_bodies;   ///< Bodies of the calls that came of it, each in <>.
  const char* m_statuses; ///< Of all answers, in order.
  bool m_closes = true;   ///< The server ends the connection.
};

std::string
Repeat(char aSign, std::size_t aTimes)
{
  return std::string(aTimes, aSign);
}

class ServerTest : public ServerFixture
{
protected:
  ServerTest()
  {
    HttpServerLimits limits;
    limits.m_maxHeaderBytes = kHeadLimit;
    limits.m_maxBodyBytes = kBodyLimit;
    limits.m_headTimeout = Duration{ 300 };
    limits.m_idleTimeout = Duration{ 300 };
    Listen(limits);
  }

  std::string Statuses() const
  {
    std::string out;
    const std::string& all = m_peer.Received();
    for (std::size_t at = all.find("HTTP/1.1 "); at != std::string::npos;
         at = all.find("HTTP/1.1 ", at + 1)) {
      out += (out.empty() ? "" : " ") + all.substr(at + 9, 3);
    }
    return out;
  }
};

class HostileCallerTest
  : public ServerTest
  , public ::testing::WithParamInterface<CallerCase>
{};

TEST_P(HostileCallerTest, IsAnsweredForWhatItIs)
{
  const CallerCase& given = GetParam();
  m_peer = RawPeer::Connect(m_server->Bound());
  m_peer.Send(given.m_bytes);
  EXPECT_TRUE(RunUntil([&] {
    return Statuses() == given.m_statuses &&
           m_peer.IsClosed() == given.m_closes;
  }))
    << m_peer.Received();
  EXPECT_EQ(m_bodies, given.m_bodies);
}

const std::string kHost = "Host: a\r\n";

INSTANTIATE_TEST_SUITE_P(
  Sound,
  HostileCallerTest,
  ::testing::Values(
    CallerCase{ "Plain",
                "GET / HTTP/1.1\r\n" + kHost + "\r\n",
                "<>",
                "200",
                false },
    CallerCase{ "WithLength",
                "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 3\r\n\r\nabc",
                "<abc>",
                "200",
                false },
    CallerCase{
      "InChunks",
      "POST / HTTP/1.1\r\n" + kHost +
        "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
      "<abc>",
      "200",
      false },
    CallerCase{ "ChunkExtensionAndTrailer",
                "POST / HTTP/1.1\r\n" + kHost +
                  "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nT: "
                  "v\r\n\r\n",
                "<ab>",
                "200",
                false },
    CallerCase{ "TwoBehindEachOther",
                "GET / HTTP/1.1\r\n" + kHost + "\r\nGET / HTTP/1.1\r\n" +
                  kHost + "\r\n",
                "<><>",
                "200 200",
                false },
    CallerCase{ "AsksToClose",
                "GET / HTTP/1.1\r\n" + kHost + "Connection: close\r\n\r\n",
                "<>",
                "200" },
    CallerCase{ "LargestBody",
                "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 4096\r\n\r\n" +
                  Repeat('x', kBodyLimit),
                "<" + Repeat('x', kBodyLimit) + ">",
                "200",
                false },
    CallerCase{ "ContinueIsAskedFor",
                "POST / HTTP/1.1\r\n" + kHost +
                  "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n",
                "",
                "100 408" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** A head that is wrong in one place. */
CallerCase
BadHead(const char* aName, std::string aBytes, const char* aStatus = "400")
{
  return { aName, std::move(aBytes), "", aStatus };
}

INSTANTIATE_TEST_SUITE_P(
  Lengths,
  HostileCallerTest,
  ::testing::Values(
    BadHead("TwoLengths",
            "POST / HTTP/1.1\r\n" + kHost +
              "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
    BadHead("TheSameLengthTwice",
            "POST / HTTP/1.1\r\n" + kHost +
              "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"),
    BadHead("ListOfLengths",
            "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 3, 4\r\n\r\nabc"),
    BadHead("BlankBeforeTheColon",
            "POST / HTTP/1.1\r\n" + kHost +
              "Content-Length : 7\r\n\r\nabcdefg"),
    BadHead("NegativeLength",
            "POST / HTTP/1.1\r\n" + kHost + "Content-Length: -1\r\n\r\n"),
    BadHead("SignedLength",
            "POST / HTTP/1.1\r\n" + kHost + "Content-Length: +3\r\n\r\nabc"),
    BadHead("HexLength",
            "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 0x3\r\n\r\nabc"),
    BadHead("EmptyLength",
            "POST / HTTP/1.1\r\n" + kHost + "Content-Length: \r\n\r\nabc"),
    BadHead("LengthOverAllBounds",
            "POST / HTTP/1.1\r\n" + kHost +
              "Content-Length: 99999999999999999999\r\n\r\nabc"),
    BadHead("LengthAndChunks",
            "POST / HTTP/1.1\r\n" + kHost +
              "Content-Length: 3\r\nTransfer-Encoding: "
              "chunked\r\n\r\n0\r\n\r\n"),
    BadHead("ChunksAndLength",
            "POST / HTTP/1.1\r\n" + kHost +
              "Transfer-Encoding: chunked\r\nContent-Length: "
              "3\r\n\r\n0\r\n\r\n"),
    BadHead("OtherCoding",
            "POST / HTTP/1.1\r\n" + kHost +
              "Transfer-Encoding: gzip\r\n\r\nabc"),
    BadHead("ChunkedNotLast",
            "POST / HTTP/1.1\r\n" + kHost +
              "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"),
    BadHead("ChunkedTwice",
            "POST / HTTP/1.1\r\n" + kHost +
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
              "chunked\r\n\r\n0\r\n\r\n"),
    BadHead("BodyTooLarge",
            "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 4097\r\n\r\n",
            "413"),
    BadHead("ChunksTooLarge",
            "POST / HTTP/1.1\r\n" + kHost +
              "Transfer-Encoding: chunked\r\n\r\n1001\r\n" + Repeat('x', 4097) +
              "\r\n0\r\n\r\n",
            "413")),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

const std::string kChunked =
  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
  Chunks,
  HostileCallerTest,
  ::testing::Values(
    BadHead("NoSize", kChunked + "\r\nab\r\n0\r\n\r\n"),
    BadHead("SizeThatIsNoNumber", kChunked + "zz\r\nab\r\n0\r\n\r\n"),
    BadHead("NegativeSize", kChunked + "-2\r\nab\r\n0\r\n\r\n"),
    BadHead("SizeWithPrefix", kChunked + "0x2\r\nab\r\n0\r\n\r\n"),
    BadHead("SizeOverAllBounds",
            kChunked + "fffffffffffffffff\r\nab\r\n0\r\n\r\n"),
    BadHead("LongerThanItSays", kChunked + "2\r\nabc\r\n0\r\n\r\n"),
    BadHead("BareLineFeedAfterSize", kChunked + "2\nab\r\n0\r\n\r\n"),
    BadHead("BlankBeforeSize", kChunked + " 2\r\nab\r\n0\r\n\r\n")),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

INSTANTIATE_TEST_SUITE_P(
  Heads,
  HostileCallerTest,
  ::testing::Values(
    BadHead("TlsHello",
            std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11)),
    BadHead("Noise", "hello there\r\n\r\n"),
    BadHead("NoVersion", "GET /\r\n" + kHost + "\r\n"),
    BadHead("OtherVersion", "GET / HTTP/3.7\r\n" + kHost + "\r\n"),
    BadHead("LowerCaseVersion", "GET / http/1.1\r\n" + kHost + "\r\n"),
    BadHead("TwoBlanks", "GET  / HTTP/1.1\r\n" + kHost + "\r\n"),
    BadHead("BlankInTarget", "GET /a b HTTP/1.1\r\n" + kHost + "\r\n"),
    BadHead("ControlInTarget", "GET /a\x01 HTTP/1.1\r\n" + kHost + "\r\n"),
    BadHead("AbsoluteTarget", "GET http://b/ HTTP/1.1\r\n" + kHost + "\r\n"),
    BadHead("StarTarget", "OPTIONS * HTTP/1.1\r\n" + kHost + "\r\n"),
    BadHead("AuthorityTarget", "CONNECT b:80 HTTP/1.1\r\n" + kHost + "\r\n"),
    BadHead("NoHost", "GET / HTTP/1.1\r\n\r\n"),
    BadHead("TwoHosts", "GET / HTTP/1.1\r\n" + kHost + "Host: b\r\n\r\n"),
    BadHead("BareLineFeeds", "GET / HTTP/1.1\nHost: a\n\n"),
    BadHead("BareLineFeedInHead", "GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n"),
    BadHead("BareReturnInHead", "GET / HTTP/1.1\r\nHost: a\rX: y\r\n\r\n"),
    BadHead("NulInValue",
            "GET / HTTP/1.1\r\nHost: a" + std::string(1, '\0') + "\r\n\r\n"),
    BadHead("NoColon", "GET / HTTP/1.1\r\n" + kHost + "X\r\n\r\n"),
    BadHead("EmptyName", "GET / HTTP/1.1\r\n" + kHost + ": x\r\n\r\n"),
    BadHead("BlankInName", "GET / HTTP/1.1\r\n" + kHost + "X Y: x\r\n\r\n"),
    BadHead("LeadingBlankLineOfHeader",
            "GET / HTTP/1.1\r\n X: y\r\n" + kHost + "\r\n"),
    BadHead("HeadTooLarge",
            "GET / HTTP/1.1\r\n" + kHost + "X: " + Repeat('x', kHeadLimit) +
              "\r\n\r\n",
            "431"),
    BadHead("TargetTooLarge",
            "GET /" + Repeat('x', kHeadLimit) + " HTTP/1.1\r\n" + kHost +
              "\r\n",
            "431"),
    // Nothing more comes: the time for a head ends it.
    BadHead("SlowHead", "GET / HTTP/1.1\r\nHo", "408"),
    BadHead("SlowBody",
            "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 9\r\n\r\nabc",
            "408"),
    BadHead("SlowChunk", kChunked + "5\r\nab", "408"),
    // Nothing at all comes: closed without a word.
    BadHead("Silence", "", "")),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST_F(ServerTest, ARefusalIsJsonAndNamesTheFault)
{
  m_peer = RawPeer::Connect(m_server->Bound());
  m_peer.Send("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_peer.IsClosed(); }));
  EXPECT_NE(m_peer.Received().find("application/problem+json"),
            std::string::npos);
  EXPECT_NE(m_peer.Received().find("exactly one Host"), std::string::npos);
}

TEST_F(ServerTest, AHeadInSinglePiecesIsRead)
{
  m_peer = RawPeer::Connect(m_server->Bound());
  const std::string head = "GET / HTTP/1.1\r\n" + kHost + "\r\n";
  std::size_t sent = 0;
  EXPECT_TRUE(RunUntil([&] {
    if (sent < head.size()) {
      m_peer.Send(head.substr(sent++, 1));
    }
    return Statuses() == "200";
  }));
}

TEST_F(ServerTest, AfterStopKeepingEachAnswerClosesItsConnection)
{
  m_server->StopKeeping();
  m_peer = RawPeer::Connect(m_server->Bound());
  m_peer.Send("GET / HTTP/1.1\r\n" + kHost + "\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_peer.IsClosed(); }));
  EXPECT_EQ(Statuses(), "200");
  EXPECT_NE(m_peer.Received().find("Connection: close"), std::string::npos);
}

} // namespace
} // namespace ridgeferry::net
