#pragma once

#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamLife.h>
#include <ridgeferry/relay/Member.h>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::relay {

/**
 * Upstreams that have gone from the list, so that none comes back by an old row
 * alone: a store that came back from a copy lists again who went after the copy
 * was made. Such a row is held back until the store tells of it by a change, or
 * until it has stood for so long that somebody must be renewing it. An upstream
 * that left gets so nothing more, and one that was taken for gone wrongly is
 * used again after `kHold`. Decisions only; not thread-safe.
 */
class GoneUpstreams
{
public:
  /** How long a row is held back: three missed renewals, 3.6 s at least, after
   * which the store drops a row that nobody renews, and the two seconds behind
   * its return within which all rows are written again. */
  static constexpr Duration kHold{ 6000 };
  /** How long one that has gone is remembered: some times the age of the oldest
   * copy that a store comes back from, which is some seconds. */
  static constexpr Duration kRemember{ 60'000 };

  /** Its row was removed. */
  void NoteGone(const UpstreamLife& aUpstream, Instant aNow);
  /** The store tells of it by a change, whatever that says. */
  void NoteChange(std::string_view aId);
  /** Its row stands in a copy. Returns whether it is held back. */
  bool HoldBack(const Member& aMember, Instant aNow);
  /** Those whose hold is over: their rows count from now on. */
  std::vector<Member> Tick(Instant aNow);

  std::size_t Held() const { return m_held.size(); }

private:
  struct Gone
  {
    UpstreamLife m_life;
    Instant m_at;
  };
  struct Hold
  {
    Member m_member;
    Instant m_until;
  };

  std::map<std::string, Gone, std::less<>> m_gone; ///< By id.
  std::map<std::string, Hold, std::less<>> m_held; ///< By id.
};

} // namespace ridgeferry::relay
