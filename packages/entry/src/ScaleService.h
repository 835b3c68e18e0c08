#pragma once

#include "EntryNode.h"
#include "OrderLease.h"

#include <map>
#include <ridgeferry/scaling/ScalePlanner.h>

namespace ridgeferry::entry {

/** Has the holder of the lease order the number of upstreams of each service
 * that the load needs. Not thread-safe. */
class ScaleService
{
public:
  /** The arguments must outlive this object. */
  ScaleService(EntryNode& aNode, OrderLease& aLease);

  void Start();

private:
  void Tick();
  void Plan(const relay::Service& aService);
  void Send(const std::string& aService, const scaling::ScaleOrder& aOrder);

  EntryNode& m_node;
  OrderLease& m_lease;
  /** By service; only while this instance holds the lease. */
  std::map<std::string, scaling::ScalePlanner, std::less<>> m_planners;
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
