#include "ridgeferry/net/Http.h"

#include <strings.h>

namespace ridgeferry::net {

void
HttpHeaders::Add(std::string aName, std::string aValue)
{
  m_items.emplace_back(std::move(aName), std::move(aValue));
}

std::optional<std::string_view>
HttpHeaders::Find(std::string_view aName) const
{
  for (const auto& [name, value] : m_items) {
    const bool same = name.size() == aName.size() &&
                      strncasecmp(name.data(), aName.data(), name.size()) == 0;
    if (same) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace ridgeferry::net
