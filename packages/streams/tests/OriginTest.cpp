#include <algorithm>
#include <gtest/gtest.h>
#include <ostream>
#include <rapidcheck/gtest.h>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/streams/OriginDecision.h>
#include <ridgeferry/streams/OriginHolders.h>
#include <ridgeferry/streams/OriginLookup.h>
#include <ridgeferry/streams/OriginTable.h>
#include <ridgeferry/streams/StreamKey.h>

namespace ridgeferry::streams {
namespace {

constexpr Instant kNow{ Duration{ 100'000 } };
constexpr Duration kMemory{ 60'000 };
constexpr StreamKey kKey{ 7 };
const StreamOrigin kOld{ "s", "v1" };
const StreamOrigin kNew{ "s", "v2" };

TEST(StreamKeyTest, EachPartOfTheNameCounts)
{
  const StreamName name{ "o", "h", "/p", "id" };
  EXPECT_EQ(KeyOf(name), KeyOf(name));
  EXPECT_NE(KeyOf(name), KeyOf({ "", "h", "/p", "id" }));
  EXPECT_NE(KeyOf(name), KeyOf({ "o", "x", "/p", "id" }));
  EXPECT_NE(KeyOf(name), KeyOf({ "o", "h", "/q", "id" }));
  EXPECT_NE(KeyOf(name), KeyOf({ "o", "h", "/p", "id2" }));
  EXPECT_NE(KeyOf(name), KeyOf({ "oh", "", "/p", "id" }));
}

TEST(OriginTableTest, ARecordLapsesAfterItsTime)
{
  OriginTable table;
  table.Put({ kKey, kOld, Duration{ 10 } }, kNow);
  EXPECT_EQ(table.Find(kKey, kNow)->m_origin, kOld);
  EXPECT_FALSE(table.Find(kKey, kNow + Duration{ 10 }).has_value());
  table.Put({ kKey, kOld, Duration{ 20 } }, kNow);
  EXPECT_TRUE(table.Find(kKey, kNow + Duration{ 10 }).has_value());
  table.Expire(kNow + Duration{ 15 });
  EXPECT_EQ(table.Size(), 1U);
  table.Expire(kNow + Duration{ 20 });
  EXPECT_EQ(table.Size(), 0U);
}

// Two callers may name their attempts alike: neither stream may then go on.
TEST(OriginTableTest, TwoOriginsOfOneKeyAreNone)
{
  OriginTable table;
  table.Put({ kKey, kOld, kMemory }, kNow);
  table.Put({ kKey, kNew, kMemory }, kNow);
  EXPECT_TRUE(table.Find(kKey, kNow)->m_isAmbiguous);
  EXPECT_TRUE(table.Records(kNow).empty());
  table.Put({ kKey, kNew, kMemory }, kNow + kMemory);
  EXPECT_FALSE(table.Find(kKey, kNow + kMemory)->m_isAmbiguous);
}

TEST(OriginTableTest, RecordsTellTheTimeThatIsLeft)
{
  OriginTable table;
  table.Put({ kKey, kOld, Duration{ 30 } }, kNow);
  const std::vector<OriginRecord> expected{ { kKey, kOld, Duration{ 20 } } };
  EXPECT_EQ(table.Records(kNow + Duration{ 10 }), expected);
}

/** One step of a lookup, and what it leads to: `ask:A,B`, `found:V`, `none` or
 * `none?` (somebody did not answer), with what the others vouch for. */
struct LookupStep
{
  Duration m_at;
  std::variant<std::monostate, NoRecord, StreamOrigin> m_answer;
  const char* m_from;
  const char* m_expected;
};

struct LookupCase
{
  const char* m_name;
  std::vector<std::string> m_holders;
  const char* m_begins;
  std::vector<LookupStep> m_steps;
};

std::ostream&
operator<<(std::ostream& aOut, const LookupCase& aCase)
{
  return aOut << aCase.m_name;
}

std::string
TextOf(const std::vector<LookupAction>& aActions)
{
  std::string out;
  for (const LookupAction& action : aActions) {
    if (const auto* ask = std::get_if<AskHolders>(&action)) {
      out += "ask:";
      for (const std::string& address : ask->m_addresses) {
        out += address;
      }
      continue;
    }
    const auto& ended = std::get<LookupEnded>(action);
    out += ended.m_origin         ? "found:" + ended.m_origin->m_softwareVersion
           : ended.m_isUnanswered ? "none?"
                                  : "none";
    out += ended.m_sole ? " sole:" + ended.m_sole->m_softwareVersion : "";
    out += ended.m_isVouched ? " vouched" : "";
  }
  return out;
}

class OriginLookupTest : public ::testing::TestWithParam<LookupCase>
{};

TEST_P(OriginLookupTest, EndsOnceByTheFirstRecordOrByAllAnswers)
{
  OriginLookups lookups;
  EXPECT_EQ(TextOf(lookups.Begin(kKey, "s", GetParam().m_holders, kNow)),
            GetParam().m_begins);
  for (const LookupStep& step : GetParam().m_steps) {
    std::vector<LookupAction> actions;
    if (const auto* none = std::get_if<NoRecord>(&step.m_answer)) {
      actions = lookups.TakeNoRecord(*none, step.m_from);
    } else if (const auto* origin = std::get_if<StreamOrigin>(&step.m_answer)) {
      actions = lookups.TakeRecord(kKey, *origin);
    } else {
      actions = lookups.Tick(kNow + step.m_at);
    }
    EXPECT_EQ(TextOf(actions), step.m_expected);
  }
  EXPECT_TRUE(lookups.IsIdle());
}

const NoRecord kNone{ kKey, {} };
const NoRecord kNoneButOne{ kKey, SoleVersion{ "v1", kMemory } };
const NoRecord kNoneButOther{ kKey, SoleVersion{ "v2", kMemory } };

INSTANTIATE_TEST_SUITE_P(
  Lookups,
  OriginLookupTest,
  ::testing::Values(
    LookupCase{ "NobodyToAsk", {}, "none", {} },
    LookupCase{ "FirstRecord",
                { "A", "B" },
                "ask:AB",
                { { {}, kNone, "A", "" },
                  { {}, kOld, "B", "found:v1" },
                  { {}, kNone, "B", "" } } },
    LookupCase{ "NobodyKnows",
                { "A", "B" },
                "ask:AB",
                { { {}, kNone, "A", "" },
                  { {}, kNone, "A", "" },
                  { {}, kNoneButOne, "B", "none sole:v1" } } },
    LookupCase{ "AllVouchForOneVersion",
                { "A", "B" },
                "ask:AB",
                { { {}, kNoneButOne, "A", "" },
                  { {}, kNoneButOne, "B", "none sole:v1 vouched" } } },
    LookupCase{ "TwoVouchForTwoVersions",
                { "A", "B" },
                "ask:AB",
                { { {}, kNoneButOne, "A", "" },
                  { {}, kNoneButOther, "B", "none sole:v1" } } },
    LookupCase{ "OneVouchesAndOneIsSilent",
                { "A", "B" },
                "ask:AB",
                { { {}, kNoneButOne, "A", "" },
                  { OriginLookups::kLongest, {}, "", "none? sole:v1" } } },
    LookupCase{ "AsksAgainWhoDidNotAnswer",
                { "A", "B" },
                "ask:AB",
                { { {}, kNone, "A", "" },
                  { OriginLookups::kAskAgain, {}, "", "ask:B" },
                  { {}, kNew, "B", "found:v2" } } },
    LookupCase{ "GivesUp",
                { "A" },
                "ask:A",
                { { OriginLookups::kLongest, {}, "", "none?" },
                  { {}, kOld, "A", "" } } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** What a history was told, oldest first: a version and when, before now. */
struct Listing
{
  const char* m_version;
  Duration m_ago;
};

struct DecisionCase
{
  const char* m_name;
  std::vector<Listing> m_listings;
  std::optional<StreamOrigin> m_origin;
  bool m_isAmbiguous;
  bool m_isUnanswered;
  std::optional<SoleVersion> m_peersSole;
  bool m_hasList;
  /** The version that goes on; empty: refused. */
  const char* m_goesOn;
  Duration m_retryAfter{};
  bool m_isStoreUnread = false;
  bool m_isListProven = true;
};

std::ostream&
operator<<(std::ostream& aOut, const DecisionCase& aCase)
{
  return aOut << aCase.m_name;
}

class OriginDecisionTest : public ::testing::TestWithParam<DecisionCase>
{};

// Guards against going on at a guess.
TEST_P(OriginDecisionTest, OnlyWhatIsProvenGoesOn)
{
  VersionHistory history;
  for (const Listing& listing : GetParam().m_listings) {
    history.NoteListed("s", listing.m_version, kNow - listing.m_ago);
  }
  const OriginDecision decision = DecideOrigin({ "s",
                                                 GetParam().m_origin,
                                                 GetParam().m_isAmbiguous,
                                                 GetParam().m_isUnanswered,
                                                 history,
                                                 GetParam().m_peersSole,
                                                 GetParam().m_hasList,
                                                 kMemory,
                                                 GetParam().m_isStoreUnread,
                                                 GetParam().m_isListProven },
                                               kNow);
  const auto* goOn = std::get_if<GoOn>(&decision);
  EXPECT_EQ(goOn == nullptr ? "" : goOn->m_origin.m_softwareVersion,
            GetParam().m_goesOn);
  if (goOn == nullptr) {
    EXPECT_EQ(std::get<RefuseTakeUp>(decision).m_retryAfter,
              GetParam().m_retryAfter);
  }
}

const std::vector<Listing> kLongV1{ { "v1", kMemory }, { "v1", {} } };
const std::vector<Listing> kShortV1{ { "v1", kMemory / 2 }, { "v1", {} } };
const std::vector<Listing> kBoth{ { "v1", kMemory * 2 },
                                  { "v2", kMemory / 2 },
                                  { "v1", {} } };
const std::vector<Listing> kLongAgoV2{ { "v2", kMemory * 2 }, { "v1", {} } };
const SoleVersion kPeersLongV1{ "v1", kMemory };
const SoleVersion kPeersLongV2{ "v2", kMemory };

INSTANTIATE_TEST_SUITE_P(
  Evidence,
  OriginDecisionTest,
  ::testing::Values(
    DecisionCase{ "Record", kBoth, kNew, false, false, {}, true, "v2" },
    DecisionCase{ "RecordWithoutAList",
                  {},
                  kNew,
                  false,
                  true,
                  {},
                  false,
                  "v2" },
    DecisionCase{ "TwoRecords",
                  kLongV1,
                  kNew,
                  true,
                  false,
                  {},
                  true,
                  "",
                  kMemory },
    DecisionCase{ "OneVersionForLong",
                  kLongV1,
                  {},
                  false,
                  true,
                  {},
                  true,
                  "v1" },
    DecisionCase{ "TheOtherIsLongGone",
                  kLongAgoV2,
                  {},
                  false,
                  false,
                  {},
                  true,
                  "v1" },
    DecisionCase{ "NotKnownForLong",
                  kShortV1,
                  {},
                  false,
                  false,
                  {},
                  true,
                  "",
                  kMemory / 2 },
    DecisionCase{ "APeerKnowsForLong",
                  kShortV1,
                  {},
                  false,
                  false,
                  kPeersLongV1,
                  true,
                  "v1" },
    DecisionCase{ "APeerKnowsAnother",
                  kShortV1,
                  {},
                  false,
                  false,
                  kPeersLongV2,
                  true,
                  "",
                  kMemory / 2 },
    DecisionCase{ "TheListIsLost",
                  kLongV1,
                  {},
                  false,
                  false,
                  kPeersLongV1,
                  false,
                  "",
                  kMemory },
    DecisionCase{ "SeveralVersions",
                  kBoth,
                  {},
                  false,
                  false,
                  kPeersLongV1,
                  true,
                  "",
                  kMemory },
    DecisionCase{ "SeveralAndSomebodyMayKnow",
                  kBoth,
                  {},
                  false,
                  true,
                  {},
                  true,
                  "",
                  kOriginRetryAfter },
    DecisionCase{ "SeveralAndTheStoreIsAway",
                  kBoth,
                  {},
                  false,
                  false,
                  {},
                  true,
                  "",
                  kOriginStoreRetryAfter,
                  true },
    DecisionCase{ "OneVersionForLongAndTheStoreIsAway",
                  kLongV1,
                  {},
                  false,
                  false,
                  {},
                  true,
                  "v1",
                  {},
                  true },
    DecisionCase{ "OneVersionForLongInAListThatMayBeOld",
                  kLongV1,
                  {},
                  false,
                  false,
                  kPeersLongV1,
                  true,
                  "",
                  kOriginRetryAfter,
                  false,
                  false },
    DecisionCase{ "TheSameAndTheStoreIsAway",
                  kLongV1,
                  {},
                  false,
                  false,
                  kPeersLongV1,
                  true,
                  "",
                  kOriginStoreRetryAfter,
                  true,
                  false },
    DecisionCase{ "NothingListed",
                  {},
                  {},
                  false,
                  false,
                  {},
                  true,
                  "",
                  kMemory }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Whoever asks must ask one who was told, although each sees other instances.
RC_GTEST_PROP(OriginHolders, WhoIsAskedWasToldAlthoughOneMoreIsLost, ())
{
  const int instances = *rc::gen::inRange(4, 80);
  const int dataCentres = *rc::gen::inRange(1, 9);
  std::vector<std::string> names;
  std::vector<std::string> places;
  for (int i = 0; i < instances; ++i) {
    names.push_back("n" + std::to_string(i));
    places.push_back("dc" + std::to_string(i % dataCentres));
  }
  const auto without = [&](const std::vector<int>& aLeft) {
    std::vector<Holder> out;
    for (int i = 0; i < instances; ++i) {
      if (std::find(aLeft.begin(), aLeft.end(), i) == aLeft.end()) {
        out.push_back({ Hash64(names[static_cast<std::size_t>(i)]),
                        places[static_cast<std::size_t>(i)],
                        names[static_cast<std::size_t>(i)] });
      }
    }
    return out;
  };
  const StreamKey key{ *rc::gen::arbitrary<std::uint64_t>() };
  const int teller = *rc::gen::inRange(0, instances);
  const int asker = *rc::gen::inRange(0, instances);
  const std::vector<std::string> told = HoldersToTell(
    key, places[static_cast<std::size_t>(teller)], without({ teller }));
  RC_ASSERT(told.size() <= kNear + kFar);
  RC_PRE(told.size() > 1);
  // The one that began is gone, and so is one of those that it told.
  const std::string lost = *rc::gen::elementOf(told);
  const int lostIndex = std::stoi(lost.substr(1));
  RC_PRE(lostIndex != asker && teller != asker);
  const bool isLossKnown = *rc::gen::arbitrary<bool>();
  const std::vector<Holder> seen =
    isLossKnown ? without({ asker, teller, lostIndex }) : without({ asker });
  const std::vector<std::string> asked = HoldersToAsk(key, seen);
  const std::string self = names[static_cast<std::size_t>(asker)];
  RC_ASSERT(
    std::any_of(told.begin(), told.end(), [&](const std::string& aName) {
      const bool isAsked =
        std::find(asked.begin(), asked.end(), aName) != asked.end();
      return aName != lost && (isAsked || aName == self);
    }));
}

} // namespace
} // namespace ridgeferry::streams
