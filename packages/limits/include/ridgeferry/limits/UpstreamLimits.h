#pragma once

#include <cstddef>
#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/limits/DemandShares.h>
#include <ridgeferry/limits/SendPermits.h>
#include <ridgeferry/limits/StatedLimits.h>
#include <string>
#include <unordered_map>
#include <vector>

namespace ridgeferry::limits {

/** An upstream and the service that it belongs to. */
struct LimitedUpstream
{
  UpstreamHash m_upstream = 0;
  ServiceHash m_service = 0;
};

/**
 * Holds the limits that upstreams state, for all instances together: each
 * instance sends its share, in proportion to its callers' demand, and tells the
 * others what it heard. Decides only; does no I/O. Not thread-safe.
 */
class UpstreamLimits
{
public:
  /** Sets what spreads the sends of instances over time; differs from instance
   * to instance. */
  void SetSeed(std::uint64_t aSeed) { m_seed = aSeed; }
  /** Records what an answer states; see `StatedLimits::Note`. */
  LimitChange Note(const LimitedUpstream& aUpstream,
                   const LimitStatement& aStatement,
                   StatedTo aTo,
                   Instant aNow);
  /** Forgets an upstream, whose later incarnation has stated nothing yet. */
  void Forget(UpstreamHash aUpstream);
  /** Records a call that a caller made to the service at this instance. */
  void NoteCall(ServiceHash aService, Instant aNow)
  {
    m_shares.NoteCall(aService, aNow);
  }
  /** See `DemandShares::SetPeer`. */
  void SetPeer(const std::string& aPeer, std::vector<ServiceDemand> aDemands)
  {
    m_shares.SetPeer(aPeer, std::move(aDemands));
  }
  /** Follows demand, ends limits, and lets the rate grow after an end. Must be
   * called some times a second. `aInstances` is the number of live instances,
   * this one included. */
  void Tick(std::size_t aInstances, Instant aNow);

  bool IsEmpty() const { return m_paced.empty(); }
  /** Returns whether the upstream has a limit, or had one until lately. */
  bool HasLimit(UpstreamHash aUpstream) const
  {
    return m_paced.contains(aUpstream);
  }
  /** Returns the time until this instance may send a call to the upstream: 0
   * without a limit. `aYields` is true for a call that leaves room to more
   * urgent ones. */
  Duration RoomIn(UpstreamHash aUpstream, bool aYields, Instant aNow) const;
  /** Counts a send to the upstream. Has no effect without a limit. */
  void Take(UpstreamHash aUpstream, Instant aNow);
  /**
   * Returns when a refused caller should come back if the soonest room for the
   * service is in `aSoonest`, and counts it: each caller refused in the
   * meantime is told a later time.
   */
  Duration PromiseRoom(ServiceHash aService, Duration aSoonest, Instant aNow);

  /** Returns what to tell the other instances, the newest statements first. */
  std::vector<LimitReport> Reports(Instant aNow) const;
  /** Returns this instance's demand for each service with a limited upstream,
   * to tell the other instances. */
  std::vector<ServiceDemand> Demands(Instant aNow) const;

private:
  /** What this instance may send to an upstream with a limit. */
  struct Paced
  {
    ServiceHash m_service = 0;
    double m_perSecond = 0;
    SendPermits m_permits;
  };

  void Pace(UpstreamHash aUpstream, Paced& aPaced, double aShare, Instant aNow);

  std::uint64_t m_seed = 0;
  std::size_t m_instances = 1;
  StatedLimits m_stated;
  DemandShares m_shares;
  std::unordered_map<UpstreamHash, Paced> m_paced;
  /** Until when the room of a service is promised to refused callers. */
  std::map<ServiceHash, Instant> m_promised;
};

} // namespace ridgeferry::limits
