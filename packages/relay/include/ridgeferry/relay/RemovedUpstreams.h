#pragma once

#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <ridgeferry/relay/Member.h>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::relay {

/**
 * Remembers the upstreams that were removed from the list, so that none of them
 * is used again because of an outdated row alone. A store that was restored
 * from an older copy lists again the upstreams that left after the copy was
 * made. Such a row is held back until the store reports a change of it, or
 * until it has existed for so long that its upstream must be renewing it. An
 * upstream that left gets no more calls, and one that was wrongly taken as
 * removed is used again after `kHold`. This class only makes decisions and does
 * no I/O. It is not thread-safe.
 */
class RemovedUpstreams
{
public:
  /**
   * How long a row is held back. This covers the time of three missed renewals
   * (at least 3.6 s), after which the store drops a row that is not renewed,
   * and the two seconds after the store's return within which all rows are
   * written again.
   */
  static constexpr Duration kHold{ 6000 };
  /**
   * How long a removed upstream is remembered. This is several times the age of
   * the oldest copy that a store is restored from, which is some seconds.
   */
  static constexpr Duration kRemember{ 60'000 };

  /** Records that the upstream's row was removed. */
  void NoteGone(const UpstreamIncarnation& aUpstream, Instant aNow);
  /**
   * Records that the store reported a change of the upstream's row, whatever
   * the change is. The upstream is then no longer held back.
   */
  void NoteChange(std::string_view aId);
  /**
   * Decides on a row that a restored copy of the store contains. Returns
   * whether the row is held back.
   */
  bool HoldBack(const Member& aMember, Instant aNow);
  /**
   * Returns the upstreams whose hold time is over. Their rows are valid from
   * now on.
   */
  std::vector<Member> Tick(Instant aNow);

  std::size_t Held() const { return m_held.size(); }

private:
  struct Gone
  {
    UpstreamIncarnation m_incarnation;
    Instant m_at;
  };
  struct Hold
  {
    Member m_member;
    Instant m_until;
  };

  /** Removed upstreams, by id. */
  std::map<std::string, Gone, std::less<>> m_gone;
  /** Rows that are held back, by id. */
  std::map<std::string, Hold, std::less<>> m_held;
};

} // namespace ridgeferry::relay
