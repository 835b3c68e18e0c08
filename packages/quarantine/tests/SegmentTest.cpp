#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <ostream>
#include <random>
#include <rapidcheck/gtest.h>
#include <ridgeferry/quarantine/CrashRecordsText.h>
#include <ridgeferry/quarantine/PostponedCrashes.h>
#include <ridgeferry/quarantine/Quarantine.h>

namespace ridgeferry::quarantine {
namespace {

constexpr PromptSegment kFirst{ 1 };
constexpr PromptSegment kSecond{ 2 };
constexpr CallDigest kCall{ 3, 3 };
constexpr Duration kMs{ 1 };
/** Crashes this far apart do not count as having a common cause. */
constexpr Duration kApart = Quarantine::kCommonCauseWindow;

Instant
At(Duration aTime)
{
  return Instant(aTime);
}

/** A crash in a table: of which suspect and engine. Depths follow from the
 * suspects above. */
struct Crash
{
  Suspect m_suspect;
  std::uint64_t m_engine = 0;
};

CrashRecord
RecordOf(const Crash& aCrash)
{
  const auto* segment = std::get_if<PromptSegment>(&aCrash.m_suspect);
  const Depth depth =
    segment == nullptr ? kCallDepth : static_cast<Depth>(segment->m_hash - 1);
  return { aCrash.m_suspect, aCrash.m_engine, false, depth };
}

struct HoldCase
{
  const char* m_name;
  std::vector<Crash> m_crashes;
  std::set<Suspect> m_held;
};

std::ostream&
operator<<(std::ostream& aOut, const HoldCase& aCase)
{
  return aOut << aCase.m_name;
}

class SegmentHoldTest : public ::testing::TestWithParam<HoldCase>
{};

TEST_P(SegmentHoldTest, HoldsTheDeepestSuspectThatExplainsTheCrashes)
{
  Quarantine quarantine;
  for (const Crash& crash : GetParam().m_crashes) {
    quarantine.Note(RecordOf(crash), At(kApart * crash.m_engine));
  }
  EXPECT_EQ(quarantine.Held(), GetParam().m_held);
}

INSTANTIATE_TEST_SUITE_P(
  Crashes,
  SegmentHoldTest,
  ::testing::Values(
    HoldCase{ "TwoHoldNothing", { { kSecond, 1 }, { kSecond, 2 } }, {} },
    HoldCase{ "ThreeUnderDifferentCalls",
              { { kSecond, 1 }, { kSecond, 2 }, { kSecond, 3 } },
              { kSecond } },
    HoldCase{ "TheDeeperOfTwoThatCameTogether",
              { { kFirst, 1 },
                { kSecond, 1 },
                { kFirst, 2 },
                { kSecond, 2 },
                { kFirst, 3 },
                { kSecond, 3 } },
              { kSecond } },
    HoldCase{ "TheCallThatWasRepeated",
              { { kCall, 1 },
                { kSecond, 1 },
                { kCall, 2 },
                { kSecond, 2 },
                { kCall, 3 },
                { kSecond, 3 } },
              { kCall } },
    HoldCase{ "OneUnexplainedCrashIsChance",
              { { kFirst, 1 },
                { kSecond, 1 },
                { kFirst, 2 },
                { kSecond, 2 },
                { kFirst, 3 },
                { kSecond, 3 },
                { kFirst, 4 } },
              { kSecond } },
    HoldCase{ "TwoUnexplainedCrashesAreNot",
              { { kCall, 1 },
                { kSecond, 1 },
                { kCall, 2 },
                { kSecond, 2 },
                { kCall, 3 },
                { kSecond, 3 },
                { kSecond, 4 },
                { kSecond, 5 } },
              { kCall, kSecond } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Guards against a first segment that is held again by crashes told late.
TEST(SegmentClearingTest, ACompleteRunWinsWhateverIsToldLater)
{
  Quarantine quarantine;
  quarantine.NoteServed(kFirst, At(10 * kMs));
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    EXPECT_EQ(
      quarantine.Note(RecordOf({ kFirst, engine }), At(20 * kMs), 10 * kMs),
      Change::None);
  }
  EXPECT_FALSE(quarantine.IsQuarantined(kFirst));
  EXPECT_EQ(quarantine.Note(RecordOf({ kFirst, 4 }), At(20 * kMs), 9 * kMs),
            Change::Suspected);
}

TEST(SegmentClearingTest, ACompleteRunClearsAHeldSegment)
{
  Quarantine quarantine;
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    quarantine.Note(RecordOf({ kFirst, engine }), At(kApart * engine));
  }
  ASSERT_TRUE(quarantine.IsQuarantined(kFirst));
  EXPECT_EQ(quarantine.NoteServed(kFirst, At(4 * kApart)).size(), 3U);
  EXPECT_FALSE(quarantine.IsQuarantined(kFirst));
  EXPECT_EQ(quarantine.Fingerprint(), 0U);
}

TEST(SegmentDoubtTest, FewCrashesAreDoubtedAfterAWhileAndManyNever)
{
  Quarantine quarantine;
  Duration last{};
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    last = kApart * engine;
    quarantine.Note(RecordOf({ kFirst, engine }), At(last));
  }
  const Instant later = At(last + Quarantine::kSegmentDoubtedAfter);
  EXPECT_FALSE(quarantine.IsDoubted(kFirst, later - kMs));
  EXPECT_TRUE(quarantine.IsDoubted(kFirst, later));
  EXPECT_EQ(quarantine.QuarantineTimeLeft(kFirst, At(last)),
            Quarantine::kSegmentDoubtedAfter);
  for (std::uint64_t engine = 4; engine <= Quarantine::kCrashesToBeSure;
       ++engine) {
    quarantine.Note(RecordOf({ kFirst, engine }), later);
  }
  EXPECT_FALSE(
    quarantine.IsDoubted(kFirst, later + Quarantine::kSegmentDoubtedAfter));
  EXPECT_EQ(quarantine.QuarantineTimeLeft(kFirst, later),
            Quarantine::kQuarantineTime);
}

/** What an instance learns of one segment, in virtual time. */
struct Event
{
  bool m_isServed = false;
  std::uint64_t m_engine = 0;
  Duration m_at{};
};

// The last complete run decides, in whatever order crashes, complete runs and
// clearings arrive.
RC_GTEST_PROP(SegmentOrderTest, OnlyCrashesAfterTheLastCompleteRunCount, ())
{
  const auto drawn = *rc::gen::container<std::vector<std::pair<bool, int>>>(
    rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 1000)));
  std::vector<Event> events;
  Duration lastServed{ -1 };
  for (const auto& [isServed, at] : drawn) {
    events.push_back({ isServed, events.size() % 8, Duration(at) });
    if (isServed) {
      lastServed = std::max(lastServed, Duration(at));
    }
  }
  std::stable_sort(
    events.begin(), events.end(), [](const Event& aLeft, const Event& aRight) {
      return aLeft.m_at < aRight.m_at;
    });
  const Instant told = At(Duration{ 1000 });
  // An engine that crashed before the run and is told of twice counts once.
  std::map<std::uint64_t, Duration> crashedAt;
  Quarantine quarantine;
  for (const Event& event : events) {
    if (event.m_isServed) {
      quarantine.NoteServed(kFirst, At(event.m_at));
    }
  }
  for (const Event& event : events) {
    if (!event.m_isServed &&
        crashedAt.emplace(event.m_engine, event.m_at).second) {
      quarantine.Note(RecordOf({ kFirst, event.m_engine }),
                      told,
                      Duration{ 1000 } - event.m_at);
    }
  }
  const auto counted =
    std::count_if(crashedAt.begin(), crashedAt.end(), [&](const auto& aCrash) {
      return aCrash.second > lastServed;
    });
  RC_ASSERT(quarantine.Ends(kFirst) == static_cast<std::size_t>(counted));
}

