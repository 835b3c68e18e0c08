#pragma once

#include <string>
#include <string_view>

namespace ridgeferry::net {

/** Percent-encodes all but the unreserved characters. */
std::string
EncodeUriPart(std::string_view aText);

/** Undoes `EncodeUriPart`; what is no encoded character stays as it is. */
std::string
DecodeUriPart(std::string_view aText);

} // namespace ridgeferry::net
