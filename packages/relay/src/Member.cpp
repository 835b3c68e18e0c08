#include "ridgeferry/relay/Member.h"

namespace ridgeferry::relay {

std::string_view
NameOf(UpstreamRole aPart)
{
  switch (aPart) {
    case UpstreamRole::Plain:
      return "whole";
    case UpstreamRole::Prefill:
      return "read";
    case UpstreamRole::Decode:
      break;
  }
  return "generate";
}

} // namespace ridgeferry::relay
