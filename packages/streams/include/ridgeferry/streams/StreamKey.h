#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace ridgeferry::streams {

/** What names a stream over all tries of its caller. */
struct StreamName
{
  /** Organisation of the caller; empty if there is none. */
  std::string_view m_organisation;
  std::string_view m_host;
  std::string_view m_path; ///< Without the query.
  /** The caller's id of the attempt that brought the first event. */
  std::string_view m_beganAs;
};

/** Identifies a stream. All instances compute the same key. */
struct StreamKey
{
  std::uint64_t m_hash = 0;

  bool operator==(const StreamKey&) const = default;
  bool operator<(const StreamKey& aOther) const
  {
    return m_hash < aOther.m_hash;
  }
};

/** Thread-safe. */
StreamKey
KeyOf(const StreamName& aName);

} // namespace ridgeferry::streams
