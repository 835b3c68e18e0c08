#include "ridgeferry/quarantine/CrashRecordsText.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::quarantine {

namespace {

/** Digits of the suspect, padded with zeros if it is a segment. */
constexpr const char* kCall = "call";
/** Depth of a segment. Calls have none. */
constexpr const char* kDepth = "depth";
constexpr const char* kLife = "life";
constexpr const char* kCleared = "cleared";
constexpr const char* kEndedAt = "endedAtMs"; ///< Unix time in milliseconds.

/** Returns the digits of any suspect in the form that calls have: readers that
 * know of no segments take it for a call that nobody makes. */
CallDigest
DigitsOf(const Suspect& aSuspect)
{
  return std::visit(Overloaded{ [](const CallDigest& aCall) { return aCall; },
                                [](const PromptSegment& aSegment) {
                                  return CallDigest{ 0, aSegment.m_hash };
                                } },
                    aSuspect);
}

/** Returns whether the depth of an item is missing or valid. */
bool
HasValidDepth(const nlohmann::json& aItem)
{
  return !aItem.contains(kDepth) ||
         (aItem[kDepth].is_number_unsigned() &&
          aItem[kDepth].get<std::uint64_t>() < kCallDepth);
}

std::optional<ReportedCrash>
CrashRecordFrom(const nlohmann::json& aItem, WallTime aNow)
{
  if (!aItem.is_object() || !aItem.contains(kCall) ||
      !aItem[kCall].is_string() || !aItem.contains(kLife) ||
      !aItem[kLife].is_number_unsigned() || !aItem.contains(kCleared) ||
      !aItem[kCleared].is_boolean() || !aItem.contains(kEndedAt) ||
      !aItem[kEndedAt].is_number_integer() || !HasValidDepth(aItem)) {
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
  CrashRecord record{ *call,
                      aItem[kLife].get<std::uint64_t>(),
                      aItem[kCleared].get<bool>() };
  if (aItem.contains(kDepth)) {
    record.m_suspect = PromptSegment{ call->m_low };
    record.m_depth = aItem[kDepth].get<Depth>();
  }
  return ReportedCrash{ record, std::max(Duration{}, age) };
}

} // namespace

std::string
FormatCrashRecords(std::span<const ReportedCrash> aEndings, WallTime aNow)
{
  nlohmann::json out = nlohmann::json::array();
  for (const ReportedCrash& told : aEndings) {
    const WallTime endedAt = aNow - told.m_age;
    nlohmann::json item{ { kCall,
                           FormatDigest(DigitsOf(told.m_record.m_suspect)) },
                         { kLife, told.m_record.m_incarnationHash },
                         { kCleared, told.m_record.m_cleared },
                         { kEndedAt, endedAt.time_since_epoch().count() } };
    if (IsSegment(told.m_record.m_suspect)) {
      item[kDepth] = told.m_record.m_depth;
    }
    out.push_back(std::move(item));
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
                            "life, cleared and endedAtMs, and depth if it is "
                            "one of a segment");
    }
    out.push_back(*told);
  }
  return out;
}

} // namespace ridgeferry::quarantine
