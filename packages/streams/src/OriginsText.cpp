#include "ridgeferry/streams/OriginsText.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace ridgeferry::streams {

namespace {

using Json = nlohmann::json;

constexpr const char* kUntil = "untilMs"; ///< Unix time in milliseconds.
constexpr const char* kOrigins = "origins";
constexpr const char* kService = "service";
constexpr const char* kSoftwareVersion = "softwareVersion";
constexpr const char* kKeys = "keys"; ///< Hexadecimal digits of the hashes.
constexpr int kHex = 16;

std::string
DigitsOf(const StreamKey& aKey)
{
  std::array<char, kHex> digits{};
  const auto written = std::to_chars(
    digits.data(), digits.data() + digits.size(), aKey.m_hash, kHex);
  return { digits.data(), written.ptr };
}

std::optional<StreamKey>
KeyFrom(const Json& aItem)
{
  if (!aItem.is_string()) {
    return std::nullopt;
  }
  const auto& digits = aItem.get_ref<const std::string&>();
  const char* end = digits.data() + digits.size();
  StreamKey out;
  const auto read = std::from_chars(digits.data(), end, out.m_hash, kHex);
  if (read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return out;
}

bool
HasText(const Json& aItem, const char* aField)
{
  return aItem.contains(aField) && aItem[aField].is_string();
}

/** Appends the records of one origin. Returns whether the item is valid. */
bool
AppendRecords(const Json& aItem,
              Duration aKeepFor,
              std::vector<OriginRecord>& aOut)
{
  if (!aItem.is_object() || !HasText(aItem, kService) ||
      !HasText(aItem, kSoftwareVersion) || !aItem.contains(kKeys) ||
      !aItem[kKeys].is_array()) {
    return false;
  }
  const StreamOrigin origin{ aItem[kService].get<std::string>(),
                             aItem[kSoftwareVersion].get<std::string>() };
  for (const Json& item : aItem[kKeys]) {
    const auto key = KeyFrom(item);
    if (!key) {
      return false;
    }
    aOut.push_back({ *key, origin, aKeepFor });
  }
  return true;
}

} // namespace

std::string
FormatOrigins(std::span<const OriginRecord> aRecords, WallTime aNow)
{
  Duration longest{};
  std::map<std::pair<std::string, std::string>, Json> keys;
  for (const OriginRecord& record : aRecords) {
    longest = std::max(longest, record.m_keepFor);
    keys[{ record.m_origin.m_service, record.m_origin.m_softwareVersion }]
      .push_back(DigitsOf(record.m_key));
  }
  Json origins = Json::array();
  for (auto& [origin, streams] : keys) {
    origins.push_back({ { kService, origin.first },
                        { kSoftwareVersion, origin.second },
                        { kKeys, std::move(streams) } });
  }
  const WallTime until = aNow + longest;
  return Json{
    { kUntil, until.time_since_epoch().count() },
    { kOrigins, std::move(origins) }
  }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

tl::expected<std::vector<OriginRecord>, std::string>
ParseOrigins(std::string_view aText, WallTime aNow, Duration aMemory)
{
  const Json document = Json::parse(aText, nullptr, false);
  if (!document.is_object() || !document.contains(kUntil) ||
      !document[kUntil].is_number_integer() || !document.contains(kOrigins) ||
      !document[kOrigins].is_array()) {
    return tl::unexpected(
      std::string("not an object with untilMs and a list of origins"));
  }
  std::vector<OriginRecord> out;
  const std::int64_t until = document[kUntil].get<std::int64_t>();
  const std::int64_t now = aNow.time_since_epoch().count();
  if (until <= now) {
    return out;
  }
  // Both may be any number, so they are compared before one is subtracted.
  const Duration keepFor =
    until >= now + aMemory.count() ? aMemory : Duration{ until - now };
  for (const Json& item : document[kOrigins]) {
    if (!AppendRecords(item, keepFor, out)) {
      return tl::unexpected(std::string(
        "an origin needs service, softwareVersion and a list of keys"));
    }
  }
  return out;
}

} // namespace ridgeferry::streams
