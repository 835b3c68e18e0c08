#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/quarantine/CrashRecordsText.h>
#include <ridgeferry/quarantine/Quarantine.h>

namespace ridgeferry::quarantine {
namespace {

constexpr CallDigest kCall{ 1, 1 };

Instant
At(Duration aTime)
{
  return Instant(aTime);
}

constexpr Duration kMs{ 1 };
/** Crashes this far apart do not count as having a common cause. */
constexpr Duration kApart = Quarantine::kCommonCauseWindow;

/**
 * Records that three upstreams crashed while they ran the call, the last one at
 * `aLast`.
 */
void
EndThree(Quarantine& aQuarantine, Duration aLast)
{
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    aQuarantine.Note(
      { kCall, incarnation }, At(aLast), kApart * (3 - incarnation));
  }
}

TEST(QuarantineTest, TheThirdCrashQuarantinesTheCall)
{
  Quarantine quarantine;
  EXPECT_EQ(quarantine.Note({ kCall, 1 }, At(kMs)), Change::Suspected);
  EXPECT_EQ(quarantine.Note({ kCall, 2 }, At(2 * kMs)), Change::Suspected);
  EXPECT_FALSE(quarantine.IsQuarantined(kCall));
  const Instant third = At(kMs + kApart);
  EXPECT_EQ(quarantine.Note({ kCall, 3 }, third), Change::Held);
  EXPECT_TRUE(quarantine.IsQuarantined(kCall));
  EXPECT_EQ(quarantine.QuarantineTimeLeft(kCall, third),
            Quarantine::kQuarantineTime);
  EXPECT_FALSE(quarantine.IsQuarantined(CallDigest{ 1, 2 }));
}

TEST(QuarantineTest, CrashesAtOnceLeaveTheQuarantineDoubtedUntilOneMore)
{
  Quarantine quarantine;
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    quarantine.Note({ kCall, incarnation }, At(kMs));
  }
  const Instant later = At(kMs + Quarantine::kDoubtedAfter);
  EXPECT_FALSE(quarantine.IsDoubted(kCall, later - kMs));
  EXPECT_TRUE(quarantine.IsDoubted(kCall, later));
  EXPECT_TRUE(quarantine.IsQuarantined(kCall));
  EXPECT_EQ(quarantine.Note({ kCall, 4 }, later), Change::Suspected);
  EXPECT_FALSE(quarantine.IsDoubted(kCall, later + Quarantine::kDoubtedAfter));
  EXPECT_EQ(quarantine.QuarantineTimeLeft(kCall, later),
            Quarantine::kQuarantineTime);
}

TEST(QuarantineTest, ACrashBeyondTheRecordedOnesEndsTheDoubt)
{
  Quarantine quarantine;
  for (std::uint64_t incarnation = 1;
       incarnation <= Quarantine::kMaxIncarnations;
       ++incarnation) {
    quarantine.Note({ kCall, incarnation }, At(kMs));
  }
  const Instant later = At(kMs + Quarantine::kDoubtedAfter);
  quarantine.Note({ kCall, Quarantine::kMaxIncarnations + 1 }, later);
  EXPECT_FALSE(quarantine.IsDoubted(kCall, later + Quarantine::kDoubtedAfter));
}

TEST(QuarantineTest, AnIncarnationCountsOnceWhoeverReportsIt)
{
  Quarantine quarantine;
  EXPECT_EQ(quarantine.Note({ kCall, 1 }, At(kMs)), Change::Suspected);
  EXPECT_EQ(quarantine.Note({ kCall, 1 }, At(2 * kMs)), Change::None);
  EXPECT_EQ(quarantine.Ends(kCall), 1U);
}

