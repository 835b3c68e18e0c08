#pragma once

#include "ConfigFreshness.h"
#include "EntryNode.h"
#include "Peers.h"

namespace ridgeferry::entry {

/** Tells the time of day although the clocks of single machines may be wrong or
 * step: the time of day of most instances counts. Instances compare their times
 * of day by the store's steady clock. Not thread-safe. */
class TrueTime
{
public:
  /** The arguments must outlive this object. */
  TrueTime(EntryNode& aNode,
           const Peers& aPeers,
           const ConfigFreshness& aFreshness);

  void Start();
  WallTime Now() const;
  /** Returns what heartbeats tell of this machine's time of day; std::nullopt
   * if the store's clock is not known. */
  std::optional<freshness::WallOffset> OwnOffset() const;

private:
  void Tick();

  EntryNode& m_node;
  const Peers& m_peers;
  const ConfigFreshness& m_freshness;
  /** True time less this machine's time of day. */
  Duration m_correction{};
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
