#include "ridgeferry/net/Http.h"

#include <strings.h>

namespace ridgeferry::net {

void
HttpHeaders::Add(std::string aName, std::string aValue)
{
  m_items.emplace_back(std::move(aName), std::move(aValue));
}

bool
HttpHeaders::SameName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::optional<std::string_view>
HttpHeaders::Find(std::string_view aName) const
{
  for (const auto& [name, value] : m_items) {
    if (SameName(name, aName)) {
      return value;
    }
  }
  return std::nullopt;
}

std::string_view
NameOf(BodyFraming aFraming)
{
  switch (aFraming) {
    case BodyFraming::Length:
      return "length";
    case BodyFraming::Chunks:
      return "chunks";
    case BodyFraming::Close:
      break;
  }
  return "close";
}

} // namespace ridgeferry::net
