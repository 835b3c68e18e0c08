#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <unordered_map>

namespace ridgeferry::limits {

/** Hash of an upstream's id, by which instances speak of it to each other. */
using UpstreamHash = std::uint32_t;

/** What an answer says about the requests a second that its upstream accepts
 * from all instances together. */
struct LimitStatement
{
  /** std::nullopt if the answer states no limit. */
  std::optional<double> m_perSecond;
  Instant m_at; ///< When the answer arrived, on this instance's clock.
};

/** What a statement changed in what was known of its upstream. */
enum class LimitChange : std::uint8_t
{
  None,
  Named,   ///< The upstream had no limit before.
  Changed, ///< The limit differs by a tenth or more from the one last reported.
  Ended,   ///< The upstream states no limit any more.
};

/**
 * The limits that upstreams state in their answers. A pure state machine; not
 * thread-safe.
 */
class StatedLimits
{
public:
  /** Records what an answer of an upstream states. A statement older than the
   * known one is ignored. */
  LimitChange Note(UpstreamHash aUpstream, const LimitStatement& aStatement);
  /** Returns the latest statement of an upstream that has a limit, or had one
   * and ended it; std::nullopt for all others. */
  std::optional<LimitStatement> Find(UpstreamHash aUpstream) const;
  bool IsEmpty() const { return m_entries.empty(); }

private:
  struct Entry
  {
    LimitStatement m_latest;
    double m_reported = 0; ///< The limit at the last change reported.
  };

  std::unordered_map<UpstreamHash, Entry> m_entries;
};

} // namespace ridgeferry::limits
