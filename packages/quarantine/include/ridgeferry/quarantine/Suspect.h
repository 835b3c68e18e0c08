#pragma once

#include <cstdint>
#include <limits>
#include <ridgeferry/quarantine/CallDigest.h>
#include <ridgeferry/quarantine/PromptSegment.h>
#include <string>
#include <variant>

namespace ridgeferry::quarantine {

/**
 * What may crash the upstreams that run a request: the request as a whole, or
 * one segment of its prompt, whatever else the request holds.
 */
using Suspect = std::variant<CallDigest, PromptSegment>;

/**
 * The depth of a suspect in its request is the number of prompt segments that
 * stand before it. A call is deeper than any segment.
 */
using Depth = std::uint32_t;
inline constexpr Depth kCallDepth = std::numeric_limits<Depth>::max();

/** One of the suspects that a request names. */
struct NamedSuspect
{
  Suspect m_suspect;
  Depth m_depth = kCallDepth;
};

/** Returns whether the suspect is a segment of prompts. Thread-safe. */
inline bool
IsSegment(const Suspect& aSuspect)
{
  return std::holds_alternative<PromptSegment>(aSuspect);
}

/**
 * Returns the suspect as hexadecimal digits: 32 for a call, 16 for a segment.
 * Thread-safe.
 */
std::string
FormatSuspect(const Suspect& aSuspect);

} // namespace ridgeferry::quarantine
