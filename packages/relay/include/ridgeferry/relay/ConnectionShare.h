#pragma once

#include <cstddef>
#include <cstdint>

namespace ridgeferry::relay {

/** This instance's part of the connections that one upstream takes. */
struct ConnectionShare
{
  std::int64_t m_open = 1; ///< At once, in use or at rest.
  std::size_t m_idle = 1;  ///< At rest.
};

/**
 * Shares the connections that an upstream takes from all callers together:
 * above that it resets what comes. Instances get unlike numbers of calls, and
 * some part stays free for those that have just started and do not know the
 * others yet. `aInstances`: those alive, this one with them. Thread-safe.
 */
ConnectionShare
ShareConnections(std::int64_t aMost, std::size_t aInstances);

} // namespace ridgeferry::relay
