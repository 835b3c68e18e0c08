#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <string>
#include <string_view>

namespace ridgeferry::relay {

/** What an upstream does with a call. */
enum class UpstreamRole : std::uint8_t
{
  Plain, ///< A plain service, which handles the whole call.
  /** An engine that only prefills prompts and hands over their KV cache. */
  Prefill,
  Decode, ///< An engine that decodes, and can also prefill, but slowly.
};

/** Returns the role's name for logs: `whole`, `read` or `generate`. */
std::string_view
NameOf(UpstreamRole aPart);

/** An upstream as the list of the platform shows it. */
struct Member
{
  std::string m_id;
  std::string m_service;
  std::string m_dataCentre;
  std::string m_address;    ///< IP:PORT.
  std::int64_t m_slots = 1; ///< Calls that it runs at the same time.
  UpstreamRole m_role = UpstreamRole::Plain;
  bool m_leaving = false;
  /** See `UpstreamIncarnation::m_born`. */
  std::optional<std::int64_t> m_born = {};
  /** The platform may take it away at short notice; it costs less. */
  bool m_withdrawable = false;
  /** Version of the software that it runs, not of the model's weights. */
  std::string m_softwareVersion = {};
  UpstreamIncarnation Incarnation() const { return { m_id, m_born }; }
  bool operator==(const Member&) const = default;
};

} // namespace ridgeferry::relay
