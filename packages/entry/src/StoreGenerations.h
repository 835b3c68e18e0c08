#pragma once

#include "EntryNode.h"

#include <ridgeferry/base/StorePosition.h>
#include <sigc++/sigc++.h>
#include <string_view>

namespace ridgeferry::entry {

/**
 * Which generation the store is in, by all that this process hears: answers of
 * the store to whatever call, and words of peers. Not thread-safe.
 */
class StoreGenerations
{
public:
  /** Precondition: it outlives this. */
  explicit StoreGenerations(EntryNode& aNode);

  /**
   * Generation that an answer of the store belongs to: the one that it tells,
   * else the latest that was seen. Does not note it: who takes the answer does
   * so first.
   */
  StoreGeneration Of(const net::HttpResponse& aAnswer);
  /** It was seen; `aFrom`: where, for the log. */
  void Note(StoreGeneration aGeneration, std::string_view aFrom);
  StoreGeneration Latest() const { return m_latest; }
  /** A later generation than any before is seen. */
  sigc::signal<void(StoreGeneration)>& SignalRisen() { return m_risen; }

private:
  void NoteUnreadable(const std::string& aTold);

  EntryNode& m_node;
  StoreGeneration m_latest = 0;
  std::optional<Instant> m_toldUnreadableAt;
  sigc::signal<void(StoreGeneration)> m_risen;
};

} // namespace ridgeferry::entry
