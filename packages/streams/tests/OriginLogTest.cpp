#include <algorithm>
#include <cstdint>
#include <gtest/gtest.h>
#include <ostream>
#include <rapidcheck/gtest.h>
#include <ridgeferry/streams/OriginLog.h>
#include <ridgeferry/streams/OriginsText.h>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ridgeferry::streams {
namespace {

constexpr Instant kStart{ Duration{ 100'000 } };
constexpr WallTime kWall{ Duration{ 1'760'000'000'000 } };
constexpr Duration kMemory{ 60'000 };
const StreamOrigin kOld{ "s", "v1" };
const StreamOrigin kNew{ "s", "v2" };

// ---- when a write is due ----

struct Began
{
  std::uint64_t m_key;
  Duration m_keepFor = kMemory;
};
struct Earlier
{
  std::uint64_t m_key;
};
struct Whole
{
  std::uint64_t m_key;
};
struct NewGeneration
{};
struct Written
{
  bool m_isDone;
};
/** A tick, and the keys that it writes; empty: nothing is written. */
struct Tick
{
  std::string m_keys;
  OriginLog::Terms m_terms{ 1, true };
};

struct LogStep
{
  Duration m_at;
  std::variant<Began, Earlier, Whole, NewGeneration, Written, Tick> m_what;
};

struct LogCase
{
  const char* m_name;
  std::vector<LogStep> m_steps;
};

std::ostream&
operator<<(std::ostream& aOut, const LogCase& aCase)
{
  return aOut << aCase.m_name;
}

class OriginLogTest : public ::testing::TestWithParam<LogCase>
{
protected:
  void Do(const Began& aStep)
  {
    m_log.NoteBegan({ { aStep.m_key }, kOld, aStep.m_keepFor }, m_now);
  }
  void Do(const Earlier& aStep)
  {
    m_log.NoteEarlier({ { aStep.m_key }, kOld, kMemory }, m_now);
  }
  void Do(const Whole& aStep) { m_log.NoteWhole({ aStep.m_key }); }
  void Do(const NewGeneration&) { m_log.NoteNewGeneration(); }
  void Do(const Written& aStep) { m_log.NoteWritten(aStep.m_isDone, m_now); }
  void Do(const Tick& aStep)
  {
    std::string keys;
    if (const auto due = m_log.Due(m_now, aStep.m_terms)) {
      for (const OriginRecord& record : *due) {
        keys += std::to_string(record.m_key.m_hash) + " ";
      }
    }
    EXPECT_EQ(keys, aStep.m_keys) << (m_now - kStart).count() << " ms";
  }

  OriginLog m_log;
  Instant m_now = kStart;
};

TEST_P(OriginLogTest, WritesWhatMayBeTakenUp)
{
  for (const LogStep& step : GetParam().m_steps) {
    m_now = kStart + step.m_at;
    std::visit([this](const auto& aTyped) { Do(aTyped); }, step.m_what);
  }
}

constexpr OriginLog::Terms kOneVersion{ 1, false };
constexpr OriginLog::Terms kManyInstances{ 100, true };
constexpr OriginLog::Terms kManyOfOneVersion{ 100, false };

INSTANTIATE_TEST_SUITE_P(
  Steps,
  OriginLogTest,
  ::testing::Values(
    LogCase{ "OnceItHasLastedForSomeTime",
             { { Duration{ 0 }, Began{ 1 } },
               { Duration{ 200 }, Began{ 2 } },
               { Duration{ 249 }, Tick{ "" } },
               { Duration{ 250 }, Tick{ "1 2 " } },
               { Duration{ 300 }, Written{ true } },
               { Duration{ 5000 }, Tick{ "" } } } },
    LogCase{ "LaterWhileOneVersionServes",
             { { Duration{ 0 }, Began{ 1 } },
               { Duration{ 999 }, Tick{ "", kOneVersion } },
               { Duration{ 1000 }, Tick{ "1 ", kOneVersion } } } },
    LogCase{ "LaterBesideManyInstances",
             { { Duration{ 0 }, Began{ 1 } },
               { Duration{ 3999 }, Tick{ "", kManyInstances } },
               { Duration{ 4000 }, Tick{ "1 ", kManyInstances } } } },
    LogCase{ "LaterStillWhileOneVersionServes",
             { { Duration{ 0 }, Began{ 1 } },
               { Duration{ 14'999 }, Tick{ "", kManyOfOneVersion } },
               { Duration{ 15'000 }, Tick{ "1 ", kManyOfOneVersion } } } },
    LogCase{ "NotIfItsCallerHasAllOfIt",
             { { Duration{ 0 }, Began{ 1 } },
               { Duration{ 100 }, Began{ 2 } },
               { Duration{ 200 }, Whole{ 1 } },
               { Duration{ 349 }, Tick{ "" } },
               { Duration{ 350 }, Tick{ "2 " } } } },
    LogCase{ "OneWriteAtATime",
             { { Duration{ 0 }, Began{ 1 } },
               { Duration{ 250 }, Tick{ "1 " } },
               { Duration{ 260 }, Began{ 2 } },
               { Duration{ 900 }, Tick{ "" } },
               { Duration{ 901 }, Written{ true } },
               { Duration{ 902 }, Tick{ "1 2 " } } } },
    LogCase{ "NoTwoWritesInQuickSuccession",
             { { Duration{ 0 }, Began{ 1 } },
               { Duration{ 100 }, Began{ 2 } },
               { Duration{ 250 }, Tick{ "1 2 " } },
               { Duration{ 255 }, Began{ 3 } },
               { Duration{ 260 }, Written{ true } },
               { Duration{ 504 }, Tick{ "" } },
               { Duration{ 505 }, Tick{ "1 2 3 " } } } },
    LogCase{ "AgainAfterAFailure",
             { { Duration{ 0 }, Began{ 1 } },
               { Duration{ 250 }, Tick{ "1 " } },
               { Duration{ 300 }, Written{ false } },
               { Duration{ 1299 }, Tick{ "" } },
               { Duration{ 1300 }, Tick{ "1 " } } } },
    LogCase{ "AgainInANewGeneration",
             { { Duration{ 0 }, Began{ 1 } },
               { Duration{ 250 }, Tick{ "1 " } },
               { Duration{ 260 }, Written{ true } },
               { Duration{ 9000 }, NewGeneration{} },
               { Duration{ 9001 }, Tick{ "1 " } } } },
    LogCase{ "WithWhatAnEarlierProcessWrote",
             { { Duration{ 0 }, Earlier{ 7 } },
               { Duration{ 5000 }, Tick{ "" } },
               { Duration{ 5001 }, Began{ 1 } },
               { Duration{ 5251 }, Tick{ "7 1 " } } } },
    LogCase{ "NotWhatHasLapsed",
             { { Duration{ 0 }, Began{ 1, Duration{ 100 } } },
               { Duration{ 10 }, Began{ 2 } },
               { Duration{ 260 }, Tick{ "2 " } } } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// A row of the store must not grow beyond what it may hold.
TEST(OriginLogBoundTest, TheOldestGiveWay)
{
  OriginLog log;
  for (std::uint64_t key = 0; key <= OriginLog::kMostRecords; ++key) {
    log.NoteBegan({ { UINT64_MAX - key }, kOld, kMemory }, kStart);
  }
  const auto due =
    log.Due(kStart + OriginLog::kAgeOfSeveral.m_least, { 1, true });
  ASSERT_TRUE(due.has_value());
  EXPECT_EQ(due->size(), OriginLog::kMostRecords);
  EXPECT_EQ(due->front().m_key, StreamKey{ UINT64_MAX - 1 });
  constexpr std::size_t kMostInARow = 65'536;
  EXPECT_LT(FormatOrigins(*due, kWall).size(), kMostInARow);
}

// ---- the text of a row ----

RC_GTEST_PROP(OriginsText, ReadsWhatItWrote, ())
{
  std::vector<OriginRecord> records;
  for (const auto& [key, isNew] :
       *rc::gen::arbitrary<std::vector<std::pair<std::uint64_t, bool>>>()) {
    records.push_back({ { key }, isNew ? kNew : kOld, kMemory });
  }
  const std::string text = FormatOrigins(records, kWall);
  const auto passed = Duration{ *rc::gen::inRange(0, 59'999) };
  const auto read = ParseOrigins(text, kWall + passed, kMemory);
  if (records.empty()) {
    RC_ASSERT(read.has_value() && read->empty());
    return;
  }
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->size() == records.size());
  for (OriginRecord& record : records) {
    record.m_keepFor = kMemory - passed;
  }
  for (const OriginRecord& record : records) {
    RC_ASSERT(std::count(read->begin(), read->end(), record) ==
              std::count(records.begin(), records.end(), record));
  }
}

RC_GTEST_PROP(OriginsText, AnyTextIsReadOrRejected, ())
{
  const std::string whole =
    FormatOrigins(std::vector<OriginRecord>{ { { 1 }, kOld, kMemory } }, kWall);
  std::string text = *rc::gen::element(whole, std::string());
  for (const auto& [at, byte] :
       *rc::gen::arbitrary<std::vector<std::pair<std::uint8_t, char>>>()) {
    text.insert(
      text.begin() + static_cast<std::ptrdiff_t>(at % (text.size() + 1)), byte);
  }
  (void)ParseOrigins(text, kWall, kMemory);
}

struct TextCase
{
  const char* m_name;
  const char* m_text;
  /** Number of records; -1: rejected. */
  int m_records;
  Duration m_keepFor{};
};

std::ostream&
operator<<(std::ostream& aOut, const TextCase& aCase)
{
  return aOut << aCase.m_name;
}

class OriginsTextTest : public ::testing::TestWithParam<TextCase>
{};

TEST_P(OriginsTextTest, OnlyWhatIsWholeIsTaken)
{
  const auto read = ParseOrigins(GetParam().m_text, kWall, kMemory);
  ASSERT_EQ(read.has_value(), GetParam().m_records >= 0);
  if (!read) {
    EXPECT_FALSE(read.error().empty());
    return;
  }
  ASSERT_EQ(read->size(), static_cast<std::size_t>(GetParam().m_records));
  for (const OriginRecord& record : *read) {
    EXPECT_EQ(record.m_keepFor, GetParam().m_keepFor);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Rows,
  OriginsTextTest,
  ::testing::Values(
    TextCase{ "Nothing", "", -1 },
    TextCase{ "NoObject", "[1]", -1 },
    TextCase{ "NoTime", R"({"origins":[]})", -1 },
    TextCase{ "NoOrigins", R"({"untilMs":1760000000001})", -1 },
    TextCase{ "Lapsed",
              R"({"untilMs":1760000000000,"origins":[{"service":"s",)"
              R"("softwareVersion":"v","keys":["1"]}]})",
              0 },
    TextCase{ "LongAgo",
              R"({"untilMs":-9223372036854775808,"origins":[]})",
              0 },
    TextCase{ "TheWritersClockIsAhead",
              R"({"untilMs":9223372036854775807,"origins":[{"service":"s",)"
              R"("softwareVersion":"v","keys":["1","ffffffffffffffff"]}]})",
              2,
              kMemory },
    TextCase{ "KeyIsNoNumber",
              R"({"untilMs":1760000001000,"origins":[{"service":"s",)"
              R"("softwareVersion":"v","keys":["1","x"]}]})",
              -1 },
    TextCase{ "KeyIsTooLong",
              R"({"untilMs":1760000001000,"origins":[{"service":"s",)"
              R"("softwareVersion":"v","keys":["1ffffffffffffffff"]}]})",
              -1 },
    TextCase{ "NoVersion",
              R"({"untilMs":1760000001000,"origins":[{"service":"s",)"
              R"("keys":["1"]}]})",
              -1 },
    TextCase{ "Valid",
              R"({"untilMs":1760000001000,"origins":[{"service":"s",)"
              R"("softwareVersion":"v","keys":["1"]}]})",
              1,
              Duration{ 1000 } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::streams
