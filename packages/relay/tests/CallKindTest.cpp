#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/CallKind.h>

namespace ridgeferry::relay {
namespace {

TEST(TypicalPromptTest, IsTheMeanOfTheFirstAndFollowsTheLatest)
{
  TypicalPrompt typical;
  typical.Note({ 1, 6000, 1000, 2, 2000 });
  typical.Note({ 2, 8000, 3000, 4, 3000 });
  const Prompt mean = typical.Value();
  EXPECT_EQ(mean.m_sharedTokens, 7000);
  EXPECT_EQ(mean.m_commonTokens, 2500);
  EXPECT_EQ(mean.m_ownTokens, 2000);
  EXPECT_EQ(mean.m_outTokens, 3);
  for (int i = 0; i < 300; ++i) {
    typical.Note({ 3, 0, 500, 90 });
  }
  EXPECT_NEAR(static_cast<double>(typical.Value().m_ownTokens), 500, 10);
}

// Guards against one large prompt raising the typical size of its kind of calls
// so much that the other prompts of that kind count as small.
TEST(TypicalPromptTest, OneLargePromptHardlyMovesIt)
{
  TypicalPrompt typical;
  for (int i = 0; i < 100; ++i) {
    typical.Note({ 1, 0, 1000, 1 });
  }
  typical.Note({ 1, 0, 20'000, 1 });
  EXPECT_LT(typical.Value().m_ownTokens, 1500);
}

RC_GTEST_PROP(SizeAllowanceProp, AtMostAShareOfTheOthersPassesForItsSize, ())
{
  SizeAllowance allowance;
  double bySize = 0;
  double others = 0;
  for (const bool wants : *rc::gen::arbitrary<std::vector<bool>>()) {
    if (wants && allowance.MayPass()) {
      allowance.NoteAdmitted(true);
      ++bySize;
    } else if (!wants) {
      allowance.NoteAdmitted(false);
      ++others;
    }
    RC_ASSERT(bySize <= others * SizeAllowance::kShare + 1e-9);
  }
}

} // namespace
} // namespace ridgeferry::relay
