#pragma once

#include <cstdint>
#include <string_view>

namespace ridgeferry::entry {

/** What became of a call with a prompt, as its caller sees it. */
enum class PromptOutcome : std::uint8_t
{
  InAim, ///< Whole, its first event in time and none too long after another.
  Late,  ///< Whole all the same.
  Refused,
  Failed,
};

std::string_view
NameOf(PromptOutcome aOutcome);

/** The band of a prompt's size that it is counted in, for a metric's label:
 * each begins at twice the tokens of the one before. Nine bands. */
std::string_view
SizeBandOf(std::int64_t aTokens);

} // namespace ridgeferry::entry
