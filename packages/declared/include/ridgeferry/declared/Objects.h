#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <ridgeferry/base/FieldReader.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/declared/Selector.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace ridgeferry::declared {

/** Traffic classes, most urgent first: the order is the order of service. */
enum class TrafficClass : std::uint8_t
{
  Urgent,
  High,
  Normal,
  Low,
};
inline constexpr std::size_t kTrafficClassCount = 4;

std::string_view
TrafficClassName(TrafficClass aClass);

/** The role of an engine: which part of a generation it serves. */
enum class Role : std::uint8_t
{
  Mixed,
  Prefill,
  Decode,
};

std::string_view
RoleName(Role aRole);
/** Reads `mixed`, `prefill` or `decode`; nothing for any other text. */
std::optional<Role>
RoleFromName(std::string_view aName);

/** A plain service, reached by callers under `/services/NAME/`. */
struct Service
{
  std::string m_name;
  Labels m_labels;
  Selector m_upstreams;     ///< Which listed upstreams serve it.
  bool m_repeatable = true; ///< False: each call runs at most once.
  Duration m_deadline{};    ///< Default deadline of a call.
  bool operator==(const Service&) const = default;
};

/** A model served by engines: callers name it in the field `model`. */
struct Deployment
{
  std::string m_name;
  Labels m_labels;
  std::string m_model;
  std::string m_version;
  std::string m_adapter; ///< Empty: none.
  Selector m_engines;
  bool m_checksFencing = false; ///< Engines refuse an old fencing number.
  /** Cost of one role change, in seconds of one engine's useful work. */
  double m_roleChangeWeight = 0;
  std::int64_t m_minPrefill = 0; ///< Engines kept in role prefill at least.
  std::int64_t m_minDecode = 0;
  Duration m_deadline{};
  bool operator==(const Deployment&) const = default;
};

struct OrganisationLimits
{
  double m_requestsPerSecond = 0; ///< 0: no limit. For each hall.
  std::int64_t m_inFlight = 0;    ///< 0: no limit. For each hall.
  bool operator==(const OrganisationLimits&) const = default;
};

struct Organisation
{
  std::string m_name;
  Labels m_labels;
  OrganisationLimits m_limits;
  bool operator==(const Organisation&) const = default;
};

/** A shift of the mix that operators expect. */
struct Event
{
  std::string m_name;
  Labels m_labels;
  WallTime m_start;
  Duration m_duration{};
  /** Expected share of prefill in the engines' work, 0 to 1. */
  double m_prefillShare = 0.5;
  Selector m_deployments; ///< Which deployments it concerns.
  bool operator==(const Event&) const = default;
};

/** Which requests belong to which class and event, and who may serve them. */
struct Route
{
  std::string m_name;
  Labels m_labels;
  std::int64_t m_order = 0; ///< Routes are tried by rising order, then name.
  Selector m_requests;
  std::string m_event; ///< Empty: always; else only while the event lasts.
  TrafficClass m_class = TrafficClass::Normal;
  Selector m_upstreams; ///< Further condition on the upstreams.
  std::optional<Duration> m_deadline;
  bool operator==(const Route&) const = default;
};

using Object = std::variant<Service, Deployment, Organisation, Event, Route>;

/** `service`, `deployment`, `team`, `event` or `route`. */
std::string_view
KindOf(const Object& aObject);
const std::string&
NameOf(const Object& aObject);
const Labels&
LabelsOf(const Object& aObject);

/** `KIND/NAME`: the key of an object within the configuration. */
std::string
KeyOf(const Object& aObject);

/**
 * Reads one declared object, `{"kind", "name", "labels", "spec"}`.
 * Errors: every fault found, with JSON pointers below `aPointer`.
 * Thread-safe.
 */
tl::expected<Object, std::vector<FieldError>>
ObjectFromJson(const nlohmann::json& aValue, const std::string& aPointer);

} // namespace ridgeferry::declared
