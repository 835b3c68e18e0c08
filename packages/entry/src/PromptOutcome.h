#pragma once

#include <cstdint>
#include <string_view>

namespace ridgeferry::entry {

/** How a call with a prompt ended from its caller's point of view. */
enum class PromptOutcome : std::uint8_t
{
  /** The answer was complete, its first byte met the target of the route, and
   * no pause within the stream was too long. */
  InAim,
  Late,    ///< The answer was complete, but missed one of these bounds.
  Refused, ///< The instance refused the call, which did not run.
  Failed,  ///< The caller got no complete answer for another reason.
};

/** Returns the metric label of the outcome. */
std::string_view
NameOf(PromptOutcome aOutcome);

/** Returns the metric label of the size band that contains `aTokens`. There are
 * nine bands. The first ends at 512 tokens, and each further band begins at
 * twice the tokens of the band before it. */
std::string_view
SizeBandOf(std::int64_t aTokens);

} // namespace ridgeferry::entry
