#pragma once

#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::checker {

/** All lines of a run: of the stand-ins, the callers and the instances. Each
 * has `what` and, but for the instances' own logs, the time `us`. */
using Lines = std::vector<nlohmann::json>;

struct Violation
{
  std::string m_rule; ///< Name of the broken rule, as in docs/PROMISES.md.
  std::string m_what;
};

/** Reads every `*.jsonl` of a run's folder, ordered by time. */
Lines
ReadHistories(const std::filesystem::path& aFolder);

/** Checks all rules. Empty: the history keeps every promise it can show. */
std::vector<Violation>
CheckHistory(const Lines& aLines);

} // namespace ridgeferry::checker
