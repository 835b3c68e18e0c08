#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/limits/DemandShares.h>

namespace ridgeferry::limits {
namespace {

constexpr Instant kStart{ Duration{ 100'000 } };
constexpr ServiceHash kService = 3;

/** Records calls at equal intervals and returns the time of the last one. */
Instant
CallFor(DemandShares& aShares, double aPerSecond, Duration aTime)
{
  const Duration every(static_cast<int>(1000 / aPerSecond));
  Instant now = kStart;
  for (; now < kStart + aTime; now += every) {
    aShares.NoteCall(kService, now);
  }
  return now;
}

TEST(DemandSharesTest, DemandIsThatOfTheLastSeconds)
{
  DemandShares shares;
  const Instant now = CallFor(shares, 20, Duration{ 20'000 });
  EXPECT_NEAR(shares.OwnDemand(kService, now), 20, 1);
  EXPECT_LT(shares.OwnDemand(kService, now + Duration{ 10'000 }), 1);
  EXPECT_EQ(shares.OwnDemand(kService + 1, now), 0);
}

struct ShareCase
{
  const char* m_name;
  double m_own;
  std::vector<double> m_peers; ///< Demand told by each peer.
  std::size_t m_instances;
  double m_share;
};

class ShareTest : public ::testing::TestWithParam<ShareCase>
{};

TEST_P(ShareTest, FollowsDemand)
{
  DemandShares shares;
  Instant now = kStart;
  if (GetParam().m_own > 0) {
    now = CallFor(shares, GetParam().m_own, Duration{ 20'000 });
  }
  for (std::size_t i = 0; i < GetParam().m_peers.size(); ++i) {
    shares.SetPeer("peer-" + std::to_string(i),
                   { { kService, GetParam().m_peers[i] } });
  }
  EXPECT_NEAR(shares.ShareOf(kService, GetParam().m_instances, now),
              GetParam().m_share,
              0.01);
}

INSTANTIATE_TEST_SUITE_P(
  Demands,
  ShareTest,
  ::testing::Values(ShareCase{ "Alone", 10, {}, 1, 1 },
                    ShareCase{ "NobodyCalls", 0, {}, 4, 0.25 },
                    ShareCase{ "Alike", 10, { 10, 10, 10 }, 4, 0.25 },
                    ShareCase{ "More", 30, { 10 }, 2, 0.75 },
                    ShareCase{ "Silent", 10, { 10 }, 4, 0.25 },
                    ShareCase{ "NoCallers", 0, { 20 }, 2, 1.0 / 21 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

RC_GTEST_PROP(DemandSharesProperty, SharesAddUpToOne, ())
{
  const auto demands = *rc::gen::nonEmpty(
    rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100)));
  double sum = 0;
  for (std::size_t own = 0; own < demands.size(); ++own) {
    DemandShares shares;
    for (std::size_t peer = 0; peer < demands.size(); ++peer) {
      if (peer != own) {
        shares.SetPeer(std::to_string(peer),
                       { { kService, double(demands[peer]) } });
      }
    }
    // Its own demand as the others know it.
    for (int i = 0; i < 2 * demands[own]; ++i) {
      shares.NoteCall(kService, kStart);
    }
    sum += shares.ShareOf(kService, demands.size(), kStart);
  }
  RC_ASSERT(sum < 1.001);
  RC_ASSERT(sum > 0.999);
}

} // namespace
} // namespace ridgeferry::limits
