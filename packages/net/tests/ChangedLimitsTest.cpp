// Guards against a request that is held against limits of earlier than its
// first byte, or against limits that nobody set: over real sockets.

#include "ServerFixture.h"

#include <limits>
#include <ostream>

namespace ridgeferry::net {
namespace {

constexpr std::size_t kFew = 1000;
constexpr std::size_t kMany = 100'000;
/** Of a request, above the lower limit and below the higher one. */
constexpr std::size_t kSize = 20'000;

/** Where a connection is when the limits change. */
enum class Moment
{
  BeforeItsFirstRequest,
  BehindAnAnswer,
  /** A head has begun: the limits of before hold for it. */
  InAHead,
};

struct ChangeCase
{
  const char* m_name;
  Moment m_moment;
  std::size_t m_before; ///< The limit, of heads and of bodies.
  std::size_t m_after;
  const char* m_ofHead; ///< Status of a request with a long head.
  const char* m_ofBody; ///< Status of a request with a long body.
};

std::ostream&
operator<<(std::ostream& aOut, const ChangeCase& aCase)
{
  return aOut << aCase.m_name;
}

class LimitsTest : public ServerFixture
{
protected:
  static HttpServerLimits Limits(std::size_t aBytes)
  {
    HttpServerLimits out;
    out.m_maxHeaderBytes = aBytes;
    out.m_maxBodyBytes = aBytes;
    return out;
  }

  /** Listens with such limits for heads and bodies, and connects. */
  void Serve(std::size_t aBytes)
  {
    Listen(Limits(aBytes));
    m_peer = RawPeer::Connect(m_server->Bound());
  }

  void Rest()
  {
    const Watch end = m_loop->After(Duration{ 50 }, [this] { m_loop->Stop(); });
    m_loop->Run();
  }

  static std::string WithLongHead(std::size_t aSize)
  {
    return "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(aSize, 'x') +
           "\r\n\r\n";
  }

  static std::string WithLongBody(std::size_t aSize)
  {
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(aSize) + "\r\n\r\n" + std::string(aSize, 'b');
  }

  /** Sends it all, as fast as the server reads, and returns the status of the
   * last answer; empty if none came. */
  std::string StatusOf(const std::string& aRequest)
  {
    const std::size_t from = m_peer.Received().size();
    std::size_t sent = 0;
    const auto hasAnswer = [&] {
      if (sent < aRequest.size()) {
        sent += m_peer.SendSome(std::string_view(aRequest).substr(sent));
      }
      return m_peer.Received().find("\r\n\r\n", from) != std::string::npos ||
             m_peer.IsClosed();
    };
    EXPECT_TRUE(RunUntil(hasAnswer));
    const std::size_t at = m_peer.Received().rfind("HTTP/1.1 ");
    return at == std::string::npos || at < from
             ? std::string()
             : m_peer.Received().substr(at + 9, 3);
  }
};

class ChangedLimitsTest
  : public LimitsTest
  , public ::testing::WithParamInterface<ChangeCase>
{
protected:
  /** Brings the connection to the moment of the case, and changes the limits;
   * returns what is left to send of `aRequest`. */
  std::string Change(const std::string& aRequest)
  {
    Serve(GetParam().m_before);
    std::string left = aRequest;
    if (GetParam().m_moment == Moment::BehindAnAnswer) {
      EXPECT_EQ(StatusOf(WithLongBody(1)), "200");
    } else if (GetParam().m_moment == Moment::InAHead) {
      m_peer.Send(aRequest.substr(0, 4));
      left = aRequest.substr(4);
    }
    Rest();
    m_server->SetLimits(Limits(GetParam().m_after));
    Rest();
    return left;
  }
};

TEST_P(ChangedLimitsTest, HoldForHeadsThatBeginBehindTheChange)
{
  EXPECT_EQ(StatusOf(Change(WithLongHead(kSize))), GetParam().m_ofHead);
}

TEST_P(ChangedLimitsTest, HoldForBodiesThatBeginBehindTheChange)
{
  EXPECT_EQ(StatusOf(Change(WithLongBody(kSize))), GetParam().m_ofBody);
}

INSTANTIATE_TEST_SUITE_P(
  Moments,
  ChangedLimitsTest,
  ::testing::Values(
    ChangeCase{ "RaisedOnANewConnection",
                Moment::BeforeItsFirstRequest,
                kFew,
                kMany,
                "200",
                "200" },
    ChangeCase{ "RaisedOnAKeptConnection",
                Moment::BehindAnAnswer,
                kFew,
                kMany,
                "200",
                "200" },
    ChangeCase{ "LoweredOnANewConnection",
                Moment::BeforeItsFirstRequest,
                kMany,
                kFew,
                "431",
                "413" },
    ChangeCase{ "LoweredOnAKeptConnection",
                Moment::BehindAnAnswer,
                kMany,
                kFew,
                "431",
                "413" },
    ChangeCase{ "LoweredInAHead", Moment::InAHead, kMany, kFew, "200", "200" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Guards against a long head that is not read on as the limit has fallen.
TEST_F(LimitsTest, ALongHeadThatHasBegunIsReadUnderALowerLimit)
{
  Serve(kMany);
  const std::string request = WithLongHead(kMany - kFew);
  m_peer.Send(request.substr(0, 4));
  Rest();
  m_server->SetLimits(Limits(kFew));
  EXPECT_EQ(StatusOf(request.substr(4)), "200");
}

// Guards against a length that is told and that no memory holds ending the
// process, where the limit allows it.
TEST_F(LimitsTest, ALengthThatIsToldMakesNoRoomByItself)
{
  Serve(std::size_t{ 1 } << 50);
  m_peer.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
              std::to_string(std::size_t{ 1 } << 49) + "\r\n\r\nabc");
  Rest();
  m_peer = RawPeer::Connect(m_server->Bound());
  EXPECT_EQ(StatusOf(WithLongBody(1)), "200");
}

/** A limit on heads, and a head below it. */
struct HighLimitCase
{
  const char* m_name;
  std::size_t m_limit;
  std::size_t m_size;
};

std::ostream&
operator<<(std::ostream& aOut, const HighLimitCase& aCase)
{
  return aOut << aCase.m_name;
}

class HighLimitTest
  : public LimitsTest
  , public ::testing::WithParamInterface<HighLimitCase>
{};

// Guards against a limit that holds only up to a bound of the server's own.
TEST_P(HighLimitTest, AHeadBelowItIsRead)
{
  Serve(GetParam().m_limit);
  EXPECT_EQ(StatusOf(WithLongHead(GetParam().m_size)), "200");
}

INSTANTIATE_TEST_SUITE_P(
  Limits,
  HighLimitTest,
  ::testing::Values(
    HighLimitCase{ "AboveWhatIsReadAhead", 200'000, 150'000 },
    HighLimitCase{ "Of32Bits", std::size_t{ 1 } << 32, 100 },
    HighLimitCase{ "OfAllBits", std::numeric_limits<std::size_t>::max(), 100 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::net
