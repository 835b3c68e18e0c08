#pragma once

#include <cstdint>
#include <string>

namespace ridgeferry::quarantine {

/**
 * A segment of a prompt that other prompts may share. It is the same segment
 * whatever stands before it.
 */
struct PromptSegment
{
  std::uint64_t m_hash = 0; ///< Hash of the segment's id.
  bool operator==(const PromptSegment&) const = default;
  bool operator<(const PromptSegment& aOther) const
  {
    return m_hash < aOther.m_hash;
  }
};

/** Returns the segment's hash as 16 hexadecimal digits. Thread-safe. */
std::string
FormatSegment(const PromptSegment& aSegment);

} // namespace ridgeferry::quarantine
