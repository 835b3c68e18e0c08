#pragma once

#include <cstdint>
#include <vector>

namespace ridgeferry::relay {

/**
 * A segment of a prompt's prefix that other calls share, together with all
 * segments before it.
 */
struct PrefixSegment
{
  /** Identifies this segment and all segments before it. */
  std::uint32_t m_key = 0;
  std::int64_t m_tokens = 0;
  bool operator==(const PrefixSegment&) const = default;
};

/**
 * The sizes of a prompt and its output, in tokens, which determine the cost of
 * its prefill.
 */
struct Prompt
{
  /**
   * Identifies the whole sequence of prefix segments; 0 if the prompt shares
   * none.
   */
  std::uint64_t m_sharedKey = 0;
  std::int64_t m_sharedTokens = 0;
  std::int64_t m_ownTokens = 0;
  std::int64_t m_outTokens = 0;
  /**
   * Those of `m_sharedTokens` that are in the first of several segments. So
   * many calls share that segment that every engine has it cached.
   */
  std::int64_t m_commonTokens = 0;
  std::vector<PrefixSegment>
    m_prefixSegments = {}; ///< The prefix segments, in order.
};

} // namespace ridgeferry::relay
