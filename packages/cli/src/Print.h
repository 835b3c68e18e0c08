#pragma once

#include <nlohmann/json.hpp>

namespace ridgeferry::cli {

/** Text forms of the API's answers, on standard output. */
void
PrintStatus(const nlohmann::json& aStatus);
void
PrintObjects(const nlohmann::json& aObjects);
void
PrintEvents(const nlohmann::json& aObjects);
void
PrintAudit(const nlohmann::json& aAudit);
void
PrintExplanation(const nlohmann::json& aExplanation);

} // namespace ridgeferry::cli
