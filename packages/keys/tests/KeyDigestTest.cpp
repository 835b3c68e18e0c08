#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/keys/KeyDigest.h>

namespace ridgeferry::keys {
namespace {

RC_GTEST_PROP(KeyDigestTest, SurvivesItsFormatting, ())
{
  const KeyDigest digest = DigestOf(*rc::gen::arbitrary<std::string>());
  RC_ASSERT(ParseKeyDigest(FormatKeyDigest(digest)) == digest);
}

RC_GTEST_PROP(KeyDigestTest, DiffersForOtherKeysAndShowsNoKey, ())
{
  const auto key = *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>());
  const std::string other = key + "x";
  RC_ASSERT(!(DigestOf(key) == DigestOf(other)));
  if (key.size() > 2) {
    RC_ASSERT(FormatKeyDigest(DigestOf(key)).find(key) == std::string::npos);
  }
}

struct TextCase
{
  const char* m_name;
  std::string m_text;
};

class BadDigestTest : public ::testing::TestWithParam<TextCase>
{};

TEST_P(BadDigestTest, IsNoDigest)
{
  EXPECT_FALSE(ParseKeyDigest(GetParam().m_text).has_value());
}

INSTANTIATE_TEST_SUITE_P(
  Texts,
  BadDigestTest,
  ::testing::Values(TextCase{ "Empty", "" },
                    TextCase{ "TooShort", std::string(62, 'a') },
                    TextCase{ "TooLong", std::string(66, 'a') },
                    TextCase{ "NoHexDigits", std::string(64, 'g') },
                    TextCase{ "AKey", "thhkmgjqnirth5mgjy5r" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::keys
