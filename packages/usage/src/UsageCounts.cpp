#include "ridgeferry/usage/UsageCounts.h"

#include <nlohmann/json.hpp>

namespace ridgeferry::usage {

void
DropOldWindows(CountsByWindow& aWindows)
{
  while (aWindows.size() > kKeptWindows) {
    aWindows.erase(aWindows.begin());
  }
}

std::string
EncodeCounts(const Counts& aCounts)
{
  nlohmann::json out = nlohmann::json::object();
  for (const auto& [organisation, count] : aCounts) {
    out[organisation] = count;
  }
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Counts>
DecodeCounts(std::string_view aText)
{
  const auto document = nlohmann::json::parse(aText, nullptr, false);
  if (!document.is_object()) {
    return std::nullopt;
  }
  Counts out;
  for (const auto& [organisation, count] : document.items()) {
    if (!count.is_number_integer() || count.get<std::int64_t>() < 0) {
      return std::nullopt;
    }
    out[organisation] = count.get<std::int64_t>();
  }
  return out;
}

} // namespace ridgeferry::usage
