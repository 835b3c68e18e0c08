#include <gtest/gtest.h>
#include <ridgeferry/relay/DataCentreLoads.h>

namespace ridgeferry::relay {
namespace {

constexpr std::size_t kAll = 100;

struct SumCase
{
  const char* m_name;
  std::vector<PeerLoad> m_own;    ///< Loads of the instance that sums.
  std::vector<PeerLoad> m_first;  ///< Loads of one peer.
  std::vector<PeerLoad> m_second; ///< Loads of another peer.
  std::size_t m_most;             ///< Maximum number of members in the sum.
  std::vector<PeerLoad> m_sum;
};

class DataCentreLoadsTest : public ::testing::TestWithParam<SumCase>
{};

TEST_P(DataCentreLoadsTest, AddsUpTheLoadsOfADataCentre)
{
  DataCentreLoads loads;
  loads.Set("first", GetParam().m_first);
  loads.Set("second", { { 9, 9, 9 } });
  // Replaces the loads reported before.
  loads.Set("second", GetParam().m_second);
  EXPECT_EQ(loads.Sum(GetParam().m_own, GetParam().m_most), GetParam().m_sum);
}

INSTANTIATE_TEST_SUITE_P(
  Sums,
  DataCentreLoadsTest,
  ::testing::Values(SumCase{ "Nothing", {}, {}, {}, kAll, {} },
                    SumCase{ "OneEngine",
                             { { 1, 1, 10 } },
                             { { 1, 2, 20 } },
                             { { 1, 3, 0 } },
                             kAll,
                             { { 1, 6, 30 } } },
                    SumCase{ "MostToReadFirst",
                             { { 1, 1, 10 }, { 2, 4, 0 } },
                             { { 3, 1, 50 } },
                             { { 4, 1, 0 } },
                             3,
                             { { 3, 1, 50 }, { 1, 1, 10 }, { 2, 4, 0 } } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
