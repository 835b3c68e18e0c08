#pragma once

#include <cstdint>
#include <ridgeferry/relay/Routes.h>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::configcheck {

enum class Severity : std::uint8_t
{
  /** An entry can never match or be used, as another one or its own form keeps
   * it from that, or the configuration does not take effect. */
  Error,
  /** An entry has no effect, or hardly the one that its author expects. */
  Warning,
};

/** What is wrong with an entry of a configuration that can be read. */
enum class Problem : std::uint8_t
{
  // Entries that can never match or be used.
  PathNeverMatches,
  ReplacedByLaterRoute,
  ShareNeverDrawn,
  ServiceWithoutRoute,
  ReplacedByLaterService,
  KeyOfEarlierOrganisation,
  OrganisationWithoutKey,
  RouteWithoutHost,
  // Entries that contradict others, or themselves.
  ServiceNotDescribed,
  NoShareHasWeight,
  TargetBeyondTimeLimit,
  PauseBeyondTimeLimit,
  RunsBeyondOne,
  ResumableWithoutStream,
  PauseWithoutStream,
  NoUpstreamMayBeOrdered,
  TransferWithoutHandleLifetime,
  OrganisationDeclaredTwice,
  VersionNotHigher,
  // What could not be read.
  RouteUnreadable,
  RoutesUnknown,
  KeysUnknown,
};

Severity
SeverityOf(Problem aProblem);
/** Returns what is wrong, in a few words. */
std::string_view
NameOf(Problem aProblem);

struct Finding
{
  Problem m_problem = Problem::PathNeverMatches;
  std::string m_entry; ///< Names the entry, as in "route h.example/a/".
  bool operator==(const Finding&) const = default;
};

/** Returns what is wrong with a configuration, in the order of its entries.
 * Thread-safe. */
std::vector<Finding>
Check(const relay::RouteConfig& aConfig);

enum class ChangeKind : std::uint8_t
{
  Added,
  Removed,
  Changed,
};

/** How an entry differs from the configuration in force. Keys are never
 * named. */
struct Difference
{
  ChangeKind m_kind = ChangeKind::Changed;
  std::string m_entry;
  std::vector<std::string> m_fields; ///< Of an entry that was changed.
  bool operator==(const Difference&) const = default;
};

/** Returns what would change if `aNext` came into force behind `aInForce`.
 * Entries are the same if they have the same host and path, or the same name.
 * Thread-safe. */
std::vector<Difference>
Compare(const relay::RouteConfig& aInForce, const relay::RouteConfig& aNext);

/** Returns a finding if `aNext` would not take effect behind `aInForce`.
 * Thread-safe. */
std::vector<Finding>
CheckVersion(const relay::RouteConfig& aInForce,
             const relay::RouteConfig& aNext);

/** One line, without its end. */
std::string
Format(const Finding& aFinding);
std::string
Format(const Difference& aDifference);

} // namespace ridgeferry::configcheck
