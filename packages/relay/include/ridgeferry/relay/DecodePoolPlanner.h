#pragma once

#include <cstdint>
#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/relay/Member.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::relay {

/** An engine as input to a plan of roles. */
struct PlannedEngine
{
  std::string m_id;
  std::string m_dataCentre;
  /** The current role, or the target role while the engine changes. */
  UpstreamRole m_role = UpstreamRole::Decode;
  std::int64_t m_running = 0; ///< Calls in flight there from all instances.
  bool m_changes = false;     ///< Whether the engine is already changing roles.
  std::string m_softwareVersion = {};
};

/** Requests that an engine take on another role. */
struct EngineRoleChange
{
  std::string m_engine;
  UpstreamRole m_to = UpstreamRole::Prefill;
  bool operator==(const EngineRoleChange&) const = default;
};

/**
 * Plans how many engines decode: only as many as the running output needs. All
 * others prefill.
 *
 * The plan addresses loads with long prompts and short outputs, on engines that
 * cannot prefill while they decode without pausing the output. There, a decode
 * engine that the output does not need stays idle while prompts wait.
 *
 * Each data centre keeps engines of both roles, so that it can serve while it
 * is cut off from the others. Each software version keeps an engine that
 * decodes, as no other version reads the KV caches that it writes. This class
 * only makes decisions and does no I/O. It is not thread-safe.
 */
class DecodePoolPlanner
{
public:
  /**
   * How long a data centre must be short of decode engines before a prefill
   * engine replaces one. A crashed engine is back within two to four seconds,
   * and after the list of members was unreachable, it shows its engines again
   * within two, while a role change itself takes three.
   */
  static constexpr Duration kShortFor{ 3000 };

  /**
   * Returns the role changes that are due now, starting with the least busy
   * engines. `aNeeded` is the number of decode engines that the running calls
   * of all data centres keep busy.
   */
  std::vector<EngineRoleChange> Plan(std::span<const PlannedEngine> aEngines,
                                     double aNeeded,
                                     Instant aNow);

private:
  /** Has an engine decode of each version that has none for a while. */
  void PlanVersions(
    std::span<const PlannedEngine> aEngines,
    const std::map<std::string_view, std::size_t>& aDecodeEngines,
    Instant aNow,
    std::vector<EngineRoleChange>& aChanges);

  /** For each data centre that is short of decode engines, since when it is. */
  std::map<std::string, Instant> m_shortSince;
  /** For each software version without a decode engine, since when. */
  std::map<std::string, Instant> m_versionShortSince;
};

} // namespace ridgeferry::relay