TEST(QuarantineTest, ASuccessfulRunClearsTheCallAndLateReportsDoNotCount)
{
  Quarantine here;
  Quarantine there;
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    here.Note({ kCall, incarnation }, At(kMs));
    there.Note({ kCall, incarnation }, At(kMs));
  }
  for (const CrashRecord& cleared : here.NoteServed(kCall, At(2 * kMs))) {
    there.Note(cleared, At(2 * kMs));
  }
  EXPECT_FALSE(there.IsQuarantined(kCall));
  EXPECT_EQ(there.Note({ kCall, 2 }, At(3 * kMs)), Change::None);
  EXPECT_EQ(there.Ends(kCall), 0U);
  EXPECT_TRUE(here.NoteServed(kCall, At(2 * kMs)).empty());
}

TEST(QuarantineTest, ClearedCrashesHideNoLaterOnes)
{
  Quarantine quarantine;
  for (std::uint64_t incarnation = 1;
       incarnation <= Quarantine::kMaxIncarnations;
       ++incarnation) {
    quarantine.Note({ kCall, incarnation }, At(kMs));
    quarantine.NoteServed(kCall, At(kMs));
  }
  for (std::uint64_t incarnation = 101; incarnation <= 103; ++incarnation) {
    quarantine.Note({ kCall, incarnation }, At(kApart * incarnation));
  }
  EXPECT_TRUE(quarantine.IsQuarantined(kCall));
}

TEST(QuarantineTest, SuspicionsExpireBeforeQuarantines)
{
  Quarantine quarantine;
  const Duration last = 3 * kApart;
  quarantine.Note({ CallDigest{ 2, 2 }, 1 }, At(last));
  EndThree(quarantine, last);
  const Instant soon = At(last + Quarantine::kSuspicionTime);
  EXPECT_TRUE(quarantine.Tick(soon).empty());
  EXPECT_EQ(quarantine.Suspected(), 0U);
  EXPECT_TRUE(quarantine.IsQuarantined(kCall));
  EXPECT_EQ(quarantine.Tick(At(last + Quarantine::kQuarantineTime)),
            std::vector<Suspect>{ kCall });
  EXPECT_TRUE(quarantine.IsEmpty());
}

TEST(QuarantineTest, AQuarantineReportedLateLastsNoLonger)
{
  Quarantine quarantine;
  const Duration age = std::chrono::hours(23);
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    quarantine.Note({ kCall, incarnation },
                    At(Quarantine::kQuarantineTime),
                    age + kApart * (3 - incarnation));
  }
  EXPECT_EQ(
    quarantine.QuarantineTimeLeft(kCall, At(Quarantine::kQuarantineTime)),
    std::chrono::hours(1));
  EXPECT_EQ(quarantine.Note(
              { CallDigest{ 3, 3 }, 1 }, At(kMs), Quarantine::kQuarantineTime),
            Change::None);
}

TEST(QuarantineTest, ManySuspectedCallsDoNotEvictQuarantinedOnes)
{
  Quarantine quarantine;
  const Duration last = 3 * kApart;
  EndThree(quarantine, last);
  for (std::uint64_t i = 10; i < 10'010; ++i) {
    quarantine.Note({ CallDigest{ i, i }, 1 }, At(2 * last));
  }
  EXPECT_TRUE(quarantine.IsQuarantined(kCall));
  EXPECT_LE(quarantine.Suspected(), Quarantine::kMaxSuspected);
}

TEST(QuarantineTest, ManyQuarantinedCallsDoNotFillMemory)
{
  Quarantine quarantine;
  for (std::uint64_t i = 0; i < 2 * Quarantine::kMaxQuarantined; ++i) {
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
      quarantine.Note({ CallDigest{ i, i }, incarnation }, At(kMs * i));
    }
  }
  const std::uint64_t last = 2 * Quarantine::kMaxQuarantined - 1;
  EXPECT_LE(quarantine.Held().size(), Quarantine::kMaxQuarantined);
  EXPECT_TRUE(quarantine.IsQuarantined(CallDigest{ last, last }));
}

