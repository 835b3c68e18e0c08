#include "ridgeferry/relay/ConnectionShare.h"

#include <algorithm>

namespace ridgeferry::relay {

namespace {

/** Part of an upstream's connections that is given out, in tenths: the rest
 * is for checks and for instances that start. */
constexpr std::int64_t kGivenTenths = 8;
constexpr std::int64_t kTenths = 10;
/** Most connections at rest, in a burst's wake; more would only rest. */
constexpr std::int64_t kMostIdle = 32;

} // namespace

ConnectionShare
ShareConnections(std::int64_t aMost, std::size_t aInstances)
{
  const auto instances =
    std::max<std::int64_t>(1, static_cast<std::int64_t>(aInstances));
  ConnectionShare out;
  out.m_open =
    std::max<std::int64_t>(1, aMost * kGivenTenths / kTenths / instances);
  out.m_idle = static_cast<std::size_t>(std::min(out.m_open, kMostIdle));
  return out;
}

} // namespace ridgeferry::relay
