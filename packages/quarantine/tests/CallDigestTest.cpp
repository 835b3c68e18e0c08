#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/quarantine/CallDigest.h>

namespace ridgeferry::quarantine {
namespace {

constexpr CallContent kContent{ "key",
                                "POST",
                                "h.example",
                                "/p/x?a=1",
                                "body" };

struct OtherCase
{
  CallContent m_other;
  const char* m_name;
};

class OtherContentTest : public ::testing::TestWithParam<OtherCase>
{};

TEST_P(OtherContentTest, IsAnotherCall)
{
  EXPECT_NE(DigestOf(GetParam().m_other), DigestOf(kContent));
}

INSTANTIATE_TEST_SUITE_P(
  Fields,
  OtherContentTest,
  ::testing::Values(
    OtherCase{ { "", "POST", "h.example", "/p/x?a=1", "body" }, "Caller" },
    OtherCase{ { "key", "PUT", "h.example", "/p/x?a=1", "body" }, "Method" },
    OtherCase{ { "key", "POST", "g.example", "/p/x?a=1", "body" }, "Host" },
    OtherCase{ { "key", "POST", "h.example", "/p/x?a=2", "body" }, "Query" },
    OtherCase{ { "key", "POST", "h.example", "/p/x?a=1", "bodz" }, "Body" },
    // The fields together have the same bytes as `kContent`, split at other
    // places.
    OtherCase{ { "keyP", "OST", "h.example", "/p/x?a=1", "body" }, "Cut" },
    OtherCase{ { "key", "POST", "h.example", "/p/x?a=1b", "ody" }, "CutBody" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(CallDigestTest, IsTheSameInEveryProcess)
{
  EXPECT_EQ(FormatDigest(DigestOf({})), "6ed6db2c96149402103499ba78678cec");
}

RC_GTEST_PROP(CallDigestTest,
              ItsTextNamesIt,
              (std::uint64_t aHigh, std::uint64_t aLow))
{
  const CallDigest digest{ aHigh, aLow };
  RC_ASSERT(ParseDigest(FormatDigest(digest)) == digest);
}

class BadDigestTest : public ::testing::TestWithParam<const char*>
{};

TEST_P(BadDigestTest, IsNothing)
{
  EXPECT_FALSE(ParseDigest(GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(
  Texts,
  BadDigestTest,
  ::testing::Values("",
                    "0",
                    "g0000000000000000000000000000000",
                    "000000000000000000000000000000000"));

} // namespace
} // namespace ridgeferry::quarantine