/** Draws crash records and clearings of a few calls and incarnations. */
std::vector<CrashRecord>
DrawRecords()
{
  return *rc::gen::container<std::vector<CrashRecord>>(rc::gen::map(
    rc::gen::tuple(rc::gen::inRange<std::uint64_t>(0, 3),
                   rc::gen::inRange<std::uint64_t>(0, 5),
                   rc::gen::inRange(0, 4)),
    [](const auto& aDrawn) {
      const auto& [call, incarnation, cleared] = aDrawn;
      return CrashRecord{ CallDigest{ call, call }, incarnation, cleared == 0 };
    }));
}

RC_GTEST_PROP(QuarantineMergeTest,
              InstancesWithTheSameRecordsQuarantineTheSameCalls,
              ())
{
  const std::vector<CrashRecord> words = DrawRecords();
  std::vector<CrashRecord> others = words;
  for (const CrashRecord& word : words) {
    if (*rc::gen::arbitrary<bool>()) {
      others.push_back(word); // The record arrives twice.
    }
  }
  const auto keys = *rc::gen::container<std::vector<int>>(
    others.size(), rc::gen::arbitrary<int>());
  std::vector<std::size_t> order(others.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::stable_sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return keys[aLeft] < keys[aRight];
  });
  Quarantine here;
  Quarantine there;
  for (const CrashRecord& word : words) {
    here.Note(word, At(kMs));
  }
  for (const std::size_t i : order) {
    there.Note(others[i], At(kMs));
  }
  RC_ASSERT(here.Fingerprint() == there.Fingerprint());
  for (std::uint64_t call = 0; call < 3; ++call) {
    RC_ASSERT(here.Ends(CallDigest{ call, call }) ==
              there.Ends(CallDigest{ call, call }));
  }
}

RC_GTEST_PROP(QuarantineMergeTest,
              ASnapshotMakesAStartingInstanceQuarantineTheSame,
              ())
{
  Quarantine here;
  for (const CrashRecord& word : DrawRecords()) {
    here.Note(word, At(kMs));
  }
  const WallTime wall{ Duration{ 1'800'000'000'000 } };
  const auto told = ParseCrashRecords(
    FormatCrashRecords(here.Snapshot(At(5 * kMs), 100), wall), wall + kMs);
  RC_ASSERT(told.has_value());
  Quarantine there;
  for (const ReportedCrash& ending : *told) {
    there.Note(ending.m_record, At(5 * kMs), ending.m_age);
  }
  RC_ASSERT(here.Fingerprint() == there.Fingerprint());
}

TEST(QuarantineSnapshotTest, ContainsTheCallsWithMostCrashesFirst)
{
  Quarantine quarantine;
  for (std::uint64_t i = 10; i < 20; ++i) {
    quarantine.Note({ CallDigest{ i, i }, 1 }, At(9 * kMs));
  }
  for (std::uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
    quarantine.Note({ kCall, incarnation }, At(kMs));
  }
  const std::vector<ReportedCrash> told = quarantine.Snapshot(At(9 * kMs), 4);
  ASSERT_EQ(told.size(), 4U);
  EXPECT_EQ(told[0].m_record.m_suspect, Suspect(kCall));
  EXPECT_EQ(told[1].m_record.m_suspect, Suspect(kCall));
  EXPECT_EQ(told[0].m_age, 8 * kMs);
}

class BadCrashRecordsTest : public ::testing::TestWithParam<const char*>
{};

TEST_P(BadCrashRecordsTest, AreAnError)
{
  EXPECT_FALSE(ParseCrashRecords(GetParam(), {}).has_value());
}

INSTANTIATE_TEST_SUITE_P(
  Texts,
  BadCrashRecordsTest,
  ::testing::Values("",
                    "{}",
                    "[1]",
                    R"([{"call":"x","life":1,"cleared":false,"endedAtMs":1}])",
                    R"([{"call":"00000000000000000000000000000001","life":-1,)"
                    R"("cleared":false,"endedAtMs":1}])",
                    R"([{"call":"00000000000000000000000000000001","life":1,)"
                    R"("cleared":1,"endedAtMs":1}])"));

} // namespace
} // namespace ridgeferry::quarantine
