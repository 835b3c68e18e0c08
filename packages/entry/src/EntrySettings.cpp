#include "ridgeferry/entry/EntrySettings.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace ridgeferry::entry {

namespace {

constexpr std::size_t kBytesPerMb = std::size_t{ 1024 } * 1024;
constexpr int kDefaultMemoryMb = 256;
constexpr int kLeastMemoryMb = 16;
constexpr int kMostMemoryMb = 1024 * 1024;
constexpr double kLongestGraceS = 3600;
/** Upper limit of `RetryBounds::m_floor`, far above the retries that all
 * instances together could send in a window. */
constexpr double kMostFloor = 1e6;
constexpr double kLongestWindowS = 3600;
constexpr std::int64_t kLongestTurnMs = 3'600'000;
constexpr std::int64_t kLongestKeyBoundMs = 3'600'000;
constexpr double kMsPerSecond = 1000;

net::Address
ReadAddress(FieldReader& aReader, std::string_view aField)
{
  const std::string text = aReader.RequiredString(aField);
  const auto address = net::Address::Parse(text);
  if (!address && !text.empty()) {
    aReader.Fail(aField, "IP:PORT, such as \"127.0.0.1:8080\"");
  }
  return address.value_or(net::Address{});
}

Duration
ReadSeconds(FieldReader& aReader,
            std::string_view aField,
            Duration aFallback,
            double aLongest)
{
  const double fallback = static_cast<double>(aFallback.count()) / kMsPerSecond;
  const double seconds = aReader.OptionalNumber(aField, fallback, 0, aLongest);
  return Duration(static_cast<std::int64_t>(seconds * kMsPerSecond));
}

void
ReadListen(FieldReader& aListen, EntrySettings& aSettings)
{
  aSettings.m_callers = ReadAddress(aListen, "callers");
  aSettings.m_readiness = ReadAddress(aListen, "readiness");
  aSettings.m_metrics = ReadAddress(aListen, "metrics");
  aSettings.m_peers = ReadAddress(aListen, "peers");
  aListen.RejectUnknown();
}

void
ReadSeeds(FieldReader& aReader, EntrySettings& aSettings)
{
  for (const std::string& text : aReader.StringList("seeds")) {
    if (const auto address = net::Address::Parse(text)) {
      aSettings.m_seeds.push_back(*address);
    } else {
      aReader.Fail("seeds", "a list of IP:PORT");
    }
  }
}

void
ReadRetries(FieldReader& aRetries, EntrySettings& aSettings)
{
  RetryBounds& bounds = aSettings.m_retries;
  bounds.m_ratio = aRetries.OptionalNumber("ratio", bounds.m_ratio, 0, 1);
  bounds.m_floor =
    aRetries.OptionalNumber("floor", bounds.m_floor, 0, kMostFloor);
  bounds.m_window =
    ReadSeconds(aRetries, "windowSeconds", bounds.m_window, kLongestWindowS);
  aRetries.RejectUnknown();
}

void
ReadKeys(FieldReader& aKeys, EntrySettings& aSettings)
{
  keys::KeyRules& rules = aSettings.m_keys;
  if (aKeys.Has("revocationMs")) {
    rules.m_revocation =
      Duration(aKeys.RequiredInt("revocationMs", 1, kLongestKeyBoundMs));
  }
  rules.m_configApply = Duration(aKeys.OptionalInt(
    "configApplyMs", rules.m_configApply.count(), 1, kLongestKeyBoundMs));
  aKeys.RejectUnknown();
}

void
ReadDuties(FieldReader& aDuties, EntrySettings& aSettings)
{
  DutySettings& duties = aSettings.m_duties;
  duties.m_address = ReadAddress(aDuties, "address").ToString();
  duties.m_reportWindow = ReadSeconds(
    aDuties, "reportWindowSeconds", duties.m_reportWindow, kLongestWindowS);
  duties.m_reportLate = ReadSeconds(
    aDuties, "reportLateSeconds", duties.m_reportLate, kLongestWindowS);
  aDuties.RejectUnknown();
}

} // namespace

tl::expected<EntrySettings, SettingsError>
ParseEntrySettings(std::string_view aText, const std::string& aFile)
{
  const nlohmann::json document = nlohmann::json::parse(aText, nullptr, false);
  if (document.is_discarded()) {
    return tl::unexpected(SettingsError{ aFile, {}, "the file is not JSON" });
  }
  EntrySettings out;
  std::vector<FieldError> faults;
  FieldReader reader(document, "", faults);
  out.m_instance = reader.RequiredString("instance");
  out.m_dataCentre = reader.RequiredString("hall");
  if (!reader.Has("listen")) {
    reader.Fail("listen",
                "an object with callers, readiness, metrics and peers");
  }
  reader.Object("listen",
                [&](FieldReader& aListen) { ReadListen(aListen, out); });
  ReadSeeds(reader, out);
  out.m_store = ReadAddress(reader, "store").ToString();
  out.m_stopGrace =
    ReadSeconds(reader, "stopGraceSeconds", out.m_stopGrace, kLongestGraceS);
  out.m_memory =
    static_cast<std::size_t>(reader.OptionalInt(
      "memoryMb", kDefaultMemoryMb, kLeastMemoryMb, kMostMemoryMb)) *
    kBytesPerMb;
  out.m_orderTurn = Duration(reader.OptionalInt(
    "orderTurnMs", out.m_orderTurn.count(), 1, kLongestTurnMs));
  reader.Object("retries",
                [&](FieldReader& aRetries) { ReadRetries(aRetries, out); });
  reader.Object("keys", [&](FieldReader& aKeys) { ReadKeys(aKeys, out); });
  reader.Object("duties",
                [&](FieldReader& aDuties) { ReadDuties(aDuties, out); });
  reader.Object("quarantine", [&](FieldReader& aQuarantine) {
    out.m_quarantines = aQuarantine.OptionalBool("enabled", out.m_quarantines);
    aQuarantine.RejectUnknown();
  });
  reader.Object("upstreamStarts", [&](FieldReader& aStarts) {
    out.m_pacesStarts = aStarts.OptionalBool("paced", out.m_pacesStarts);
    aStarts.RejectUnknown();
  });
  reader.Object("fairAdmission", [&](FieldReader& aAdmission) {
    out.m_admitsFairly = aAdmission.OptionalBool("enabled", out.m_admitsFairly);
    aAdmission.RejectUnknown();
  });
  reader.RejectUnknown();
  if (!faults.empty()) {
    return tl::unexpected(SettingsError{ aFile, std::move(faults), {} });
  }
  return out;
}

tl::expected<EntrySettings, SettingsError>
LoadEntrySettings(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return tl::unexpected(
      SettingsError{ aFile, {}, "the file cannot be read" });
  }
  return ParseEntrySettings(text.str(), aFile);
}

} // namespace ridgeferry::entry
