#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace ridgeferry::quarantine {

/** All that makes two requests the same call; ids and times left are not in it,
 * as each try has its own. */
struct CallContent
{
  std::string_view m_caller; ///< Its credentials; empty: it shows none.
  std::string_view m_method;
  std::string_view m_host;
  std::string_view m_target; ///< Path and query as sent.
  std::string_view m_body;
};

/** Names a call by its content, the same at all instances. */
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
 * Digest of a call. Cryptographic (BLAKE2b), so that no caller can make one
 * that collides with another's call. Thread-safe.
 */
CallDigest
DigestOf(const CallContent& aContent);

/** 32 hexadecimal digits. Thread-safe. */
std::string
FormatDigest(const CallDigest& aDigest);

/** Nothing: not of the form that `FormatDigest` gives. Thread-safe. */
std::optional<CallDigest>
ParseDigest(std::string_view aText);

} // namespace ridgeferry::quarantine
