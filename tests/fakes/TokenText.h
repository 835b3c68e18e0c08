#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ridgeferry::fakes {

/** What decides an engine's output, in the order of its hash. */
struct TokenSource
{
  std::string m_model;
  std::string m_version;
  std::string m_prompt;
  std::uint64_t m_seed = 0;
};

/** Token `aOffset` of the output: the same in every engine, so that a checker
 * can tell whether an answer is whole and the caller's own. */
std::string
TokenAt(const TokenSource& aSource, std::uint64_t aOffset);

/** Length of the whole output. */
std::uint64_t
TokenCount(const TokenSource& aSource, std::uint64_t aMaxTokens);

} // namespace ridgeferry::fakes
