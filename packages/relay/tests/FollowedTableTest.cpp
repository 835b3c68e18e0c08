#include "Positions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/FollowedTable.h>

namespace ridgeferry::relay {
namespace {

/** The slice of the table, with rows and removals, that a peer gets if it holds
 * the table as of a version. */
struct SinceCase
{
  const char* m_name;
  std::uint64_t m_after; ///< Version that the peer holds.
  bool m_whole;          ///< The slice contains the whole table.
  std::vector<FollowedRow> m_rows;
};

class FollowedTableTest : public ::testing::TestWithParam<SinceCase>
{};

TEST_P(FollowedTableTest, TellsWhatChanged)
{
  FollowedTable table;
  const std::vector<FollowedRow> rows{ { "a", "1", false, 3 },
                                       { "b", "1", false, 4 } };
  EXPECT_EQ(table.Replace(rows, PositionAt(10)).size(), 2U);
  const std::vector<FollowedRow> changes{ { "a", {}, true, 12 },
                                          { "b", "2", false, 14 } };
  table.Apply(changes, PositionAt(15));
  EXPECT_EQ(table.ChangedPosition(), PositionAt(14));
  const TableSlice slice = table.Since(PositionAt(GetParam().m_after));
  EXPECT_EQ(slice.m_position, PositionAt(15));
  EXPECT_EQ(slice.m_whole, GetParam().m_whole);
  EXPECT_EQ(slice.m_rows, GetParam().m_rows);
}

INSTANTIATE_TEST_SUITE_P(
  Versions,
  FollowedTableTest,
  ::testing::Values(
    SinceCase{ "All", 0, true, { { "b", "2", false, 14 } } },
    SinceCase{ "FromBeforeIt", 9, true, { { "b", "2", false, 14 } } },
    SinceCase{ "FromItsBegin",
               10,
               false,
               { { "b", "2", false, 14 }, { "a", {}, true, 12 } } },
    SinceCase{ "FromBetween", 12, false, { { "b", "2", false, 14 } } },
    SinceCase{ "NothingNew", 15, false, {} }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(FollowedTableLimitTest, ForgottenRemovalsMakeItWhole)
{
  FollowedTable table;
  table.Replace(std::vector<FollowedRow>{ { "stays", "1", false, 1 } },
                PositionAt(1));
  std::uint64_t version = 1;
  for (std::size_t i = 0; i <= FollowedTable::kMostRemovals; ++i) {
    const std::string key = std::to_string(i);
    const std::uint64_t at = ++version;
    table.Apply(std::vector<FollowedRow>{ { key, "1", false, at } },
                PositionAt(at));
    const std::uint64_t gone = ++version;
    table.Apply(std::vector<FollowedRow>{ { key, {}, true, gone } },
                PositionAt(gone));
  }
  EXPECT_TRUE(table.Since(PositionAt(1)).m_whole);
  EXPECT_EQ(table.Since(PositionAt(1)).m_rows.size(), 1U);
  EXPECT_FALSE(table.Since(PositionAt(version - 2)).m_whole);
}

// Guards against lost changes: a copy that applies slices at arbitrary moments
// must have the same rows as the table.
TEST(FollowedTableWorldTest, SlicesBringACopyUpToDate)
{
  EXPECT_TRUE(rc::check("slices", [] {
    FollowedTable table;
    FollowedTable copy;
    std::uint64_t version = 1;
    table.Replace({}, PositionAt(version));
    for (int i = 0; i < 60; ++i) {
      const std::string key(1,
                            static_cast<char>('a' + *rc::gen::inRange(0, 5)));
      const bool removed = *rc::gen::inRange(0, 3) == 0;
      ++version;
      const FollowedRow row{
        key, removed ? "" : std::to_string(version), removed, version
      };
      table.Apply(std::vector<FollowedRow>{ row }, PositionAt(version));
      if (*rc::gen::inRange(0, 4) != 0) {
        continue;
      }
      const TableSlice slice = table.Since(copy.Position());
      if (slice.m_whole) {
        copy.Replace(slice.m_rows, slice.m_position);
      } else {
        copy.Apply(slice.m_rows, slice.m_position);
      }
      RC_ASSERT(copy.Since(PositionAt(0)).m_rows ==
                table.Since(PositionAt(0)).m_rows);
    }
  }));
}

} // namespace
} // namespace ridgeferry::relay
