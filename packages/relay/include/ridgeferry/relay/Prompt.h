#pragma once

#include <cstdint>
#include <vector>

namespace ridgeferry::relay {

/** A part of a prompt that other calls share, with all parts before it. */
struct SharedPart
{
  std::uint32_t m_key = 0; ///< Of it and all parts before it.
  std::int64_t m_tokens = 0;
  bool operator==(const SharedPart&) const = default;
};

/** What a prompt costs to read, in tokens. */
struct Prompt
{
  /** Of the parts that other calls share, in order; 0: it shares none. */
  std::uint64_t m_sharedKey = 0;
  std::int64_t m_sharedTokens = 0;
  std::int64_t m_ownTokens = 0;
  std::int64_t m_outTokens = 0;
  /** Of the shared ones, in the first of several parts: so many calls share it
   * that every engine keeps it. */
  std::int64_t m_commonTokens = 0;
  std::vector<SharedPart> m_parts = {}; ///< The shared ones, in order.
};

} // namespace ridgeferry::relay
