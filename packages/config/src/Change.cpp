#include "ridgeferry/config/Change.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::config {

namespace {

nlohmann::json
EditToJson(const declared::Edit& aEdit)
{
  return std::visit(
    Overloaded{ [](const declared::PutObject& aPut) {
                 return nlohmann::json{ { "put", aPut.m_key },
                                        { "object", aPut.m_json } };
               },
                [](const declared::DeleteObject& aDelete) {
                  return nlohmann::json{ { "delete", aDelete.m_key } };
                } },
    aEdit);
}

declared::Edit
EditFromJson(const nlohmann::json& aValue)
{
  if (aValue.contains("put")) {
    return declared::PutObject{ aValue.at("put").get<std::string>(),
                                aValue.at("object").get<std::string>() };
  }
  return declared::DeleteObject{ aValue.at("delete").get<std::string>() };
}

} // namespace

std::string
ChangeKey(Revision aRevision)
{
  constexpr std::size_t kDigits = 12;
  std::string digits = std::to_string(aRevision);
  if (digits.size() < kDigits) {
    digits.insert(0, kDigits - digits.size(), '0');
  }
  return std::string(kChangePrefix) + digits;
}

std::string
EncodeChange(const Change& aChange)
{
  nlohmann::json edits = nlohmann::json::array();
  for (const declared::Edit& edit : aChange.m_edits) {
    edits.push_back(EditToJson(edit));
  }
  return nlohmann::json{
    { "revision", aChange.m_revision }, { "id", aChange.m_id },
    { "author", aChange.m_author },     { "reason", aChange.m_reason },
    { "at", aChange.m_wallMs },         { "edits", std::move(edits) }
  }.dump();
}

tl::expected<Change, std::string>
DecodeChange(std::string_view aValue)
{
  try {
    const nlohmann::json value = nlohmann::json::parse(aValue);
    Change change;
    change.m_revision = value.at("revision").get<Revision>();
    change.m_id = value.at("id").get<std::string>();
    change.m_author = value.at("author").get<std::string>();
    change.m_reason = value.at("reason").get<std::string>();
    change.m_wallMs = value.at("at").get<std::int64_t>();
    for (const nlohmann::json& edit : value.at("edits")) {
      change.m_edits.push_back(EditFromJson(edit));
    }
    return change;
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(std::string("cannot decode the change row: ") +
                          error.what());
  }
}

std::string
EncodeHead(const Head& aHead)
{
  return nlohmann::json{
    { "revision", aHead.m_revision }, { "change", aHead.m_changeId }
  }.dump();
}

tl::expected<Head, std::string>
DecodeHead(std::string_view aValue)
{
  if (aValue.empty()) {
    return Head{};
  }
  try {
    const nlohmann::json value = nlohmann::json::parse(aValue);
    return Head{ value.at("revision").get<Revision>(),
                 value.at("change").get<std::string>() };
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(std::string("cannot decode the head row: ") +
                          error.what());
  }
}

} // namespace ridgeferry::config
