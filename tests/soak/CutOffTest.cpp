// Guards against callers of an instance that is cut off from all upstreams
// being refused while other instances reach them: three real instances.

#include "CutOffFixture.h"

#include "RawPeer.h"

namespace ridgeferry::soak {
namespace {

/** So often that the connections that are open do not suffice. */
constexpr Duration kCallOftenEvery{ 12 };
/** From the beginning of a cut until callers must be served again. */
constexpr Duration kContact{ 3000 };
constexpr Duration kMeasured{ 3000 };
/** From the end of a cut until its instance goes the direct way again. */
constexpr Duration kReturn{ 5000 };

/** How the instance is cut off from its upstreams. */
struct CutCase
{
  const char* m_name;
  LinkMode m_mode;
  bool m_resetsOpen;
  /** Whether no call gets through, so that the instance must notice. */
  bool m_isWhole;
  Duration m_callEvery = kCallEvery; ///< While it is cut off.
  bool m_hasStreams = false;         ///< Streams live on through the cut.
  /** Upstreams that have just recovered are paced. */
  bool m_isPaced = false;
};

class CutOffTest
  : public CutOffFixture
  , public ::testing::WithParamInterface<CutCase>
{};

TEST_P(CutOffTest, ItsCallersAreServedAllTheSame)
{
  m_instances.SetPacesStarts(GetParam().m_isPaced);
  StartAll();
  CallFor(Duration{ 3000 });
  ExpectServed("before the cut");
  if (GetParam().m_hasStreams) {
    StartStreams();
  }
  SetLinks(GetParam().m_mode, GetParam().m_resetsOpen);
  CallFor(kContact, GetParam().m_callEvery);
  Forget();
  CallFor(kMeasured, GetParam().m_callEvery);
  ExpectServed("while it is cut off");
  SetLinks(LinkMode::Pass, GetParam().m_mode == LinkMode::Hold);
  CallFor(kReturn);
  ExpectServed("after the cut");
  const std::string name = m_instances.All().back()->m_name;
  if (GetParam().m_isWhole) {
    EXPECT_EQ(CountInLog(name, "service-reached-again"), 1U);
  }
  ExpectRuns();
  m_answers.clear();
  EXPECT_TRUE(m_instances.StopAll(Duration{ 9000 }));
}

INSTANTIATE_TEST_SUITE_P(
  Ways,
  CutOffTest,
  ::testing::Values(CutCase{ "Silent", LinkMode::Hold, false, true },
                    CutCase{ "Reset", LinkMode::Refuse, true, true },
                    CutCase{ "OnlyNewOnesReset",
                             LinkMode::Refuse,
                             false,
                             false,
                             kCallOftenEvery },
                    CutCase{ "OnlyNewOnesHang",
                             LinkMode::Stall,
                             false,
                             false,
                             kCallOftenEvery },
                    CutCase{ "StreamsLiveOn",
                             LinkMode::Stall,
                             false,
                             false,
                             kCallOftenEvery,
                             true },
                    CutCase{ "OnlyNewOnesRefused",
                             LinkMode::Close,
                             false,
                             false,
                             kCallOftenEvery },
                    CutCase{ "SilentAndPaced",
                             LinkMode::Hold,
                             false,
                             true,
                             kCallEvery,
                             false,
                             true },
                    CutCase{ "OnlyNewOnesResetAndPaced",
                             LinkMode::Refuse,
                             false,
                             false,
                             kCallOftenEvery,
                             false,
                             true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** What an upstream sends before it closes, and what becomes of it behind two
 * instances. */
struct UnframedCase
{
  const char* m_name;
  const char* m_sent;
  const char* m_arrives;
  bool m_isReset;
};

constexpr UnframedCase kUnframed[] = {
  { "BetweenTwoEvents", "id: 1\n\nid: 2\n\n", "id: 1\n\nid: 2\n\n", false },
  { "InsideAnEvent", "id: 1\n\nid: 2", "id: 1\n\n", true },
};

// Guards against a broken answer that gets its frame on the way between two
// instances.
TEST_F(CutOffFixture, ABrokenAnswerLooksWholeBehindNoInstance)
{
  StartAll();
  SetLinks(LinkMode::Refuse, true);
  CallFor(kContact);
  ASSERT_GT(m_served, 0);
  for (const UnframedCase& given : kUnframed) {
    net::RawPeer caller = net::RawPeer::Connect(
      *net::Address::Parse(m_instances.All().back()->m_callers));
    const std::string body = given.m_sent;
    caller.Send("POST /stream/unframed HTTP/1.1\r\nHost: h\r\nX-Request-Id: " +
                std::string(given.m_name) +
                "\r\nX-Deadline-Ms: 5000\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_TRUE(RunUntil([&] {
      caller.Poll();
      return caller.IsClosed();
    }));
    EXPECT_EQ(caller.IsReset(), given.m_isReset) << given.m_name;
    EXPECT_TRUE(
      caller.Received().ends_with("\r\n\r\n" + std::string(given.m_arrives)))
      << caller.Received();
  }
  EXPECT_GE(CountInLog(m_instances.All().back()->m_name, "call-forwarded"), 2U);
  ExpectRuns();
  m_answers.clear();
  EXPECT_TRUE(m_instances.StopAll(Duration{ 9000 }));
}

} // namespace
} // namespace ridgeferry::soak
