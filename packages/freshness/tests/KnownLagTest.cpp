#include <gtest/gtest.h>
#include <ridgeferry/freshness/KnownLag.h>
#include <vector>

namespace ridgeferry::freshness {
namespace {

constexpr StorePosition kHeld{ 2, 10 };
constexpr Instant kStart{ Duration{ 5000 } };

/** What was told, one word each 100 ms, and the lag 1 s behind the first. */
struct LagCase
{
  const char* m_name;
  std::vector<StorePosition> m_told;
  StorePosition m_heldThen;
  std::optional<Duration> m_lag;
};

class KnownLagTest : public ::testing::TestWithParam<LagCase>
{};

TEST_P(KnownLagTest, CountsFromTheFirstWord)
{
  KnownLag lag;
  Instant now = kStart;
  for (const StorePosition& told : GetParam().m_told) {
    lag.NoteTold(told, kHeld, now);
    now += Duration{ 100 };
  }
  EXPECT_EQ(lag.At(GetParam().m_heldThen, kStart + Duration{ 1000 }),
            GetParam().m_lag);
}

INSTANTIATE_TEST_SUITE_P(
  Words,
  KnownLagTest,
  ::testing::Values(
    LagCase{ "Nothing", {}, kHeld, std::nullopt },
    LagCase{ "OldNews", { { 2, 9 }, { 2, 10 } }, kHeld, std::nullopt },
    LagCase{ "EarlierGeneration", { { 1, 99 } }, kHeld, std::nullopt },
    LagCase{ "OneChange", { { 2, 9 }, { 2, 11 } }, kHeld, Duration{ 900 } },
    LagCase{ "ManyChanges",
             { { 2, 11 }, { 2, 12 }, { 2, 11 }, { 2, 14 } },
             kHeld,
             Duration{ 1000 } },
    LagCase{ "LaterGeneration", { { 3, 1 } }, kHeld, Duration{ 1000 } },
    LagCase{ "ReadSince", { { 2, 11 } }, { 2, 11 }, std::nullopt },
    LagCase{ "ReadInPart",
             { { 2, 11 }, { 2, 14 } },
             { 2, 12 },
             Duration{ 1000 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// A second lag counts from its own first word.
TEST(KnownLagAgainTest, CountsAnew)
{
  KnownLag lag;
  lag.NoteTold({ 2, 11 }, kHeld, kStart);
  lag.NoteTold({ 2, 12 }, { 2, 11 }, kStart + Duration{ 700 });
  EXPECT_EQ(lag.At({ 2, 11 }, kStart + Duration{ 1000 }), Duration{ 300 });
}

} // namespace
} // namespace ridgeferry::freshness
