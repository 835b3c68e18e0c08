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

} // namespace ridgeferry::net
