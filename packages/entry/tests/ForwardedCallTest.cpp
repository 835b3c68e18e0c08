#include "ForwardedCall.h"

#include <gtest/gtest.h>
#include <ridgeferry/entry/PassableHeaders.h>

namespace ridgeferry::entry {
namespace {

net::ReceivedRequest
CallersRequest()
{
  net::ReceivedRequest out;
  out.m_method = "POST";
  out.m_target = "/p/x?q=1";
  out.m_body = "body";
  out.m_headers.Add("Host", "h.example");
  out.m_headers.Add("Authorization", "Token k");
  out.m_headers.Add("Connection", "close");
  return out;
}

// A call that is passed on must reach the other instance as it came.
TEST(ForwardedCallTest, TheCallersRequestIsUnchanged)
{
  const net::HttpRequest sent = WriteForwarded(
    CallersRequest(), "10.0.0.2:80", { Duration{ 700 }, Duration{ 30 }, "" });
  EXPECT_EQ(sent.m_method, "POST");
  EXPECT_EQ(sent.m_target, "/p/x?q=1");
  EXPECT_EQ(sent.m_address, "10.0.0.2:80");
  EXPECT_EQ(sent.m_body, "body");
  EXPECT_EQ(sent.m_headers.Find("Host"), "h.example");
  EXPECT_EQ(sent.m_headers.Find("Authorization"), "Token k");
  EXPECT_EQ(sent.m_headers.Find("Connection"), std::nullopt);
}

struct TermsCase
{
  const char* m_name;
  ForwardedTerms m_terms;
};

class ForwardedTermsTest : public ::testing::TestWithParam<TermsCase>
{};

TEST_P(ForwardedTermsTest, SurviveTheWay)
{
  const ForwardedTerms& terms = GetParam().m_terms;
  const auto read =
    ReadForwarded(WriteForwarded(CallersRequest(), "a", terms).m_headers);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->m_left, terms.m_left);
  EXPECT_EQ(read->m_waited, terms.m_waited);
  EXPECT_EQ(read->m_resumeAfter, terms.m_resumeAfter);
  EXPECT_EQ(read->m_origin, terms.m_origin);
  EXPECT_EQ(read->m_config, terms.m_config);
}

INSTANTIATE_TEST_SUITE_P(
  Terms,
  ForwardedTermsTest,
  ::testing::Values(
    TermsCase{ "Fresh", { Duration{ 700 }, Duration{}, "" } },
    TermsCase{ "Resumes", { Duration{ 1 }, Duration{ 900 }, "17" } },
    TermsCase{ "StaysAtItsVersion",
               { Duration{ 1 },
                 Duration{},
                 "17",
                 streams::StreamOrigin{ "s", "v1.1" } } },
    TermsCase{ "NamesItsConfiguration",
               { Duration{ 700 },
                 Duration{},
                 "",
                 std::nullopt,
                 StorePosition{ 3, 61 } } },
    TermsCase{ "OddNames",
               { Duration{ 1 },
                 Duration{},
                 "",
                 streams::StreamOrigin{ "a b%20\r\nX: y", "" } } }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

struct NoTermsCase
{
  const char* m_name;
  const char* m_left;
  const char* m_waited;
};

class NoTermsTest : public ::testing::TestWithParam<NoTermsCase>
{};

TEST_P(NoTermsTest, IsNoForwardedCall)
{
  net::HttpHeaders headers;
  headers.Add("Ridgeferry-Left-Ms", GetParam().m_left);
  headers.Add("Ridgeferry-Waited-Ms", GetParam().m_waited);
  EXPECT_FALSE(ReadForwarded(headers).has_value());
}

INSTANTIATE_TEST_SUITE_P(
  Headers,
  NoTermsTest,
  ::testing::Values(NoTermsCase{ "Empty", "", "" },
                    NoTermsCase{ "Negative", "-1", "0" },
                    NoTermsCase{ "NoNumber", "100", "soon" },
                    NoTermsCase{ "MoreThanANumber", "100ms", "0" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// What instances tell each other must reach neither callers nor upstreams.
TEST(ForwardedCallTest, FieldsOfInstancesAreNotPassedOn)
{
  net::HttpHeaders headers;
  MarkDeclined(headers);
  headers.Add("ridgeferry-left-ms", "5");
  headers.Add("Server", "w");
  EXPECT_TRUE(IsDeclined(headers));
  const net::HttpHeaders passed = PassableHeaders(headers);
  EXPECT_EQ(passed.All().size(), 1U);
  EXPECT_FALSE(IsDeclined(passed));
}

} // namespace
} // namespace ridgeferry::entry
