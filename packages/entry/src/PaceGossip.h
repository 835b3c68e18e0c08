#pragma once

#include "EntryNode.h"

#include <ridgeferry/membership/Roster.h>

namespace ridgeferry::entry {

/** Tells the other instances what this one finds of upstreams that have just
 * started or recovered, takes what they tell, and logs each change. Not
 * thread-safe. */
class PaceGossip
{
public:
  /** `aNode` must outlive this object. */
  explicit PaceGossip(EntryNode& aNode)
    : m_node(aNode)
  {
  }

  void AddTo(membership::Heartbeat& aHeartbeat);
  void Take(const membership::Heartbeat& aHeartbeat);
  /** Logs and counts the changes since the last call. */
  void Tick();

private:
  EntryNode& m_node;
  /** Paces told so far: each heartbeat goes on where the one before ended. */
  std::size_t m_told = 0;
};

} // namespace ridgeferry::entry
