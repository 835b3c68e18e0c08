#pragma once

#include <map>
#include <ridgeferry/relay/Fleet.h>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::relay {

/**
 * What the instances of one hall have under way together, for those of other
 * halls: with hundreds of instances each cannot tell each other often enough.
 * Told
 * to all, 295 instances knew of each other's calls, which last a tenth of a
 * second, 0.6 s late on average (computed from the time between two words).
 * Decisions only; not thread-safe.
 */
class HallLoads
{
public:
  /** Replaces what an instance of the hall has under way; empty: nothing, or it
   * has ended. */
  void Set(const std::string& aInstance, std::vector<OtherLoad> aLoads);

  /** The sum with `aOwn`, at most `aMost` members: those with most to read. */
  std::vector<OtherLoad> Sum(std::span<const OtherLoad> aOwn,
                             std::size_t aMost) const;

private:
  std::map<std::string, std::vector<OtherLoad>, std::less<>> m_loads;
};

} // namespace ridgeferry::relay
