#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ridgeferry::relay {

/** What may be done again with a call of a route. */
enum class Repeat : std::uint8_t
{
  Freely, ///< It may run more than once.
  Never,  ///< It may run at most once.
};

/** One of the services that a route is split over. */
struct ServiceShare
{
  std::string m_service;
  double m_weight = 1; ///< Relative to the route's other shares.
};

/** Declared by operators: which calls go where, and how. */
struct Route
{
  std::string m_name;
  std::string m_host;
  std::string m_pathPrefix; ///< Begins and ends with a slash.
  std::vector<ServiceShare> m_services;
  Repeat m_repeat = Repeat::Never;
  bool m_stream = false;    ///< The answer is a stream of events.
  bool m_resumable = false; ///< A stream may go on at another upstream.
  int m_maxRuns = 1;        ///< Upstreams that one call may run on.
  int m_priority = 0;       ///< 0 is the most urgent.
  Duration m_longest{};     ///< How long a call may be held.
  Duration m_aim{};         ///< To the first byte of the answer.
  Duration m_pause{};       ///< Longest between two events; 0: not told.
  /** Callers give a stream up that has brought nothing for so long, from its
   * beginning on. */
  Duration m_silence = Duration::max();
};

/** What the engines of a service can hold and do. */
struct EngineTraits
{
  std::int64_t m_slots = 1;       ///< Calls at once.
  std::int64_t m_cacheTokens = 0; ///< Memory for running and kept prompts.
  double m_bytesPerToken = 0;     ///< Of that memory.
  double m_movedBytesPerMs = 0;   ///< Of it between two engines; 0: not told.
  Duration m_handleLife{};        ///< Of a prompt read for another engine.
};

struct Service
{
  std::string m_name;
  std::int64_t m_maxConnections = 1;    ///< To each upstream, from all callers.
  std::optional<EngineTraits> m_engine; ///< Nothing: a plain service.
};

struct CallerLimits
{
  std::size_t m_headBytes = std::size_t{ 16 } * 1024;
  std::size_t m_bodyBytes = std::size_t{ 4 } * 1024 * 1024;
  Duration m_headTimeout{ 3000 };
  Duration m_idleTimeout{ 15'000 };
};

/** One whole configuration, as accepted. Versions only rise. */
struct RouteConfig
{
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  CallerLimits m_limits;
};

/**
 * Finds the route of a call: of its host, the one with the longest prefix that
 * begins the path. Looks up once a path segment, however many routes there
 * are. Immutable, so thread-safe.
 */
class RouteTable
{
public:
  explicit RouteTable(RouteConfig aConfig);

  /** Null if no route fits. `aHost` may carry a port; `aPath` has no query. */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  const Service* FindService(std::string_view aName) const;
  /** The shortest aim among the streams of a service; 0: it has none. */
  Duration ShortestAim(std::string_view aService) const;
  /** The service for one call, drawn by weight; `aDraw` is in [0, 1). */
  static const std::string& Draw(const Route& aRoute, double aDraw);

  std::uint64_t Version() const { return m_config.m_version; }
  const RouteConfig& Config() const { return m_config; }

private:
  void NoteAim(const Route& aRoute);

  RouteConfig m_config;
  std::unordered_map<std::string, const Route*> m_byPlace; ///< Host + prefix.
  std::map<std::string, const Service*, std::less<>> m_byService;
  std::map<std::string, Duration, std::less<>> m_shortestAims; ///< By service.
};

} // namespace ridgeferry::relay
