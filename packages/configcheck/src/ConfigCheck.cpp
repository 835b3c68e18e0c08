#include "ridgeferry/configcheck/ConfigCheck.h"

#include "Entries.h"

#include <algorithm>
#include <map>
#include <ridgeferry/keys/KeyDigest.h>
#include <set>

namespace ridgeferry::configcheck {

namespace {

using relay::Route;
using relay::RouteConfig;
using relay::Service;
using relay::ServiceShare;

/** What is wrong so far. */
class Findings
{
public:
  void NoteIf(bool aHolds, Problem aProblem, const std::string& aEntry)
  {
    if (aHolds) {
      m_findings.push_back({ aProblem, aEntry });
    }
  }
  std::vector<Finding> Take() { return std::move(m_findings); }

private:
  std::vector<Finding> m_findings;
};

/** Routes are looked up by the parts of a path that end with a slash. */
bool
CanMatchPath(std::string_view aPrefix)
{
  return aPrefix.starts_with('/') && aPrefix.ends_with('/') &&
         aPrefix.find('?') == std::string_view::npos;
}

void
CheckShares(const Route& aRoute,
            const std::set<std::string_view>& aServices,
            Findings& aFindings)
{
  const std::string entry = EntryOf(aRoute);
  const bool anyWeight =
    std::any_of(aRoute.m_services.begin(),
                aRoute.m_services.end(),
                [](const ServiceShare& aItem) { return aItem.m_weight > 0; });
  aFindings.NoteIf(!anyWeight, Problem::NoShareHasWeight, entry);
  for (const ServiceShare& share : aRoute.m_services) {
    const std::string named = entry + ", service " + share.m_service;
    aFindings.NoteIf(
      anyWeight && share.m_weight <= 0, Problem::ShareNeverDrawn, named);
    aFindings.NoteIf(!aServices.contains(share.m_service),
                     Problem::ServiceNotDescribed,
                     named);
  }
}

void
CheckTimes(const Route& aRoute, Findings& aFindings)
{
  const std::string entry = EntryOf(aRoute);
  aFindings.NoteIf(aRoute.m_firstByteTarget > aRoute.m_maxDuration,
                   Problem::TargetBeyondTimeLimit,
                   entry);
  const bool hasPause = aRoute.m_pause.count() > 0;
  aFindings.NoteIf(
    hasPause && !aRoute.m_stream, Problem::PauseWithoutStream, entry);
  aFindings.NoteIf(aRoute.m_stream && aRoute.m_pause > aRoute.m_maxDuration,
                   Problem::PauseBeyondTimeLimit,
                   entry);
}

void
CheckRoutes(const RouteConfig& aConfig, Findings& aFindings)
{
  std::set<std::string_view> services;
  for (const Service& service : aConfig.m_services) {
    services.insert(service.m_name);
  }
  aFindings.NoteIf(
    aConfig.m_hasUnknownRoutes, Problem::RoutesUnknown, "the routes");
  std::map<std::string, const Route*> last;
  for (const Route& route : aConfig.m_routes) {
    last[KeyOf(route)] = &route;
  }
  for (const Route& route : aConfig.m_routes) {
    const std::string entry = EntryOf(route);
    aFindings.NoteIf(!route.IsReadable(), Problem::RouteUnreadable, entry);
    if (!route.IsReadable()) {
      continue;
    }
    aFindings.NoteIf(
      !CanMatchPath(route.m_pathPrefix), Problem::PathNeverMatches, entry);
    aFindings.NoteIf(HostOf(route).empty(), Problem::RouteWithoutHost, entry);
    aFindings.NoteIf(
      last.at(KeyOf(route)) != &route, Problem::ReplacedByLaterRoute, entry);
    CheckShares(route, services, aFindings);
    CheckTimes(route, aFindings);
    aFindings.NoteIf(route.m_repeat == relay::Repeat::Never &&
                       !route.m_stream && route.m_maxRuns > 1,
                     Problem::RunsBeyondOne,
                     entry);
    aFindings.NoteIf(route.m_resumable && !route.m_stream,
                     Problem::ResumableWithoutStream,
                     entry);
  }
}

void
CheckServices(const RouteConfig& aConfig, Findings& aFindings)
{
  std::set<std::string_view> used;
  for (const Route& route : aConfig.m_routes) {
    for (const ServiceShare& share : route.m_services) {
      used.insert(share.m_service);
    }
  }
  std::map<std::string_view, const Service*> last;
  for (const Service& service : aConfig.m_services) {
    last[service.m_name] = &service;
  }
  for (const Service& service : aConfig.m_services) {
    const std::string entry = EntryOf(service);
    aFindings.NoteIf(
      !used.contains(service.m_name), Problem::ServiceWithoutRoute, entry);
    aFindings.NoteIf(last.at(service.m_name) != &service,
                     Problem::ReplacedByLaterService,
                     entry);
    aFindings.NoteIf(service.m_scaling && service.m_scaling->m_most == 0,
                     Problem::NoUpstreamMayBeOrdered,
                     entry);
    aFindings.NoteIf(service.m_engine &&
                       service.m_engine->m_transferBytesPerMs > 0 &&
                       service.m_engine->m_handleLifetime.count() == 0,
                     Problem::TransferWithoutHandleLifetime,
                     entry);
  }
}

void
CheckOrganisations(const RouteConfig& aConfig, Findings& aFindings)
{
  std::set<std::string_view> names;
  std::map<std::string, std::string_view> holders; // By digest, in digits.
  aFindings.NoteIf(
    aConfig.m_hasUnknownKeys, Problem::KeysUnknown, "the organisations");
  for (const keys::Organisation& organisation : OrganisationsOf(aConfig)) {
    const std::string entry = EntryOf(organisation);
    aFindings.NoteIf(!names.insert(organisation.m_name).second,
                     Problem::OrganisationDeclaredTwice,
                     entry);
    aFindings.NoteIf(
      organisation.m_keys.empty(), Problem::OrganisationWithoutKey, entry);
    for (const keys::KeyDigest& key : organisation.m_keys) {
      const auto holder =
        holders.emplace(keys::FormatKeyDigest(key), organisation.m_name).first;
      aFindings.NoteIf(holder->second != organisation.m_name,
                       Problem::KeyOfEarlierOrganisation,
                       entry + ", a key of " + std::string(holder->second));
    }
  }
}

} // namespace

Severity
SeverityOf(Problem aProblem)
{
  switch (aProblem) {
    case Problem::PathNeverMatches:
    case Problem::ReplacedByLaterRoute:
    case Problem::ReplacedByLaterService:
    case Problem::KeyOfEarlierOrganisation:
    case Problem::VersionNotHigher:
    case Problem::RouteUnreadable:
    case Problem::RoutesUnknown:
    case Problem::KeysUnknown:
      return Severity::Error;
    case Problem::ShareNeverDrawn:
    case Problem::ServiceWithoutRoute:
    case Problem::OrganisationWithoutKey:
    case Problem::RouteWithoutHost:
    case Problem::ServiceNotDescribed:
    case Problem::NoShareHasWeight:
    case Problem::OrganisationDeclaredTwice:
    case Problem::TargetBeyondTimeLimit:
    case Problem::PauseBeyondTimeLimit:
    case Problem::RunsBeyondOne:
    case Problem::ResumableWithoutStream:
    case Problem::PauseWithoutStream:
    case Problem::NoUpstreamMayBeOrdered:
    case Problem::TransferWithoutHandleLifetime:
      break;
  }
  return Severity::Warning;
}

std::string_view
NameOf(Problem aProblem)
{
  switch (aProblem) {
    case Problem::PathNeverMatches:
      return "never matches: the path prefix must begin and end with a slash "
             "and have no query";
    case Problem::ReplacedByLaterRoute:
      return "never matches: a later route has the same host and path prefix";
    case Problem::ShareNeverDrawn:
      return "never used: its weight is 0";
    case Problem::ServiceWithoutRoute:
      return "never used: no route names it";
    case Problem::ReplacedByLaterService:
      return "never used: a later service has the same name";
    case Problem::KeyOfEarlierOrganisation:
      return "never used: an earlier organisation holds the same key";
    case Problem::OrganisationWithoutKey:
      return "can make no calls: it has no key";
    case Problem::RouteWithoutHost:
      return "matches only calls that name no host";
    case Problem::ServiceNotDescribed:
      return "the service is not described: each instance opens one connection "
             "to each of its upstreams";
    case Problem::NoShareHasWeight:
      return "no service has a weight above 0: all calls go to the last one";
    case Problem::TargetBeyondTimeLimit:
      return "the target for the first byte is beyond the time limit";
    case Problem::PauseBeyondTimeLimit:
      return "the target for pauses is beyond the time limit";
    case Problem::RunsBeyondOne:
      return "allows several runs of calls that may run once only";
    case Problem::ResumableWithoutStream:
      return "can be resumed, but is no stream";
    case Problem::PauseWithoutStream:
      return "has a target for pauses, but is no stream";
    case Problem::NoUpstreamMayBeOrdered:
      return "may order upstreams, but none at the most";
    case Problem::TransferWithoutHandleLifetime:
      return "engines transfer their KV cache, but hold none for others";
    case Problem::OrganisationDeclaredTwice:
      return "is declared twice";
    case Problem::VersionNotHigher:
      return "has no effect: its version is not above the one in force";
    case Problem::RouteUnreadable:
      return "its services cannot be read: its calls are refused with 503";
    case Problem::RoutesUnknown:
      return "some cannot be read: calls without a route are refused with 503";
    case Problem::KeysUnknown:
      return "some keys cannot be read: they open nothing, and calls with "
             "unknown keys are refused with 503";
  }
  return "";
}

std::vector<Finding>
Check(const RouteConfig& aConfig)
{
  Findings findings;
  CheckRoutes(aConfig, findings);
  CheckServices(aConfig, findings);
  CheckOrganisations(aConfig, findings);
  return findings.Take();
}

std::vector<Finding>
CheckVersion(const RouteConfig& aInForce, const RouteConfig& aNext)
{
  if (aNext.m_version > aInForce.m_version) {
    return {};
  }
  return { { Problem::VersionNotHigher, "the configuration" } };
}

std::string
Format(const Finding& aFinding)
{
  const bool isError = SeverityOf(aFinding.m_problem) == Severity::Error;
  return (isError ? "error: " : "warning: ") + aFinding.m_entry + ": " +
         std::string(NameOf(aFinding.m_problem));
}

} // namespace ridgeferry::configcheck
