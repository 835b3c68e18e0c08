#include "PromptOutcome.h"

#include <gtest/gtest.h>

namespace ridgeferry::entry {
namespace {

struct SizeBandCase
{
  std::int64_t m_tokens;
  std::string_view m_band;
};

class SizeBandTest : public ::testing::TestWithParam<SizeBandCase>
{};

// A wrong bound would count prompts in the neighbouring band of the metric. The
// cases lie on both sides of the bounds.
TEST_P(SizeBandTest, BeginsAtTwiceTheOneBefore)
{
  EXPECT_EQ(SizeBandOf(GetParam().m_tokens), GetParam().m_band);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         SizeBandTest,
                         ::testing::Values(SizeBandCase{ 0, "0-512" },
                                           SizeBandCase{ 511, "0-512" },
                                           SizeBandCase{ 512, "512-1k" },
                                           SizeBandCase{ 8191, "4k-8k" },
                                           SizeBandCase{ 8192, "8k-16k" },
                                           SizeBandCase{ 65'535, "32k-64k" },
                                           SizeBandCase{ 65'536, "64k-" },
                                           SizeBandCase{ 10'000'000, "64k-" }));

} // namespace
} // namespace ridgeferry::entry
