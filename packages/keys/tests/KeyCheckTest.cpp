#include <gtest/gtest.h>
#include <ridgeferry/keys/KeyCheck.h>

namespace ridgeferry::keys {
namespace {

constexpr KeyRules kStrict{ Duration{ 5000 }, Duration{ 3000 } };
constexpr KeyRules kLoose{ std::nullopt, Duration{ 3000 } };
constexpr Duration kFresh{ 1000 };
constexpr Duration kRatherOld{ 4000 };
constexpr Duration kTooOld{ 4900 };

OrganisationDirectory
Directory()
{
  return OrganisationDirectory(
    { { "first", { DigestOf("a") }, 1 }, { "second", { DigestOf("b") }, {} } });
}

/** What is left of a verdict for a table of cases. */
enum class Outcome
{
  First,
  NoOrganisation,
  Unknown,
  Undecided,
};

Outcome
OutcomeOf(const KeyVerdict& aVerdict)
{
  if (const auto* accepted = std::get_if<KeyAccepted>(&aVerdict)) {
    const Organisation* holder = accepted->m_organisation;
    EXPECT_TRUE(holder == nullptr || holder->m_name == "first");
    return holder == nullptr ? Outcome::NoOrganisation : Outcome::First;
  }
  return std::holds_alternative<KeyUnknown>(aVerdict) ? Outcome::Unknown
                                                      : Outcome::Undecided;
}

struct VerdictCase
{
  const char* m_name;
  KeyRules m_rules;
  KeyQuestion m_question;
  Outcome m_outcome;
};

class KeyCheckTest : public ::testing::TestWithParam<VerdictCase>
{};

TEST_P(KeyCheckTest, DecidesByKeyRouteAndAge)
{
  const OrganisationDirectory directory = Directory();
  EXPECT_EQ(
    OutcomeOf(CheckKey(directory, GetParam().m_rules, GetParam().m_question)),
    GetParam().m_outcome);
}

INSTANTIATE_TEST_SUITE_P(
  Verdicts,
  KeyCheckTest,
  ::testing::Values(
    VerdictCase{ "Known", kStrict, { "a", false, kFresh }, Outcome::First },
    VerdictCase{ "Other", kStrict, { "x", false, kFresh }, Outcome::Unknown },
    VerdictCase{ "NoKey", kStrict, { "", false, kFresh }, Outcome::Unknown },
    // A key that was taken away in the meantime would run here.
    VerdictCase{ "KnownButOld",
                 kStrict,
                 { "a", false, kTooOld },
                 Outcome::Undecided },
    VerdictCase{ "KnownNothingProven",
                 kStrict,
                 { "a", false, std::nullopt },
                 Outcome::Undecided },
    // A key that was added in the meantime would be refused for good here.
    VerdictCase{ "UnknownButRatherOld",
                 kStrict,
                 { "x", false, kRatherOld },
                 Outcome::Undecided },
    VerdictCase{ "KnownAndRatherOld",
                 kStrict,
                 { "a", false, kRatherOld },
                 Outcome::First },
    VerdictCase{ "LooseKnownButOld",
                 kLoose,
                 { "a", false, kTooOld },
                 Outcome::First },
    VerdictCase{ "LooseKnownNothingProven",
                 kLoose,
                 { "a", false, std::nullopt },
                 Outcome::First },
    VerdictCase{ "LooseUnknownButOld",
                 kLoose,
                 { "x", false, kTooOld },
                 Outcome::Undecided },
    VerdictCase{ "PublicWithKey",
                 kStrict,
                 { "a", true, kFresh },
                 Outcome::First },
    VerdictCase{ "PublicWithKeyButOld",
                 kStrict,
                 { "a", true, kTooOld },
                 Outcome::NoOrganisation },
    VerdictCase{ "PublicWithoutKey",
                 kStrict,
                 { "", true, std::nullopt },
                 Outcome::NoOrganisation }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(KeyCheckWithoutOrganisationsTest, NeedsNoKey)
{
  const OrganisationDirectory none;
  EXPECT_EQ(OutcomeOf(CheckKey(none, kStrict, { "", false, std::nullopt })),
            Outcome::NoOrganisation);
}

/** What decides where organisations are declared, but none is left. */
class KeyCheckOfNobodyTest : public ::testing::TestWithParam<VerdictCase>
{};

// Guards against the last organisation's end being taken for a configuration
// that needs no keys.
TEST_P(KeyCheckOfNobodyTest, NoKeyIsKnown)
{
  const OrganisationDirectory nobody(std::vector<Organisation>{});
  EXPECT_EQ(
    OutcomeOf(CheckKey(nobody, GetParam().m_rules, GetParam().m_question)),
    GetParam().m_outcome);
}

INSTANTIATE_TEST_SUITE_P(
  Verdicts,
  KeyCheckOfNobodyTest,
  ::testing::Values(
    VerdictCase{ "AnyKey", kStrict, { "a", false, kFresh }, Outcome::Unknown },
    VerdictCase{ "NoKey", kStrict, { "", false, kFresh }, Outcome::Unknown },
    VerdictCase{ "AnyKeyButRatherOld",
                 kStrict,
                 { "a", false, kRatherOld },
                 Outcome::Undecided },
    VerdictCase{ "Public",
                 kStrict,
                 { "a", true, kFresh },
                 Outcome::NoOrganisation }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** A question where some keys could not be read, and why it is undecided. */
struct UnreadableKeysCase
{
  const char* m_name;
  KeyQuestion m_question;
  Outcome m_outcome;
  KeyUndecided::Cause m_cause = KeyUndecided::Cause::OldConfiguration;
};

class UnreadableKeysTest : public ::testing::TestWithParam<UnreadableKeysCase>
{};

// Guards against a key that could not be read being refused for good, and
// against a refusal that names another cause than the one it has.
TEST_P(UnreadableKeysTest, AnUnknownKeyMayBeOneOfThem)
{
  const OrganisationDirectory directory({ { "first", { DigestOf("a") }, 1 } },
                                        true);
  const KeyVerdict verdict =
    CheckKey(directory, kStrict, GetParam().m_question);
  EXPECT_EQ(OutcomeOf(verdict), GetParam().m_outcome);
  if (const auto* undecided = std::get_if<KeyUndecided>(&verdict)) {
    EXPECT_EQ(undecided->m_cause, GetParam().m_cause);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Verdicts,
  UnreadableKeysTest,
  ::testing::Values(
    UnreadableKeysCase{ "Known", { "a", false, kFresh }, Outcome::First },
    UnreadableKeysCase{ "NoKey", { "", false, kFresh }, Outcome::Unknown },
    UnreadableKeysCase{ "Unknown",
                        { "x", false, kFresh },
                        Outcome::Undecided,
                        KeyUndecided::Cause::UnreadableKeys },
    UnreadableKeysCase{ "UnknownAndOld",
                        { "x", false, kTooOld },
                        Outcome::Undecided }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

/** What decides where no organisations are declared. */
class KeyCheckWithoutNeedTest : public ::testing::TestWithParam<VerdictCase>
{};

// Guards against a key that was taken away and still runs calls at an instance
// that knows of no organisations.
TEST_P(KeyCheckWithoutNeedTest, AKeyNeedsAFreshConfiguration)
{
  const OrganisationDirectory none;
  EXPECT_EQ(
    OutcomeOf(CheckKey(none, GetParam().m_rules, GetParam().m_question)),
    GetParam().m_outcome);
}

INSTANTIATE_TEST_SUITE_P(
  Verdicts,
  KeyCheckWithoutNeedTest,
  ::testing::Values(VerdictCase{ "Key",
                                 kStrict,
                                 { "a", false, kFresh },
                                 Outcome::NoOrganisation },
                    VerdictCase{ "KeyButOld",
                                 kStrict,
                                 { "a", false, kTooOld },
                                 Outcome::Undecided },
                    VerdictCase{ "NoKeyAndOld",
                                 kStrict,
                                 { "", false, kTooOld },
                                 Outcome::NoOrganisation },
                    VerdictCase{ "PublicAndOld",
                                 kStrict,
                                 { "a", true, kTooOld },
                                 Outcome::NoOrganisation },
                    VerdictCase{ "LooseAndOld",
                                 kLoose,
                                 { "a", false, kTooOld },
                                 Outcome::NoOrganisation }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(OrganisationDirectoryTest, AKeyOfTwoBelongsToTheFirst)
{
  const OrganisationDirectory both(
    { { "first", { DigestOf("a") }, {} },
      { "second", { DigestOf("b"), DigestOf("a") }, {} } });
  ASSERT_NE(both.FindByKey("a"), nullptr);
  EXPECT_EQ(both.FindByKey("a")->m_name, "first");
  EXPECT_EQ(both.FindByKey("b")->m_name, "second");
  EXPECT_EQ(both.FindByKey("c"), nullptr);
  EXPECT_EQ(both.FindByKey(""), nullptr);
}

} // namespace
} // namespace ridgeferry::keys
