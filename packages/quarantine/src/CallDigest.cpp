#include "ridgeferry/quarantine/CallDigest.h"

#include <array>
#include <charconv>
#include <cstring>
#include <sodium.h>

namespace ridgeferry::quarantine {

namespace {

constexpr std::size_t kDigestBytes = 16;
constexpr std::size_t kWordDigits = 16;
constexpr int kHex = 16;

void
Add(crypto_generichash_state& aState, std::string_view aBytes)
{
  crypto_generichash_update(
    &aState,
    reinterpret_cast<const unsigned char*>(aBytes.data()),
    aBytes.size());
}

/**
 * Adds the field with its length in front, so that no two lists of fields give
 * the same bytes.
 */
void
AddField(crypto_generichash_state& aState, std::string_view aField)
{
  Add(aState, std::to_string(aField.size()) + ":");
  Add(aState, aField);
}

std::string
WordText(std::uint64_t aWord)
{
  std::array<char, kWordDigits> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aWord, kHex);
  const std::string text(digits.data(), end.ptr);
  return std::string(kWordDigits - text.size(), '0') + text;
}

std::optional<std::uint64_t>
ParseWord(std::string_view aText)
{
  std::uint64_t out = 0;
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, out, kHex);
  if (read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return out;
}

} // namespace

CallDigest
DigestOf(const CallContent& aContent)
{
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, kDigestBytes);
  AddField(state, aContent.m_caller);
  AddField(state, aContent.m_method);
  AddField(state, aContent.m_host);
  AddField(state, aContent.m_target);
  AddField(state, aContent.m_body);
  std::array<unsigned char, kDigestBytes> bytes{};
  crypto_generichash_final(&state, bytes.data(), bytes.size());
  CallDigest out;
  std::memcpy(&out.m_high, bytes.data(), sizeof(out.m_high));
  std::memcpy(&out.m_low, bytes.data() + sizeof(out.m_high), sizeof(out.m_low));
  return out;
}

std::string
FormatDigest(const CallDigest& aDigest)
{
  return WordText(aDigest.m_high) + WordText(aDigest.m_low);
}

std::optional<CallDigest>
ParseDigest(std::string_view aText)
{
  if (aText.size() != 2 * kWordDigits) {
    return std::nullopt;
  }
  const auto high = ParseWord(aText.substr(0, kWordDigits));
  const auto low = ParseWord(aText.substr(kWordDigits));
  if (!high || !low) {
    return std::nullopt;
  }
  return CallDigest{ *high, *low };
}

} // namespace ridgeferry::quarantine
