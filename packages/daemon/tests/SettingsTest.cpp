#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <ridgeferry/daemon/Settings.h>

namespace ridgeferry::daemon {
namespace {

nlohmann::json
GoodSettings()
{
  return nlohmann::json::parse(R"({
    "instance": "kolkata-1", "hall": "kolkata",
    "listen": { "callers": "127.0.0.1:1", "admin": "127.0.0.1:2",
                "peers": "127.0.0.1:3" },
    "platform": { "table": "127.0.0.1:4", "objects": "127.0.0.1:5",
                  "instances": "127.0.0.1:6" },
    "admin": { "tokens": [ { "name": "ops", "token": "12345678" } ] }
  })");
}

/** One value of good settings replaced, or removed if `m_value` is empty. */
struct BadSettingCase
{
  const char* m_name;
  const char* m_pointer;
  const char* m_value;
  const char* m_fault;
};

class BadSettingTest : public ::testing::TestWithParam<BadSettingCase>
{};

TEST_P(BadSettingTest, SaysWhereWhatAndWhatIsAllowed)
{
  nlohmann::json settings = GoodSettings();
  const nlohmann::json::json_pointer pointer(GetParam().m_pointer);
  if (*GetParam().m_value == '\0') {
    settings.at(pointer.parent_pointer()).erase(pointer.back());
  } else {
    settings[pointer] = nlohmann::json::parse(GetParam().m_value);
  }
  const auto parsed = ParseSettings(settings.dump(), "s.json");
  ASSERT_FALSE(parsed.has_value());
  EXPECT_EQ(FormatSettingsError(parsed.error()),
            std::string("s.json: ") + GetParam().m_fault + "\n");
}

const BadSettingCase kBadSettings[] = {
  { "NoInstance",
    "/instance",
    "",
    "/instance: found nothing; allowed: a string that is not empty" },
  { "HallNumber",
    "/hall",
    "7",
    "/hall: found 7; allowed: a string that is not empty" },
  { "NoListen", "/listen", "", "/listen: found nothing; allowed: an object" },
  { "HostName",
    "/listen/callers",
    R"("localhost:80")",
    R"(/listen/callers: found "localhost:80"; allowed: IP:PORT, such as "127.0.0.1:8080")" },
  { "NoPort",
    "/listen/peers",
    R"("127.0.0.1")",
    R"(/listen/peers: found "127.0.0.1"; allowed: IP:PORT, such as "127.0.0.1:8080")" },
  { "PortTooHigh",
    "/platform/table",
    R"("127.0.0.1:70000")",
    R"(/platform/table: found "127.0.0.1:70000"; allowed: IP:PORT, such as "127.0.0.1:8080")" },
  { "NoTokens",
    "/admin/tokens",
    "[]",
    "/admin/tokens: found []; allowed: an array of one token or more" },
  { "ShortToken",
    "/admin/tokens/0/token",
    R"("abc")",
    R"(/admin/tokens/0/token: found "abc"; allowed: at least 8 characters)" },
  { "LogFormat",
    "/log",
    R"({"format":"xml"})",
    R"(/log/format: found "xml"; allowed: one of "json", "text")" },
  { "LogLevel",
    "/log",
    R"({"level":"loud"})",
    R"(/log/level: found "loud"; allowed: one of "debug", "info", "warning", "error")" },
  { "LeaseTerm",
    "/lease",
    R"({"termMs":10})",
    "/lease/termMs: found 10; allowed: a whole number from 500 to 600000" },
  { "StopFraction",
    "/stop",
    R"({"longestSeconds":1.5})",
    "/stop/longestSeconds: found 1.5; allowed: a whole number from 1 to "
    "86400" },
  { "BodyTooSmall",
    "/maxBodyBytes",
    "1",
    "/maxBodyBytes: found 1; allowed: a whole number from 1024 to "
    "1073741824" },
  { "UnknownInside",
    "/poll",
    R"({"every":5})",
    R"(/poll/every: found 5; allowed: no such field; fields here: "listMs", "statusMs")" },
};

INSTANTIATE_TEST_SUITE_P(Settings,
                         BadSettingTest,
                         ::testing::ValuesIn(kBadSettings),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

TEST(SettingsTest, AcceptsGoodOnes)
{
  const auto parsed = ParseSettings(GoodSettings().dump(), "s.json");
  ASSERT_TRUE(parsed.has_value()) << FormatSettingsError(parsed.error());
  EXPECT_EQ(parsed->m_listen.m_peers.m_port, 3);
}

TEST(SettingsTest, ReportsAllFaultsAtOnce)
{
  const auto parsed = ParseSettings(R"({"colour":"red"})", "s.json");
  ASSERT_FALSE(parsed.has_value());
  EXPECT_EQ(parsed.error().m_faults.size(), 6U);
}

TEST(SettingsTest, NamesAFileThatIsNoJson)
{
  const auto parsed = ParseSettings("{", "s.json");
  ASSERT_FALSE(parsed.has_value());
  EXPECT_TRUE(FormatSettingsError(parsed.error()).starts_with("s.json: no"));
}

} // namespace
} // namespace ridgeferry::daemon
