#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <ridgeferry/entry/EntrySettings.h>

namespace ridgeferry::entry {
namespace {

using Json = nlohmann::json;

Json
GoodSettings()
{
  return { { "instance", "one" },
           { "hall", "east" },
           { "listen",
             { { "callers", "10.0.0.1:80" },
               { "readiness", "10.0.0.1:81" },
               { "metrics", "10.0.0.1:82" },
               { "peers", "10.0.0.1:83" } } },
           { "seeds", { "10.0.0.2:9" } },
           { "store", "10.0.0.3:7" },
           { "stopGraceSeconds", 8 },
           { "memoryMb", 120 },
           { "orderTurnMs", 4000 },
           { "quarantine", { { "enabled", false } } },
           { "upstreamStarts", { { "paced", true } } },
           { "fairAdmission", { { "enabled", true } } },
           { "keys", { { "revocationMs", 5000 }, { "configApplyMs", 3000 } } },
           { "duties",
             { { "address", "10.0.0.4:6" },
               { "reportWindowSeconds", 5 },
               { "reportLateSeconds", 9 } } },
           { "retries",
             { { "ratio", 0.2 }, { "floor", 56 }, { "windowSeconds", 10 } } } };
}

TEST(EntrySettingsTest, TakesAllFields)
{
  const auto settings = ParseEntrySettings(GoodSettings().dump(), "s.json");
  ASSERT_TRUE(settings.has_value()) << FormatSettingsError(settings.error());
  EXPECT_EQ(settings->m_instance, "one");
  EXPECT_EQ(settings->m_peers.ToString(), "10.0.0.1:83");
  ASSERT_EQ(settings->m_seeds.size(), 1U);
  EXPECT_EQ(settings->m_store, "10.0.0.3:7");
  EXPECT_EQ(settings->m_stopGrace, Duration{ 8000 });
  EXPECT_EQ(settings->m_memory, std::size_t{ 120 } * 1024 * 1024);
  EXPECT_EQ(settings->m_orderTurn, Duration{ 4000 });
  EXPECT_FALSE(settings->m_quarantines);
  EXPECT_TRUE(settings->m_pacesStarts);
  EXPECT_TRUE(settings->m_admitsFairly);
  EXPECT_EQ(settings->m_keys.m_revocation, Duration{ 5000 });
  EXPECT_EQ(settings->m_keys.m_configApply, Duration{ 3000 });
  EXPECT_EQ(settings->m_duties.m_address, "10.0.0.4:6");
  EXPECT_EQ(settings->m_duties.m_reportWindow, Duration{ 5000 });
  EXPECT_EQ(settings->m_duties.m_reportLate, Duration{ 9000 });
  EXPECT_EQ(settings->m_retries.m_floor, 56);
  EXPECT_EQ(settings->m_retries.m_window, Duration{ 10'000 });
}

TEST(EntrySettingsTest, WithoutKeysAndDutiesNothingOfThemApplies)
{
  Json document = GoodSettings();
  document.erase("keys");
  document.erase("duties");
  const auto settings = ParseEntrySettings(document.dump(), "s.json");
  ASSERT_TRUE(settings.has_value()) << FormatSettingsError(settings.error());
  EXPECT_FALSE(settings->m_keys.m_revocation.has_value());
  EXPECT_TRUE(settings->m_duties.m_address.empty());
  EXPECT_EQ(settings->m_duties.m_reportWindow, Duration{});
}

struct BadSettingsCase
{
  const char* m_name;
  /** JSON pointer of the changed field, at which the fault must be reported. */
  const char* m_pointer;
  const char* m_value; ///< JSON text of the field's new value.
};

class BadEntrySettingsTest : public ::testing::TestWithParam<BadSettingsCase>
{};

TEST_P(BadEntrySettingsTest, IsReportedWithItsPointer)
{
  Json document = GoodSettings();
  document[Json::json_pointer(GetParam().m_pointer)] =
    Json::parse(GetParam().m_value);
  const auto settings = ParseEntrySettings(document.dump(), "s.json");
  ASSERT_FALSE(settings.has_value());
  const std::string told = FormatSettingsError(settings.error());
  EXPECT_TRUE(told.starts_with("s.json: ")) << told;
  EXPECT_NE(told.find(GetParam().m_pointer), std::string::npos) << told;
  EXPECT_NE(told.find("allowed: "), std::string::npos) << told;
}

INSTANTIATE_TEST_SUITE_P(
  Fields,
  BadEntrySettingsTest,
  ::testing::Values(
    BadSettingsCase{ "NoInstance", "/instance", "null" },
    BadSettingsCase{ "HallIsNumber", "/hall", "5" },
    BadSettingsCase{ "AddressWithoutPort", "/listen/callers", "\"10.0.0.1\"" },
    BadSettingsCase{ "AddressIsName", "/store", "\"host:80\"" },
    BadSettingsCase{ "SeedIsNoAddress", "/seeds", "[\"x\"]" },
    BadSettingsCase{ "GraceIsText", "/stopGraceSeconds", "\"8\"" },
    BadSettingsCase{ "TurnIsText", "/orderTurnMs", "\"3\"" },
    BadSettingsCase{ "TurnIsNothing", "/orderTurnMs", "0" },
    BadSettingsCase{ "GraceIsNegative", "/stopGraceSeconds", "-1" },
    BadSettingsCase{ "RatioAboveOne", "/retries/ratio", "2" },
    BadSettingsCase{ "FloorBelowZero", "/retries/floor", "-1" },
    BadSettingsCase{ "QuarantineIsText", "/quarantine/enabled", "\"on\"" },
    BadSettingsCase{ "StartsAreText", "/upstreamStarts/paced", "\"on\"" },
    BadSettingsCase{ "AdmissionIsText", "/fairAdmission/enabled", "\"on\"" },
    BadSettingsCase{ "RevocationIsNothing", "/keys/revocationMs", "0" },
    BadSettingsCase{ "ApplyIsText", "/keys/configApplyMs", "\"3\"" },
    BadSettingsCase{ "UnknownRuleOfKeys", "/keys/strict", "true" },
    BadSettingsCase{ "DutiesWithoutAddress", "/duties/address", "null" },
    BadSettingsCase{ "WindowIsNegative", "/duties/reportWindowSeconds", "-5" },
    BadSettingsCase{ "UnknownField", "/colour", "1" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST(EntrySettingsTest, ReportsAFileThatIsNotJsonOrMissing)
{
  EXPECT_EQ(FormatSettingsError(ParseEntrySettings("x", "s.json").error()),
            "s.json: the file is not JSON\n");
  EXPECT_EQ(FormatSettingsError(LoadEntrySettings("/no/such/file").error()),
            "/no/such/file: the file cannot be read\n");
}

} // namespace
} // namespace ridgeferry::entry
