#include <gtest/gtest.h>
#include <optional>
#include <ridgeferry/relay/RemovedUpstreams.h>

namespace ridgeferry::relay {
namespace {

constexpr std::int64_t kBorn = 1000;

Instant
At(Duration aTime)
{
  return Instant{ aTime };
}

Member
Listed(std::optional<std::int64_t> aBorn)
{
  Member out;
  out.m_id = "up";
  out.m_born = aBorn;
  return out;
}

/** The id and start time of an upstream that was removed, the start time in the
 * row of `up` that a restored copy of the store still contains, and whether
 * that row is held back. */
struct CopyCase
{
  const char* m_name;
  const char* m_gone;
  std::optional<std::int64_t> m_goneBorn;
  std::optional<std::int64_t> m_copiedBorn;
  bool m_heldBack;
};

class CopiedRowTest : public ::testing::TestWithParam<CopyCase>
{};

TEST_P(CopiedRowTest, DoesNotBringBackRemovedUpstreams)
{
  RemovedUpstreams gone;
  gone.NoteGone({ GetParam().m_gone, GetParam().m_goneBorn }, At({}));
  EXPECT_EQ(gone.HoldBack(Listed(GetParam().m_copiedBorn), At(Duration{ 10 })),
            GetParam().m_heldBack);
  EXPECT_EQ(gone.Held(), GetParam().m_heldBack ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Rows,
  CopiedRowTest,
  ::testing::Values(
    CopyCase{ "TheSameLife", "up", kBorn, kBorn, true },
    CopyCase{ "AnEarlierLife", "up", kBorn, kBorn - 1, true },
    CopyCase{ "ALaterLife", "up", kBorn, kBorn + 1, false },
    CopyCase{ "NoLifeTold", "up", std::nullopt, std::nullopt, true },
    CopyCase{ "SomebodyElse", "other", kBorn, kBorn, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

class HeldBackTest : public ::testing::Test
{
protected:
  HeldBackTest()
  {
    m_gone.NoteGone({ "up", kBorn }, At({}));
    EXPECT_TRUE(m_gone.HoldBack(Listed(kBorn), At({})));
  }

  RemovedUpstreams m_gone;
};

TEST_F(HeldBackTest, RowIsReleasedAfterHoldTime)
{
  const Duration nearly = RemovedUpstreams::kHold - Duration{ 1 };
  EXPECT_TRUE(m_gone.Tick(At(nearly)).empty());
  const auto released = m_gone.Tick(At(RemovedUpstreams::kHold));
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released[0].m_id, "up");
  EXPECT_EQ(m_gone.Held(), 0U);
  EXPECT_FALSE(m_gone.HoldBack(Listed(kBorn), At(RemovedUpstreams::kHold)));
}

// Guards against an upstream that is held back for ever: a second restoration
// of the store from a copy must not restart the hold time, so neither must many
// restorations in a row.
TEST_F(HeldBackTest, FurtherCopyDoesNotRestartHoldTime)
{
  EXPECT_TRUE(m_gone.HoldBack(Listed(kBorn), At(Duration{ 4000 })));
  EXPECT_EQ(m_gone.Tick(At(RemovedUpstreams::kHold)).size(), 1U);
}

TEST_F(HeldBackTest, ChangeEndsHoldTime)
{
  m_gone.NoteChange("up");
  EXPECT_EQ(m_gone.Held(), 0U);
  EXPECT_TRUE(m_gone.Tick(At(RemovedUpstreams::kHold)).empty());
  EXPECT_FALSE(m_gone.HoldBack(Listed(kBorn), At(Duration{ 20 })));
}

TEST_F(HeldBackTest, UpstreamRemovedLongAgoIsForgotten)
{
  m_gone.NoteGone({ "ago", kBorn }, At({}));
  m_gone.Tick(At(RemovedUpstreams::kRemember));
  Member ago = Listed(kBorn);
  ago.m_id = "ago";
  EXPECT_FALSE(m_gone.HoldBack(ago, At(RemovedUpstreams::kRemember)));
}

} // namespace
} // namespace ridgeferry::relay
