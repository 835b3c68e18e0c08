#include "ridgeferry/relay/ConnectionShare.h"

#include <algorithm>

namespace ridgeferry::relay {

namespace {

/** Tenths of an upstream's connections that are divided among the instances.
 * The other two tenths remain for health checks and for instances that
 * start. */
constexpr std::int64_t kAllocatedTenths = 8;
constexpr std::int64_t kTenths = 10;
/** Maximum number of idle connections kept after a burst of calls. Further ones
 * would stay unused. */
constexpr std::int64_t kMostIdle = 32;

} // namespace

ConnectionShare
ShareConnections(std::int64_t aMost, std::size_t aInstances)
{
  const auto instances =
    std::max<std::int64_t>(1, static_cast<std::int64_t>(aInstances));
  ConnectionShare out;
  out.m_open =
    std::max<std::int64_t>(1, aMost * kAllocatedTenths / kTenths / instances);
  out.m_idle = static_cast<std::size_t>(std::min(out.m_open, kMostIdle));
  return out;
}

} // namespace ridgeferry::relay
