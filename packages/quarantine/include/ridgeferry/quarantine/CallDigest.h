#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace ridgeferry::quarantine {

/**
 * The parts of a request that decide whether two requests are the same call.
 * Request ids and deadlines are not among them, because each attempt has its
 * own.
 */
struct CallContent
{
  /** Credentials of the caller; empty if it sends none. */
  std::string_view m_caller;
  std::string_view m_method;
  std::string_view m_host;
  std::string_view m_target; ///< Path and query as sent.
  std::string_view m_body;
};

/** Identifies a call by its content. All instances compute the same digest. */
struct CallDigest
{
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;
  bool operator==(const CallDigest&) const = default;
  bool operator<(const CallDigest& aOther) const
  {
    return std::tie(m_high, m_low) < std::tie(aOther.m_high, aOther.m_low);
  }
};

/**
 * Returns the digest of a call. The hash is cryptographic (BLAKE2b), so that no
 * caller can craft a call that collides with another caller's. Thread-safe.
 */
CallDigest
DigestOf(const CallContent& aContent);

/** Returns the digest as 32 hexadecimal digits. Thread-safe. */
std::string
FormatDigest(const CallDigest& aDigest);

/**
 * Parses the form that `FormatDigest` returns; std::nullopt for any other text.
 * Thread-safe.
 */
std::optional<CallDigest>
ParseDigest(std::string_view aText);

} // namespace ridgeferry::quarantine
