#pragma once

#include <set>
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
  bool NoteListed(std::string_view aUpstream);
  /**
   * Another instance says that it leaves; `aIsListed`: in the list as held
   * here. Returns whether it is to be acted on.
   */
  bool NoteFromPeer(std::string_view aUpstream, bool aIsListed);
  /** It is no longer listed: there is nothing left to tell. */
  void NoteGone(std::string_view aUpstream);

  const std::set<std::string, std::less<>>& Told() const { return m_told; }

private:
  std::set<std::string, std::less<>> m_told;
};

} // namespace ridgeferry::relay
