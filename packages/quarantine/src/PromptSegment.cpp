#include "ridgeferry/quarantine/PromptSegment.h"

#include <ridgeferry/quarantine/CallDigest.h>

namespace ridgeferry::quarantine {

std::string
FormatSegment(const PromptSegment& aSegment)
{
  const std::string digits = FormatDigest({ 0, aSegment.m_hash });
  return digits.substr(digits.size() / 2);
}

} // namespace ridgeferry::quarantine
