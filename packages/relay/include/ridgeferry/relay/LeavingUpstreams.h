#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::relay {

/**
 * The set of leaving upstreams that this instance announces to the others, so
 * that each instance learns that an upstream leaves even if its own copy of the
 * list is late.
 *
 * Invariant: only upstreams in this instance's copy of the list are announced.
 * An announcement therefore ends when the upstream is removed from the list. An
 * instance that has seen the removal does not accept the announcement again
 * from one that has not, and the set stays as small as the number of upstreams
 * that are leaving at the moment. This class only makes decisions and does no
 * I/O. It is not thread-safe.
 */
class LeavingUpstreams
{
public:
  /**
   * Records that the list shows the upstream as leaving. Returns whether that
   * is new.
   */
  bool NoteListed(const UpstreamIncarnation& aUpstream);
  /**
   * Records that another instance announces the upstream as leaving. `aListed`
   * is the incarnation that this instance's list has under that id, null if it
   * has none. Returns whether the caller must act on the announcement.
   */
  bool NoteFromPeer(const UpstreamIncarnation& aUpstream,
                    const UpstreamIncarnation* aListed);
  /**
   * Records that the upstream, or this incarnation of it, is no longer listed.
   * It is no longer announced.
   */
  void NoteGone(std::string_view aUpstream);

  /** Returns how many upstreams are announced. */
  std::size_t Size() const { return m_announced.size(); }
  /** Returns upstreams to announce, at most `aMost`: those that were returned
   * least often so far, so that each has its turn and new ones come first. */
  std::vector<UpstreamIncarnation> TakeNext(std::size_t aMost);

private:
  struct Announcement
  {
    UpstreamIncarnation m_upstream;
    std::uint64_t m_taken = 0; ///< Times that `TakeNext` returned it.
  };

  std::map<std::string, Announcement, std::less<>> m_announced;
};

} // namespace ridgeferry::relay
