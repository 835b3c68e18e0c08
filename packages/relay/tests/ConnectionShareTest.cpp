#include <gtest/gtest.h>
#include <ridgeferry/relay/ConnectionShare.h>

namespace ridgeferry::relay {
namespace {

/** An upstream's connection limit, the number of instances, and the share that
 * one instance gets. */
struct ShareCase
{
  const char* m_name;
  std::int64_t m_most;
  std::size_t m_instances;
  std::int64_t m_open;
  std::size_t m_idle;
};

class ConnectionShareTest : public ::testing::TestWithParam<ShareCase>
{};

TEST_P(ConnectionShareTest, StaysBelowTheLimitOfTheUpstream)
{
  const ShareCase& row = GetParam();
  const ConnectionShare share = ShareConnections(row.m_most, row.m_instances);
  EXPECT_EQ(share.m_open, row.m_open);
  EXPECT_EQ(share.m_idle, row.m_idle);
}

INSTANTIATE_TEST_SUITE_P(
  Sizes,
  ConnectionShareTest,
  ::testing::Values(ShareCase{ "Alone", 300, 1, 240, 32 },
                    ShareCase{ "EightOfThem", 110, 8, 11, 11 },
                    ShareCase{ "SixtySix", 460, 66, 5, 5 },
                    ShareCase{ "MoreThanConnections", 10, 66, 1, 1 },
                    ShareCase{ "NoneKnownAlive", 100, 0, 80, 32 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