RC_GTEST_PROP(SegmentMergeTest, OrderAndCopiesOfRecordsDoNotMatter, ())
{
  const auto records = *rc::gen::container<std::vector<CrashRecord>>(
    rc::gen::map(rc::gen::tuple(rc::gen::inRange<std::uint64_t>(0, 4),
                                rc::gen::inRange<std::uint64_t>(0, 7),
                                rc::gen::inRange(0, 6)),
                 [](const auto& aDrawn) {
                   const auto& [which, engine, cleared] = aDrawn;
                   const Suspect suspect = which == 0
                                             ? Suspect(kCall)
                                             : Suspect(PromptSegment{ which });
                   CrashRecord out = RecordOf({ suspect, engine });
                   out.m_cleared = cleared == 0;
                   return out;
                 }));
  auto shuffled = records;
  shuffled.insert(shuffled.end(), records.begin(), records.end());
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  std::mt19937 random(seed);
  std::shuffle(shuffled.begin(), shuffled.end(), random);
  Quarantine here;
  Quarantine there;
  for (const CrashRecord& record : records) {
    here.Note(record, At(kMs));
  }
  for (const CrashRecord& record : shuffled) {
    there.Note(record, At(kMs));
  }
  RC_ASSERT(here.Held() == there.Held());
  RC_ASSERT(here.Fingerprint() == there.Fingerprint());
}

