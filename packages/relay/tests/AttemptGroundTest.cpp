// All words and signs about whether a call has run, and what each is worth.

#include <gtest/gtest.h>
#include <ostream>
#include <ridgeferry/relay/AttemptGround.h>
#include <set>
#include <string>

namespace ridgeferry::relay {
namespace {

constexpr std::string_view kAttempt = "a1";

struct InstanceCase
{
  const char* m_name;
  InstanceAnswer m_answer;
  AttemptGround m_ground;
};

std::ostream&
operator<<(std::ostream& aOut, const InstanceCase& aCase)
{
  return aOut << aCase.m_name;
}

class InstanceAnswerTest : public ::testing::TestWithParam<InstanceCase>
{};

// Guards against believing a refusal on a connection to another instance that
// does not show whose it is, or of which attempt.
TEST_P(InstanceAnswerTest, OnlyARefusalThatNamesItsAttemptIsBelieved)
{
  const InstanceCase& given = GetParam();
  const AttemptGround ground = GroundOf(given.m_answer, kAttempt);
  EXPECT_EQ(ground, given.m_ground) << NameOf(ground);
  const bool isNamed = given.m_answer.m_attempt == kAttempt;
  EXPECT_TRUE(isNamed || !ShowsNotRun(ground));
}

using Ground = AttemptGround;

INSTANTIATE_TEST_SUITE_P(
  Answers,
  InstanceAnswerTest,
  ::testing::Values(
    InstanceCase{ "Served", { 200, false, kAttempt }, Ground::Answered },
    InstanceCase{ "Failed", { 502, false, kAttempt }, Ground::Answered },
    InstanceCase{ "Refused",
                  { 503, false, kAttempt },
                  Ground::RefusedByInstance },
    InstanceCase{ "InTooMany",
                  { 429, false, kAttempt },
                  Ground::RefusedByInstance },
    InstanceCase{ "TooSlow",
                  { 408, false, kAttempt },
                  Ground::RefusedByInstance },
    InstanceCase{ "Misdirected",
                  { 421, false, kAttempt },
                  Ground::RefusedByInstance },
    InstanceCase{ "Declined",
                  { 503, true, kAttempt },
                  Ground::DeclinedByInstance },
    // A software version that names no attempts, or none of the instances.
    InstanceCase{ "ServedUnnamed",
                  { 200, false, std::nullopt },
                  Ground::Answered },
    InstanceCase{ "FailedUnnamed",
                  { 500, false, std::nullopt },
                  Ground::Answered },
    InstanceCase{ "RefusedUnnamed",
                  { 503, false, std::nullopt },
                  Ground::UnnamedRefusal },
    InstanceCase{ "InTooManyUnnamed",
                  { 429, false, std::nullopt },
                  Ground::UnnamedRefusal },
    InstanceCase{ "TooSlowUnnamed",
                  { 408, false, std::nullopt },
                  Ground::UnnamedRefusal },
    InstanceCase{ "MisdirectedUnnamed",
                  { 421, false, std::nullopt },
                  Ground::UnnamedRefusal },
    InstanceCase{ "DeclinedUnnamed",
                  { 503, true, std::nullopt },
                  Ground::UnnamedRefusal },
    // To an earlier request on the connection.
    InstanceCase{ "ServedOther", { 200, false, "a0" }, Ground::OtherAttempt },
    InstanceCase{ "RefusedOther", { 503, false, "a0" }, Ground::OtherAttempt },
    InstanceCase{ "DeclinedOther", { 503, true, "a0" }, Ground::OtherAttempt },
    InstanceCase{ "NamedAsNothing", { 503, true, "" }, Ground::OtherAttempt }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

struct PrefillCase
{
  const char* m_name;
  PrefillAnswer m_answer;
  AttemptGround m_ground;
};

std::ostream&
operator<<(std::ostream& aOut, const PrefillCase& aCase)
{
  return aOut << aCase.m_name;
}

class PrefillAnswerTest : public ::testing::TestWithParam<PrefillCase>
{};

// Guards against taking the run of a call for a prefill.
TEST_P(PrefillAnswerTest, IsAPrefillOnlyWithItsHandle)
{
  const AttemptGround ground = GroundOf(GetParam().m_answer);
  EXPECT_EQ(ground, GetParam().m_ground) << NameOf(ground);
}

INSTANTIATE_TEST_SUITE_P(
  Answers,
  PrefillAnswerTest,
  ::testing::Values(
    PrefillCase{ "Handle", { true, false }, Ground::Prefilled },
    PrefillCase{ "Nothing", { false, false }, Ground::Answered },
    PrefillCase{ "Run", { false, true }, Ground::RanForPrefill },
    // An engine may sign what it has read too.
    PrefillCase{ "SignedHandle", { true, true }, Ground::Prefilled }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(AttemptGroundTest, EachHasANameOfItsOwn)
{
  std::set<std::string_view> names;
  constexpr int kGrounds = static_cast<int>(Ground::Answered) + 1;
  for (int i = 0; i < kGrounds; ++i) {
    names.insert(NameOf(static_cast<AttemptGround>(i)));
  }
  EXPECT_EQ(names.size(), static_cast<std::size_t>(kGrounds));
}

struct PromiseCase
{
  int m_status;
  bool m_promises;
};

class PromisesNotRunTest : public ::testing::TestWithParam<PromiseCase>
{};

TEST_P(PromisesNotRunTest, IsWhatCallersTakeItFor)
{
  EXPECT_EQ(PromisesNotRun(GetParam().m_status), GetParam().m_promises);
}

INSTANTIATE_TEST_SUITE_P(Statuses,
                         PromisesNotRunTest,
                         ::testing::Values(PromiseCase{ 408, true },
                                           PromiseCase{ 421, true },
                                           PromiseCase{ 429, true },
                                           PromiseCase{ 503, true },
                                           PromiseCase{ 200, false },
                                           PromiseCase{ 400, false },
                                           PromiseCase{ 500, false },
                                           PromiseCase{ 502, false },
                                           PromiseCase{ 504, false }));

} // namespace
} // namespace ridgeferry::relay
