#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ridgeferry::keys {

/**
 * Digest of an API key. Instances hold and exchange only digests, so that no
 * memory, log or message of theirs reveals a key. A plain value.
 */
struct KeyDigest
{
  static constexpr std::size_t kBytes = 32;

  std::array<std::uint8_t, kBytes> m_bytes{};

  /** Compares in a time that does not depend on the content. */
  bool operator==(const KeyDigest& aOther) const;
};

/** Thread-safe. */
KeyDigest
DigestOf(std::string_view aKey);

/** Returns the digest as hexadecimal digits. Thread-safe. */
std::string
FormatKeyDigest(const KeyDigest& aDigest);

/**
 * Returns std::nullopt if `aText` is not what `FormatKeyDigest` returns for
 * some digest. Thread-safe.
 */
std::optional<KeyDigest>
ParseKeyDigest(std::string_view aText);

} // namespace ridgeferry::keys
