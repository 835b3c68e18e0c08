#include "ridgeferry/net/Uri.h"

#include <cstdlib>
#include <event2/http.h>

namespace ridgeferry::net {

std::string
EncodeUriPart(std::string_view aText)
{
  char* encoded =
    evhttp_uriencode(aText.data(), static_cast<ev_ssize_t>(aText.size()), 0);
  std::string out = encoded == nullptr ? "" : encoded;
  free(encoded); // NOLINT: allocated by the library with malloc.
  return out;
}

std::string
DecodeUriPart(std::string_view aText)
{
  std::size_t length = 0;
  char* decoded = evhttp_uridecode(std::string(aText).c_str(), 0, &length);
  if (decoded == nullptr) {
    return std::string(aText);
  }
  std::string out(decoded, length);
  free(decoded); // NOLINT: allocated by the library with malloc.
  return out;
}

} // namespace ridgeferry::net
