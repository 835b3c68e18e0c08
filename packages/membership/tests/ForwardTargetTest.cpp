#include <gtest/gtest.h>
#include <ridgeferry/membership/ForwardTarget.h>
#include <set>

namespace ridgeferry::membership {
namespace {

constexpr std::uint32_t kService = 7;

using Peers = std::map<std::string, PeerView, std::less<>>;

PeerView
MakePeer(int aRunning = 0, const std::string& aDataCentre = "near")
{
  PeerView out;
  out.m_alive = true;
  out.m_last.m_ready = true;
  out.m_last.m_dataCentre = aDataCentre;
  out.m_last.m_runningCalls = aRunning;
  return out;
}

/** The instances that are chosen over many draws. */
std::set<std::string>
Chosen(const Peers& aPeers,
       std::span<const std::string> aExcluded = {},
       StorePosition aConfig = {})
{
  std::set<std::string> out;
  for (std::uint64_t i = 0; i < 400; ++i) {
    ForwardRequest request{
      kService, "near", aExcluded, i * 7'919'317, aConfig
    };
    if (const auto name = PickForwardTarget(aPeers, request)) {
      out.insert(*name);
    }
  }
  return out;
}

using Names = std::set<std::string>;

constexpr StorePosition kConfig{ 2, 30 };

TEST(ForwardTargetTest, NobodyIsChosenWhereNobodyIs)
{
  EXPECT_EQ(Chosen({}), Names{});
}

struct UnfitCase
{
  const char* m_name;
  void (*m_change)(PeerView&);
};

class UnfitTest : public ::testing::TestWithParam<UnfitCase>
{};

TEST_P(UnfitTest, IsNotChosen)
{
  Peers peers{ { "fit", MakePeer() }, { "unfit", MakePeer() } };
  GetParam().m_change(peers["unfit"]);
  EXPECT_EQ(Chosen(peers), Names{ "fit" });
}

INSTANTIATE_TEST_SUITE_P(
  Peers,
  UnfitTest,
  ::testing::Values(
    UnfitCase{ "Silent", [](PeerView& aPeer) { aPeer.m_alive = false; } },
    UnfitCase{ "NotReady",
               [](PeerView& aPeer) { aPeer.m_last.m_ready = false; } },
    UnfitCase{ "Leaving",
               [](PeerView& aPeer) { aPeer.m_last.m_leaving = true; } },
    UnfitCase{ "CutOffToo",
               [](PeerView& aPeer) {
                 aPeer.m_last.m_unreachableServices = { kService };
               } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(ForwardTargetTest, AnInstanceThatLacksAnotherServiceMayTakeTheCall)
{
  Peers peers{ { "a", MakePeer() } };
  peers["a"].m_last.m_unreachableServices = { kService + 1 };
  EXPECT_EQ(Chosen(peers), Names{ "a" });
}

TEST(ForwardTargetTest, ExcludedInstancesAreNotChosen)
{
  const Peers peers{ { "a", MakePeer() }, { "b", MakePeer() } };
  const std::vector<std::string> excluded{ "a" };
  EXPECT_EQ(Chosen(peers, excluded), Names{ "b" });
}

// Calls of a whole data centre must not all go to one instance.
TEST(ForwardTargetTest, CallsAreSpread)
{
  const Peers peers{ { "a", MakePeer(10) },
                     { "b", MakePeer(10) },
                     { "c", MakePeer(14, "far") },
                     { "d", MakePeer(14, "far") } };
  EXPECT_EQ(Chosen(peers), (Names{ "a", "b", "c", "d" }));
}

TEST(ForwardTargetTest, TheLessBusyOfTwoIsChosen)
{
  const Peers peers{ { "busy", MakePeer(40) }, { "calm", MakePeer(2, "far") } };
  std::size_t calm = 0;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    const ForwardRequest request{ kService, "near", {}, i * 7'919'317 };
    calm += PickForwardTarget(peers, request) == "calm" ? 1 : 0;
  }
  EXPECT_GT(calm, 650U);
}

/** What two instances have told of the configuration that they have read. */
struct ConfigCase
{
  const char* m_name;
  std::optional<StorePosition> m_first;
  std::optional<StorePosition> m_second;
  Names m_chosen;
};

class ForwardConfigTest : public ::testing::TestWithParam<ConfigCase>
{};

// Guards against a call that goes to an instance with an older configuration
// while another one is known to have its own.
TEST_P(ForwardConfigTest, ThoseThatHaveReadItAreChosen)
{
  Peers peers{ { "first", MakePeer() }, { "second", MakePeer() } };
  const auto tell = [](PeerView& aPeer, std::optional<StorePosition> aRead) {
    if (aRead) {
      aPeer.m_last.m_store = StoreView{ *aRead, {} };
    }
  };
  tell(peers["first"], GetParam().m_first);
  tell(peers["second"], GetParam().m_second);
  EXPECT_EQ(Chosen(peers, {}, kConfig), GetParam().m_chosen);
}

INSTANTIATE_TEST_SUITE_P(
  Told,
  ForwardConfigTest,
  ::testing::Values(
    ConfigCase{ "BothHave", kConfig, { { 2, 31 } }, { "first", "second" } },
    ConfigCase{ "OneIsBehind", kConfig, { { 2, 29 } }, { "first" } },
    ConfigCase{ "OneReadAnOlderCopy",
                { { 1, 99 } },
                { { 3, 1 } },
                { "second" } },
    ConfigCase{ "OneHasNotTold", std::nullopt, kConfig, { "second" } },
    // Heartbeats may be old, so a call is not refused for them.
    ConfigCase{ "BothAreBehind",
                { { 2, 29 } },
                std::nullopt,
                { "first", "second" } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::membership
