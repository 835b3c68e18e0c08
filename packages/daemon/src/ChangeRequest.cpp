#include "ChangeRequest.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <ridgeferry/declared/Objects.h>

namespace ridgeferry::daemon {

tl::expected<ChangeRequest, std::vector<FieldError>>
ReadChangeRequest(std::string_view aText)
{
  std::vector<FieldError> faults;
  const nlohmann::json body = nlohmann::json::parse(aText, nullptr, false);
  if (body.is_discarded()) {
    faults.push_back({ "", "a body that is no JSON", "a JSON object" });
    return tl::unexpected(std::move(faults));
  }
  ChangeRequest request;
  FieldReader reader(body, "", faults);
  request.m_reason = reader.RequiredString("reason");
  request.m_expected = static_cast<config::Revision>(reader.OptionalInt(
    "expectedRevision", 0, 0, std::numeric_limits<std::int64_t>::max()));
  reader.ForEachItem(
    "put", [&](const nlohmann::json& aItem, const std::string& aPointer) {
      const auto object = declared::ObjectFromJson(aItem, aPointer);
      if (!object) {
        faults.insert(
          faults.end(), object.error().begin(), object.error().end());
        return;
      }
      request.m_edits.emplace_back(
        declared::PutObject{ declared::KeyOf(*object), aItem.dump() });
    });
  for (const std::string& key : reader.StringList("delete")) {
    request.m_edits.emplace_back(declared::DeleteObject{ key });
  }
  reader.RejectUnknown();
  if (faults.empty() && request.m_edits.empty()) {
    reader.Fail("put", "one object or more, here or in \"delete\"");
  }
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return request;
}

} // namespace ridgeferry::daemon
