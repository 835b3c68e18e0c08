#include "ridgeferry/quarantine/Suspect.h"

#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::quarantine {

std::string
FormatSuspect(const Suspect& aSuspect)
{
  return std::visit(
    Overloaded{
      [](const CallDigest& aCall) { return FormatDigest(aCall); },
      [](const PromptSegment& aSegment) { return FormatSegment(aSegment); } },
    aSuspect);
}

} // namespace ridgeferry::quarantine
