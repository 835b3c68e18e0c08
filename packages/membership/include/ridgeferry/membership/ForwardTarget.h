#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/membership/Roster.h>
#include <span>
#include <string>
#include <string_view>

namespace ridgeferry::membership {

/** A call that this instance passes to another one, because it reaches no
 * upstream of the call's service itself. */
struct ForwardRequest
{
  std::uint32_t m_service = 0;   ///< Hash of the service's name.
  std::string_view m_dataCentre; ///< Data centre of this instance.
  /** Names of instances that must not be chosen. */
  std::span<const std::string> m_excluded;
  std::uint64_t m_random = 0;
  /** Position of the configuration by which the call was routed. */
  StorePosition m_config = {};
};

/**
 * Returns the name of the instance that should take the call: of two drawn ones
 * that reach the service, the one with fewer calls under way, with a preference
 * for the own data centre. Only instances that have read the call's
 * configuration are drawn, by their latest heartbeats, unless none has: a
 * heartbeat may be older than what its sender has read since, and an instance
 * that has not read so far declines the call. std::nullopt if no live instance
 * reaches the service. Thread-safe.
 */
std::optional<std::string>
PickForwardTarget(const std::map<std::string, PeerView, std::less<>>& aPeers,
                  const ForwardRequest& aRequest);

} // namespace ridgeferry::membership
