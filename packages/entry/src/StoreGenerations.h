#pragma once

#include "EntryNode.h"

#include <ridgeferry/base/StorePosition.h>
#include <sigc++/sigc++.h>
#include <string_view>

namespace ridgeferry::entry {

/** Tracks the latest generation of the store that this process has seen, in
 * answers of the store to any call or in messages of peers. Not thread-safe. */
class StoreGenerations
{
public:
  /** `aNode` must outlive this object. */
  explicit StoreGenerations(EntryNode& aNode);

  /** Returns the generation that an answer of the store belongs to: the one it
   * names, otherwise the latest that was seen. Does not note it: the caller
   * handles the answer first and calls `Note` afterwards. */
  StoreGeneration Of(const net::HttpResponse& aAnswer);
  /** Notes that a generation was seen. `aFrom` says where, for the log. */
  void Note(StoreGeneration aGeneration, std::string_view aFrom);
  StoreGeneration Latest() const { return m_latest; }
  /** Emitted when a generation later than all before is seen. */
  sigc::signal<void(StoreGeneration)>& SignalNewGeneration() { return m_risen; }

private:
  void NoteUnreadable(const std::string& aTold);

  EntryNode& m_node;
  StoreGeneration m_latest = 0;
  std::optional<Instant> m_toldUnreadableAt;
  sigc::signal<void(StoreGeneration)> m_risen;
};

} // namespace ridgeferry::entry
