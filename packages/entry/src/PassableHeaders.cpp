#include "ridgeferry/entry/PassableHeaders.h"

#include "ForwardedCall.h"

#include <algorithm>
#include <array>

namespace ridgeferry::entry {

namespace {

/** Header fields that concern one connection only (hop-by-hop), or that delimit
 * the body, which each connection does in its own way. */
constexpr std::array<std::string_view, 11> kOfOneConnection = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
  "Expect",
};

/** Returns whether `aList`, the comma-separated value of a Connection header,
 * contains the field name `aName`. */
bool
IsNamed(std::string_view aList, std::string_view aName)
{
  while (!aList.empty()) {
    const std::size_t comma = aList.find(',');
    std::string_view item = aList.substr(0, comma);
    aList = comma == std::string_view::npos ? std::string_view{}
                                            : aList.substr(comma + 1);
    const std::size_t first = item.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
      continue;
    }
    item = item.substr(first, item.find_last_not_of(" \t") - first + 1);
    if (net::HttpHeaders::SameName(item, aName)) {
      return true;
    }
  }
  return false;
}

/** Returns whether only instances send the field to each other. */
bool
IsOfInstances(std::string_view aName)
{
  return net::HttpHeaders::SameName(
    aName.substr(0, kInstanceHeaderPrefix.size()), kInstanceHeaderPrefix);
}

} // namespace

net::HttpHeaders
PassableHeaders(const net::HttpHeaders& aHeaders)
{
  net::HttpHeaders out;
  for (const auto& [name, value] : aHeaders.All()) {
    const bool ofConnection =
      std::any_of(kOfOneConnection.begin(),
                  kOfOneConnection.end(),
                  [&field = name](std::string_view aKnown) {
                    return net::HttpHeaders::SameName(aKnown, field);
                  });
    const bool named = std::any_of(aHeaders.All().begin(),
                                   aHeaders.All().end(),
                                   [&field = name](const auto& aOther) {
                                     return net::HttpHeaders::SameName(
                                              aOther.first, "Connection") &&
                                            IsNamed(aOther.second, field);
                                   });
    if (!ofConnection && !named && !IsOfInstances(name)) {
      out.Add(name, value);
    }
  }
  return out;
}

} // namespace ridgeferry::entry
