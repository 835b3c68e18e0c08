#pragma once

#include <ridgeferry/base/Time.h>
#include <ridgeferry/quarantine/Quarantine.h>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::quarantine {

/**
 * Returns crash records as a JSON array, for peers and for the store. Times are
 * written as wall-clock times, so that they stay valid when all processes have
 * been restarted. Thread-safe.
 */
std::string
FormatCrashRecords(std::span<const ReportedCrash> aEndings, WallTime aNow);

/**
 * Parses the output of `FormatCrashRecords`. The error says what is wrong with
 * the text. Thread-safe.
 */
tl::expected<std::vector<ReportedCrash>, std::string>
ParseCrashRecords(std::string_view aText, WallTime aNow);

} // namespace ridgeferry::quarantine
