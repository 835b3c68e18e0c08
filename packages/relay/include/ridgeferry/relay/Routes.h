#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ridgeferry/base/FieldReader.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/keys/Organisations.h>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ridgeferry::relay {

/** Whether a call of a route may run more than once. */
enum class Repeat : std::uint8_t
{
  Freely, ///< A call may run more than once.
  Never,  ///< A call may run at most once.
};

/** One of the services among which the calls of a route are divided. */
struct ServiceShare
{
  std::string m_service;
  double m_weight = 1; ///< Relative to the weights of the route's other shares.
};

/** A route as operators declare it: which calls it applies to, the services
 * that handle them, and the rules for retries and time limits. Durations are in
 * milliseconds. */
struct Route
{
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix; ///< Begins and ends with a slash (`/`).
  /** Empty if they could not be read. */
  std::vector<ServiceShare> m_services;
  Repeat m_repeat = Repeat::Never;
  bool m_stream = false; ///< The answer is a stream of events.
  /** Another upstream may resume a broken stream. */
  bool m_resumable = false;
  int m_maxRuns = 1;  ///< Maximum number of runs of one call.
  int m_priority = 0; ///< 0 is the most urgent.
  /** Calls need no key, also where organisations are declared. */
  bool m_isPublic = false;
  /** Longest time between the arrival of a call and its final answer. */
  Duration m_maxDuration{};
  /** Target for the time between the arrival of a call and the first byte of
   * its answer; 0 if the route has no target. */
  Duration m_firstByteTarget{};
  /** Target for the time between two events of a stream; 0 if the route has no
   * target. */
  Duration m_pause{};
  /** Callers abandon a stream that has brought no event for this time. The time
   * counts from the arrival of the call, so it also limits the wait for the
   * first event. `Duration::max()` means that callers do not do so. */
  Duration m_abandonTimeout = Duration::max();

  /** Returns whether it is known which services run the route's calls. Without
   * that no call of the route can run. */
  bool IsReadable() const { return !m_services.empty(); }
};

/** Capacity and transfer rate of the engines of a service. */
struct EngineTraits
{
  std::int64_t m_slots = 1; ///< Calls that one engine runs at the same time.
  /** Size of the KV cache, in tokens of running calls and cached prompts. */
  std::int64_t m_cacheTokens = 0;
  double m_bytesPerToken = 0; ///< KV cache bytes for each token.
  /** Rate of a KV transfer between two engines, in bytes a millisecond; 0 if
   * none is declared. */
  double m_transferBytesPerMs = 0;
  /** How long a prefill engine holds the KV cache of a prompt for another
   * engine. */
  Duration m_handleLifetime{};
};

/** Between which bounds the number of a service's upstreams may be ordered, and
 * what they cost. */
struct ScalingTraits
{
  std::int64_t m_least = 0; ///< In each data centre, of both kinds together.
  std::int64_t m_most = 0;  ///< In each data centre, of both kinds together.
  /** Time from an order until the new upstream serves. */
  Duration m_bootTime{};
  /** Price of an upstream that may be withdrawn, relative to another one. */
  double m_withdrawablePrice = 1;
  /** Relative price of an upstream by data centre; 1 where none is named. */
  std::map<std::string, double, std::less<>> m_prices;
};

struct Service
{
  std::string m_name;
  /** Connections that each upstream accepts from all instances together. */
  std::int64_t m_maxConnections = 1;
  /** Empty if the service is not an inference engine. */
  std::optional<EngineTraits> m_engine;
  /** Empty if the number of upstreams cannot be ordered. */
  std::optional<ScalingTraits> m_scaling = {};
};

/** Limits on the requests and connections of callers. */
struct CallerLimits
{
  std::size_t m_headBytes = std::size_t{ 16 } * 1024;
  std::size_t m_bodyBytes = std::size_t{ 4 } * 1024 * 1024;
  Duration m_headTimeout{ 3000 };
  Duration m_idleTimeout{ 15'000 };
};

/** A complete configuration. A newer configuration has a higher version. */
struct RouteConfig
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  /** Routes are declared of which it is not known to which calls they apply, so
   * that a call without a route may have one. */
  bool m_hasUnknownRoutes = false;
  std::vector<Service> m_services;
  /** std::nullopt if none are declared, so that calls need no key. An empty
   * list is declared: then no key opens anything. */
  std::optional<std::vector<keys::Organisation>> m_organisations = {};
  /** Organisations hold keys that could not be read. */
  bool m_hasUnknownKeys = false;
  CallerLimits m_limits;
  /** What could not be read or lies outside its range. */
  std::vector<FieldError> m_faults = {};
};

/**
 * Finds the route of a call: among the routes of the call's host, the one with
 * the longest prefix of the path. A search takes at most one hash lookup for
 * each path segment, regardless of the number of routes. Immutable, and
 * therefore thread-safe.
 */
class RouteTable
{
public:
  explicit RouteTable(RouteConfig aConfig);

  /** Returns null if no route matches. `aHost` may include a port; `aPath` must
   * not include a query. */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  /** Returns null if no service has this name. */
  const Service* FindService(std::string_view aName) const;
  /** Returns the shortest target for the first byte among the streaming routes
   * of a service; 0 if none of them has a target. */
  Duration ShortestFirstByteTarget(std::string_view aService) const;
  /** The urgency of calls that have the lowest priority. */
  static constexpr int kLeastUrgent = 9;
  /** Returns the urgency of a call with a priority that the configuration
   * declares: 0 is the most urgent, `kLeastUrgent` the least. It is the
   * priority itself if the configuration has none above `kLeastUrgent`; else
   * priorities keep their order. */
  int UrgencyOf(int aPriority) const;
  /** Returns the urgency of the most urgent route of a service; 0 if it has no
   * route. */
  int MostUrgent(std::string_view aService) const;
  /** Returns the service for one call, chosen in proportion to the weights.
   * `aDraw` is a random number in [0, 1). */
  static const std::string& Draw(const Route& aRoute, double aDraw);

  const keys::OrganisationDirectory& Organisations() const
  {
    return m_organisations;
  }
  std::uint64_t Version() const { return m_config.m_version; }
  const RouteConfig& Config() const { return m_config; }

private:
  void NoteFirstByteTarget(const Route& aRoute);
  void NotePriority(const Route& aRoute);
  void GatherPriorities();

  RouteConfig m_config;
  keys::OrganisationDirectory m_organisations;
  /** The key is the host followed by the path prefix. */
  std::unordered_map<std::string, const Route*> m_byHostAndPrefix;
  std::map<std::string, const Service*, std::less<>> m_byService;
  /** The key is the name of the service. */
  std::map<std::string, Duration, std::less<>> m_shortestTargets;
  /** The key is the name of the service. */
  std::map<std::string, int, std::less<>> m_mostUrgent;
  /** All priorities that are declared, each once, in rising order. */
  std::vector<int> m_priorities;
};

} // namespace ridgeferry::relay