TEST(SegmentTextTest, RecordsOfSegmentsAreReadAsTheyWereWritten)
{
  Quarantine here;
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    here.Note(RecordOf({ kSecond, engine }), At(kApart * engine));
    here.Note(RecordOf({ kCall, engine + 3 }), At(kApart * engine));
  }
  const WallTime wall{ Duration{ 1'800'000'000'000 } };
  const auto snapshot = here.Snapshot(At(4 * kApart), 100);
  const auto told = ParseCrashRecords(FormatCrashRecords(snapshot, wall), wall);
  ASSERT_TRUE(told.has_value());
  ASSERT_EQ(told->size(), snapshot.size());
  for (std::size_t i = 0; i < snapshot.size(); ++i) {
    EXPECT_EQ((*told)[i].m_record, snapshot[i].m_record);
  }
}

class PostponedCrashesTest : public ::testing::Test
{
protected:
  static constexpr Duration kCrashedAt{ 1000 };

  void AddCrash() { m_postponed.Add(RecordOf({ kFirst, 1 }), At(kCrashedAt)); }

  Quarantine m_quarantine;
  PostponedCrashes m_postponed;
};

TEST_F(PostponedCrashesTest, HoldsBackWhatWasLatelyServed)
{
  const CrashRecord record = RecordOf({ kFirst, 1 });
  EXPECT_FALSE(PostponedCrashes::Holds(m_quarantine, record, At(kCrashedAt)));
  m_quarantine.NoteServed(kFirst, At(kCrashedAt - kMs));
  EXPECT_TRUE(PostponedCrashes::Holds(m_quarantine, record, At(kCrashedAt)));
  EXPECT_FALSE(PostponedCrashes::Holds(
    m_quarantine, RecordOf({ kCall, 1 }), At(kCrashedAt)));
}

TEST_F(PostponedCrashesTest, TellsOfACrashOnlyWithoutACompleteRunSince)
{
  AddCrash();
  const Instant due = At(kCrashedAt + PostponedCrashes::kDelay);
  EXPECT_TRUE(m_postponed.TakeDue(m_quarantine, due - kMs).empty());
  const auto told = m_postponed.TakeDue(m_quarantine, due);
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].m_age, PostponedCrashes::kDelay);
  EXPECT_TRUE(m_postponed.TakeDue(m_quarantine, due).empty());
}

TEST_F(PostponedCrashesTest, DropsACrashAfterACompleteRun)
{
  AddCrash();
  m_quarantine.NoteServed(kFirst, At(kCrashedAt));
  const Instant due = At(kCrashedAt + PostponedCrashes::kDelay);
  EXPECT_TRUE(m_postponed.TakeDue(m_quarantine, due).empty());
}

TEST(ServedSegmentsTest, MemoryIsBoundedAndTheNewestStay)
{
  ServedSegments served;
  for (std::uint64_t i = 1; i <= 3 * ServedSegments::kMaxSegments; ++i) {
    served.Note({ i }, At(kMs * i));
  }
  const std::uint64_t last = 3 * ServedSegments::kMaxSegments;
  EXPECT_TRUE(served.WasServedSince({ last }, At(kMs * last)));
  EXPECT_FALSE(served.WasServedSince({ 1 }, At({})));
  served.Tick(At(kMs * last + ServedSegments::kMemory));
  EXPECT_FALSE(served.WasServedSince({ last }, At({})));
}

} // namespace
} // namespace ridgeferry::quarantine
