#include "ridgeferry/relay/Member.h"

namespace ridgeferry::relay {

std::string_view
NameOf(Part aPart)
{
  switch (aPart) {
    case Part::Whole:
      return "whole";
    case Part::Prefill:
      return "read";
    case Part::Generate:
      break;
  }
  return "generate";
}

} // namespace ridgeferry::relay
