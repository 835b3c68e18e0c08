#include "TokenText.h"

#include <algorithm>
#include <array>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::fakes {

namespace {

constexpr std::array<std::string_view, 16> kWords = {
  "squall ", "cell ",  "moving ", "east ",  "valve ",    "shut ",
  "loop ",   "four ",  "coast ",  "clear ", "pressure ", "rising ",
  "tariff ", "night ", "within ", "limits "
};

std::uint64_t
SourceHash(const TokenSource& aSource)
{
  return Hash64(
    aSource.m_prompt,
    Hash64(aSource.m_version, Hash64(aSource.m_model, aSource.m_seed)));
}

} // namespace

std::string
TokenAt(const TokenSource& aSource, std::uint64_t aOffset)
{
  const std::uint64_t hash = RendezvousWeight(SourceHash(aSource), aOffset + 1);
  return std::string(kWords[hash % kWords.size()]);
}

std::uint64_t
TokenCount(const TokenSource& aSource, std::uint64_t aMaxTokens)
{
  constexpr std::uint64_t kLeast = 8;
  constexpr std::uint64_t kSpread = 24;
  const std::uint64_t natural = kLeast + SourceHash(aSource) % kSpread;
  // A long limit asks for a long answer: sessions need streams that last.
  constexpr std::uint64_t kLong = 64;
  return aMaxTokens >= kLong ? aMaxTokens : std::min(aMaxTokens, natural);
}

} // namespace ridgeferry::fakes
