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
};

/**
 * Returns the name of the instance that should take the call: of two drawn ones
 * that reach the service, the one with fewer calls under way, with a preference
 * for the own data centre. std::nullopt if no live instance reaches it.
 */
std::optional<std::string>
PickForwardTarget(const std::map<std::string, PeerView, std::less<>>& aPeers,
                  const ForwardRequest& aRequest);

} // namespace ridgeferry::membership
