#include <gtest/gtest.h>
#include <ostream>
#include <ridgeferry/freshness/TableAge.h>

namespace ridgeferry::freshness {
namespace {

struct AgeCase
{
  const char* m_name;
  TableAge m_age;
  bool m_mayBeOld;
};

std::ostream&
operator<<(std::ostream& aOut, const AgeCase& aCase)
{
  return aOut << aCase.m_name;
}

class TableAgeTest : public ::testing::TestWithParam<AgeCase>
{};

// Guards against a refusal for good by a table of whose age nothing is known.
TEST_P(TableAgeTest, OnlyWhatIsProvenIsNotOld)
{
  EXPECT_EQ(MayBeOld(GetParam().m_age), GetParam().m_mayBeOld);
}

INSTANTIATE_TEST_SUITE_P(
  Ages,
  TableAgeTest,
  ::testing::Values(
    AgeCase{ "NothingIsProven", { {}, {} }, true },
    AgeCase{ "ProvenJustNow", { Duration{ 0 }, {} }, false },
    AgeCase{ "ProvenInTime", { kLongestUnproven, {} }, false },
    AgeCase{ "ProvenLongAgo", { kLongestUnproven + Duration{ 1 }, {} }, true },
    AgeCase{ "OthersHoldALaterOne", { Duration{ 0 }, Duration{ 0 } }, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::freshness
