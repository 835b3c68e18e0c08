#pragma once

#include <cstddef>
#include <cstdint>

namespace ridgeferry::relay {

/** This instance's share of the connections that one upstream accepts. */
struct ConnectionShare
{
  std::int64_t m_open = 1; ///< Maximum number of connections, busy or idle.
  std::size_t m_idle = 1;  ///< Maximum number of idle connections.
};

/**
 * Returns this instance's share of the `aMost` connections that an upstream
 * accepts from all instances together; an upstream resets connections beyond
 * `aMost`. `aInstances` is the number of live instances, including this one.
 *
 * The shares together stay below `aMost`: instances receive different numbers
 * of calls, and instances that have just started do not know the others yet, so
 * they take too large a share. Each share is at least one connection, so the
 * sum exceeds `aMost` if there are more instances than connections.
 * Thread-safe.
 */
ConnectionShare
ShareConnections(std::int64_t aMost, std::size_t aInstances);

} // namespace ridgeferry::relay
