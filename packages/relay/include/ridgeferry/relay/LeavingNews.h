#pragma once

#include <map>
#include <ridgeferry/base/UpstreamLife.h>
#include <string>
#include <string_view>

namespace ridgeferry::relay {

/**
 * Which leaving upstreams this instance tells the others of, so that each
 * learns of a leaving one even if its own list is late.
 *
 * Invariant: only upstreams that are listed here are told. So news ends with
 * the listing: an instance that has seen the end does not take the news back
 * from one that has not, and the set stays as small as what leaves right now.
 * Decisions only; not thread-safe.
 */
class LeavingNews
{
public:
  /** The list says that it leaves. Returns whether that is new. */
  bool NoteListed(const UpstreamLife& aUpstream);
  /**
   * Another instance says that it leaves; `aListed`: the life that the list as
   * held here has under that id, null if it has none. Returns whether it is to
   * be acted on.
   */
  bool NoteFromPeer(const UpstreamLife& aUpstream, const UpstreamLife* aListed);
  /** It, or this life of it, is no longer listed: there is nothing left to
   * tell. */
  void NoteGone(std::string_view aUpstream);

  /** By id. */
  const std::map<std::string, UpstreamLife, std::less<>>& Told() const
  {
    return m_told;
  }

private:
  std::map<std::string, UpstreamLife, std::less<>> m_told;
};

} // namespace ridgeferry::relay
