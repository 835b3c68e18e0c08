#include "ridgeferry/quarantine/CrashRecordsText.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace ridgeferry::quarantine {

namespace {

constexpr const char* kCall = "call";
constexpr const char* kLife = "life";
constexpr const char* kCleared = "cleared";
constexpr const char* kEndedAt = "endedAtMs"; ///< Unix time in milliseconds.

std::optional<ReportedCrash>
CrashRecordFrom(const nlohmann::json& aItem, WallTime aNow)
{
  if (!aItem.is_object() || !aItem.contains(kCall) ||
      !aItem[kCall].is_string() || !aItem.contains(kLife) ||
      !aItem[kLife].is_number_unsigned() || !aItem.contains(kCleared) ||
      !aItem[kCleared].is_boolean() || !aItem.contains(kEndedAt) ||
      !aItem[kEndedAt].is_number_integer()) {
    return std::nullopt;
  }
  const auto call = ParseDigest(aItem[kCall].get_ref<const std::string&>());
  if (!call) {
    return std::nullopt;
  }
  const Duration now = aNow.time_since_epoch();
  const Duration age = now - Duration(aItem[kEndedAt].get<std::int64_t>());
  // The writer's clock may be ahead of this instance's clock, which would give
  // a negative age.
  return ReportedCrash{
    { *call, aItem[kLife].get<std::uint64_t>(), aItem[kCleared].get<bool>() },
    std::max(Duration{}, age)
  };
}

} // namespace

std::string
FormatCrashRecords(std::span<const ReportedCrash> aEndings, WallTime aNow)
{
  nlohmann::json out = nlohmann::json::array();
  for (const ReportedCrash& told : aEndings) {
    const WallTime endedAt = aNow - told.m_age;
    out.push_back({ { kCall, FormatDigest(told.m_record.m_call) },
                    { kLife, told.m_record.m_incarnationHash },
                    { kCleared, told.m_record.m_cleared },
                    { kEndedAt, endedAt.time_since_epoch().count() } });
  }
  return out.dump();
}

tl::expected<std::vector<ReportedCrash>, std::string>
ParseCrashRecords(std::string_view aText, WallTime aNow)
{
  const auto document = nlohmann::json::parse(aText, nullptr, false);
  if (!document.is_array()) {
    return tl::unexpected(std::string("crash records are not a JSON array"));
  }
  std::vector<ReportedCrash> out;
  for (const nlohmann::json& item : document) {
    const auto told = CrashRecordFrom(item, aNow);
    if (!told) {
      return tl::unexpected("entry " + std::to_string(out.size()) +
                            " of the crash records needs valid fields call, "
                            "life, cleared and endedAtMs");
    }
    out.push_back(*told);
  }
  return out;
}

} // namespace ridgeferry::quarantine
