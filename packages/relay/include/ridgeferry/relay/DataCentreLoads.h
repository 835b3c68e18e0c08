#pragma once

#include <map>
#include <ridgeferry/relay/Fleet.h>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::relay {

/**
 * Sums the loads of all instances of one data centre, for announcement to other
 * data centres.
 *
 * With hundreds of instances, each cannot send its load to every other one
 * often enough. When all of 295 instances sent to all others, they learned of
 * each other's calls, which last a tenth of a second, 0.6 s late on average
 * (computed from the interval between two messages). This class only makes
 * decisions and does no I/O. It is not thread-safe.
 */
class DataCentreLoads
{
public:
  /**
   * Replaces the load of an instance of the data centre. An empty vector means
   * that the instance has no load or has ended.
   */
  void Set(const std::string& aInstance, std::vector<PeerLoad> aLoads);

  /**
   * Returns the sum of all instances' loads and `aOwn` for at most `aMost`
   * members, those with the most tokens to prefill first.
   */
  std::vector<PeerLoad> Sum(std::span<const PeerLoad> aOwn,
                            std::size_t aMost) const;

private:
  std::map<std::string, std::vector<PeerLoad>, std::less<>> m_loads;
};

} // namespace ridgeferry::relay
