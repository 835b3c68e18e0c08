#pragma once

#include <string>
#include <string_view>

namespace ridgeferry::net {

/** Percent-encodes all but the unreserved characters. */
std::string
EncodeUriPart(std::string_view aText);

} // namespace ridgeferry::net
