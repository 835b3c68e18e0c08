#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <string>
#include <string_view>

namespace ridgeferry::relay {

/**
 * Remembers what incarnations of upstreams have said about themselves, whether
 * they are listed at the moment or not: a row may expire and come back with an
 * older state while its upstream still means what it said. A pure state
 * machine; not thread-safe.
 */
class UpstreamNotices
{
public:
  /** Most upstreams that are remembered; those heard of longest ago give way.
   * Some days of replacements, and about 100 KB. */
  static constexpr std::size_t kMostUpstreams = 1000;
  /** Longest back-off. Behind it one call asks whether it holds on, so that a
   * wrong figure puts no upstream out for good. */
  static constexpr Duration kMaxBackOff{ 60'000 };

  /**
   * Records that the incarnation leaves, which it does for good. Has no effect
   * if a later one under its id has spoken. Returns whether that is new.
   */
  bool NoteLeaving(const UpstreamIncarnation& aUpstream);
  /** Returns whether the incarnation leaves, or has ended, as a later one under
   * its id has spoken. */
  bool IsLeaving(const UpstreamIncarnation& aUpstream) const;

  /**
   * Records that the incarnation wants no requests from this instance for
   * `aFor`, at most `kMaxBackOff`. Of several ends the latest counts. Returns
   * false if it has asked for that before and that time has not ended.
   */
  bool NoteBackOff(const UpstreamIncarnation& aUpstream,
                   Duration aFor,
                   Instant aNow);
  /** Returns until when the incarnation wants no requests from this instance;
   * std::nullopt if it has not asked for that. */
  std::optional<Instant> BackOffUntil(
    const UpstreamIncarnation& aUpstream) const;

private:
  struct Notice
  {
    UpstreamIncarnation m_upstream;
    std::uint64_t m_heardAt = 0; ///< See `m_heard`.
    bool m_leaves = false;
    std::optional<Instant> m_backOffUntil = {};
  };

  /** Returns the notice of the incarnation, a new one if there is none; null if
   * a later incarnation has one. */
  Notice* Open(const UpstreamIncarnation& aUpstream);
  void DropOldest();

  std::map<std::string, Notice, std::less<>> m_notices; ///< By id.
  std::uint64_t m_heard = 0; ///< Counts statements, to find the oldest.
};

} // namespace ridgeferry::relay
