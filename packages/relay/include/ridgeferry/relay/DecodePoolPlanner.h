#pragma once

#include <cstdint>
#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/relay/Member.h>
#include <span>
#include <string>
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
 * is cut off from the others. This class only makes decisions and does no I/O.
 * It is not thread-safe.
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
  /** For each data centre that is short of decode engines, since when it is. */
  std::map<std::string, Instant> m_shortSince;
};

} // namespace ridgeferry::relay
