#include "ridgeferry/daemon/Settings.h"

#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace ridgeferry::daemon {

namespace {

constexpr std::array<std::string_view, 2> kFormats = { "json", "text" };
constexpr std::array<std::string_view, 4> kLevels = { "debug",
                                                      "info",
                                                      "warning",
                                                      "error" };
constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::int64_t kMaxStopS = 86'400;
constexpr std::int64_t kMaxBodyLimit = std::int64_t{ 1 } << 30U;
constexpr std::size_t kLeastTokenLength = 8;

net::Address
ReadAddress(FieldReader& aReader, std::string_view aField)
{
  const std::string text = aReader.RequiredString(aField);
  if (text.empty()) {
    return {};
  }
  const auto address = net::Address::Parse(text);
  if (!address) {
    aReader.Fail(aField, "IP:PORT, such as \"127.0.0.1:8080\"");
  }
  return address.value_or(net::Address{});
}

std::string
ReadPeerAddress(FieldReader& aReader, std::string_view aField)
{
  const net::Address address = ReadAddress(aReader, aField);
  return address.m_ip.empty() ? std::string() : address.ToString();
}

void
RequireObject(FieldReader& aReader,
              std::string_view aField,
              const std::function<void(FieldReader&)>& aRead)
{
  if (!aReader.Has(aField)) {
    aReader.Fail(aField, "an object");
  }
  aReader.Object(aField, aRead);
}

void
ReadTokens(FieldReader& aReader,
           Settings& aSettings,
           std::vector<FieldError>& aFaults)
{
  RequireObject(aReader, "admin", [&](FieldReader& aAdmin) {
    aAdmin.ForEachItem(
      "tokens", [&](const nlohmann::json& aItem, const std::string& aPointer) {
        FieldReader reader(aItem, aPointer, aFaults);
        AdminToken token{ reader.RequiredString("name"),
                          reader.RequiredString("token") };
        if (!token.m_token.empty() &&
            token.m_token.size() < kLeastTokenLength) {
          reader.Fail("token", "at least 8 characters");
        }
        reader.RejectUnknown();
        aSettings.m_adminTokens.push_back(std::move(token));
      });
    if (aSettings.m_adminTokens.empty()) {
      aAdmin.Fail("tokens", "an array of one token or more");
    }
  });
}

void
ReadTimes(FieldReader& aReader, Settings& aSettings)
{
  aReader.Object("stop", [&](FieldReader& aStop) {
    aSettings.m_stop.m_longest = std::chrono::seconds(
      aStop.OptionalInt("longestSeconds", kHourMs / 1000, 1, kMaxStopS));
    aSettings.m_stop.m_linger =
      Duration(aStop.OptionalInt("lingerMs", 1000, 0, 60'000));
  });
  aReader.Object("poll", [&](FieldReader& aPoll) {
    aSettings.m_poll.m_list =
      Duration(aPoll.OptionalInt("listMs", 1000, 50, 60'000));
    aSettings.m_poll.m_status =
      Duration(aPoll.OptionalInt("statusMs", 1000, 50, 60'000));
  });
  aReader.Object("lease", [&](FieldReader& aLease) {
    authority::LeaseTimes& lease = aSettings.m_lease;
    lease.m_term = Duration(aLease.OptionalInt("termMs", 6000, 500, 600'000));
    // A tenth: the rates of two clocks differ by far less.
    lease.m_margin = lease.m_term / 10;
    lease.m_renewEvery = lease.m_term / 3;
    lease.m_pollEvery = lease.m_term / 6;
  });
}

void
ReadLog(FieldReader& aReader, Settings& aSettings)
{
  aReader.Object("log", [&](FieldReader& aLog) {
    aSettings.m_log.m_format = static_cast<observe::LogFormat>(
      aLog.OptionalChoice("format", 0, kFormats));
    aSettings.m_log.m_level =
      static_cast<observe::LogLevel>(aLog.OptionalChoice("level", 1, kLevels));
    aSettings.m_log.m_file = aLog.OptionalString("file", "");
  });
}

} // namespace

tl::expected<Settings, SettingsError>
ParseSettings(std::string_view aText, const std::string& aFile)
{
  nlohmann::json value;
  try {
    value = nlohmann::json::parse(aText);
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(
      SettingsError{ aFile, {}, std::string("no JSON: ") + error.what() });
  }
  std::vector<FieldError> faults;
  Settings settings;
  FieldReader reader(value, "", faults);
  settings.m_instance = reader.RequiredString("instance");
  settings.m_dataCentre = reader.RequiredString("hall");
  RequireObject(reader, "listen", [&](FieldReader& aListen) {
    settings.m_listen.m_callers = ReadAddress(aListen, "callers");
    settings.m_listen.m_admin = ReadAddress(aListen, "admin");
    settings.m_listen.m_peers = ReadAddress(aListen, "peers");
  });
  RequireObject(reader, "platform", [&](FieldReader& aPlatform) {
    settings.m_platform.m_table = ReadPeerAddress(aPlatform, "table");
    settings.m_platform.m_objects = ReadPeerAddress(aPlatform, "objects");
    settings.m_platform.m_instances = ReadPeerAddress(aPlatform, "instances");
  });
  ReadTokens(reader, settings, faults);
  ReadLog(reader, settings);
  ReadTimes(reader, settings);
  settings.m_maxBodyBytes = static_cast<std::size_t>(
    reader.OptionalInt("maxBodyBytes",
                       static_cast<std::int64_t>(settings.m_maxBodyBytes),
                       1024,
                       kMaxBodyLimit));
  reader.RejectUnknown();
  if (!faults.empty()) {
    return tl::unexpected(SettingsError{ aFile, std::move(faults), {} });
  }
  return settings;
}

tl::expected<Settings, SettingsError>
LoadSettings(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return tl::unexpected(
      SettingsError{ aFile, {}, "the file cannot be read" });
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), aFile);
}

} // namespace ridgeferry::daemon
