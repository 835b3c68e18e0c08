#include "ridgeferry/keys/KeyDigest.h"

#include <sodium.h>

namespace ridgeferry::keys {

bool
KeyDigest::operator==(const KeyDigest& aOther) const
{
  return sodium_memcmp(m_bytes.data(), aOther.m_bytes.data(), kBytes) == 0;
}

KeyDigest
DigestOf(std::string_view aKey)
{
  KeyDigest out;
  crypto_generichash(out.m_bytes.data(),
                     out.m_bytes.size(),
                     reinterpret_cast<const unsigned char*>(aKey.data()),
                     aKey.size(),
                     nullptr,
                     0);
  return out;
}

std::string
FormatKeyDigest(const KeyDigest& aDigest)
{
  std::string out(2 * KeyDigest::kBytes + 1, '\0');
  sodium_bin2hex(
    out.data(), out.size(), aDigest.m_bytes.data(), aDigest.m_bytes.size());
  out.pop_back(); // The terminating zero.
  return out;
}

std::optional<KeyDigest>
ParseKeyDigest(std::string_view aText)
{
  KeyDigest out;
  std::size_t bytes = 0;
  const int failed = sodium_hex2bin(out.m_bytes.data(),
                                    out.m_bytes.size(),
                                    aText.data(),
                                    aText.size(),
                                    nullptr,
                                    &bytes,
                                    nullptr);
  if (failed != 0 || bytes != KeyDigest::kBytes ||
      aText.size() != 2 * KeyDigest::kBytes) {
    return std::nullopt;
  }
  return out;
}

} // namespace ridgeferry::keys
