#pragma once

#include "EntryNode.h"

#include <ridgeferry/membership/Roster.h>
#include <string>

namespace ridgeferry::entry {

/** Tells the other instances which limits upstreams state and how many calls
 * this instance's callers make, and takes what they tell. Not thread-safe. */
class LimitGossip
{
public:
  /** `aNode` must outlive this object. */
  explicit LimitGossip(EntryNode& aNode);

  void AddTo(membership::Heartbeat& aHeartbeat) const;
  void Take(const membership::Heartbeat& aHeartbeat);
  /** The peer has ended, or has fallen silent. */
  void ForgetPeer(const std::string& aPeer);
  /** Must be called with each round of heartbeats. `aInstances` is the number
   * of live instances, this one included. */
  void Tick(std::size_t aInstances);

private:
  EntryNode& m_node;
};

} // namespace ridgeferry::entry
