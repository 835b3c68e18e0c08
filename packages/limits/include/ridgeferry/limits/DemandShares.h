#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <ridgeferry/base/Time.h>
#include <string>
#include <vector>

namespace ridgeferry::limits {

/** Hash of a service's name, by which instances speak of it to each other. */
using ServiceHash = std::uint32_t;

/** How many calls to a service callers make a second at one instance. */
struct ServiceDemand
{
  ServiceHash m_service = 0;
  double m_perSecond = 0;
  bool operator==(const ServiceDemand&) const = default;
};

/**
 * Divides what a service's upstreams accept among the instances, in proportion
 * to the calls that each gets: an equal share would be wasted where few callers
 * come. Not thread-safe.
 */
class DemandShares
{
public:
  /** Records a call that a caller made to the service at this instance. */
  void NoteCall(ServiceHash aService, Instant aNow);
  /** Returns the smoothed calls a second at this instance. */
  double OwnDemand(ServiceHash aService, Instant aNow) const;
  /** Replaces what a peer told of its demand. An empty vector means that it
   * told nothing or has ended. */
  void SetPeer(const std::string& aPeer, std::vector<ServiceDemand> aDemands);
  /**
   * Returns this instance's share, above 0 and at most 1. `aInstances` is the
   * number of live instances, this one included; those that have told nothing
   * count like the mean of the others.
   */
  double ShareOf(ServiceHash aService,
                 std::size_t aInstances,
                 Instant aNow) const;

private:
  struct Rate
  {
    double m_perSecond = 0;
    Instant m_at;
  };

  std::map<ServiceHash, Rate> m_own;
  std::map<std::string, std::vector<ServiceDemand>, std::less<>> m_peers;
};

} // namespace ridgeferry::limits
