#pragma once

#include <cstdint>
#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/relay/Member.h>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::relay {

/** An engine as a plan of parts sees it. */
struct PlannedEngine
{
  std::string m_id;
  std::string m_hall;
  Part m_part = Part::Generate; ///< The one it is on its way to, if any.
  std::int64_t m_running = 0;   ///< Calls there, of all instances.
  bool m_changes = false;       ///< It is on its way already.
};

/** An engine should do something else from now on. */
struct PartChange
{
  std::string m_engine;
  Part m_to = Part::Prefill;
  bool operator==(const PartChange&) const = default;
};

/**
 * How many engines generate: as few as the output needs, and all others read.
 *
 * It answers loads whose prompts are long and whose outputs are short, at
 * engines that cannot read beside the output without pauses in it: then an
 * engine that generates and is not needed for it is idle, while prompts wait.
 *
 * Each hall keeps some of both kinds, so that it serves while it is cut off.
 * Decisions only; not thread-safe.
 */
class PartPlanner
{
public:
  /**
   * How long a hall must be short of generating engines before a reader takes
   * over: a crashed engine is back in two to four seconds, and a list that was
   * cut off brings its engines back in two; a change takes three itself.
   */
  static constexpr Duration kShortFor{ 3000 };

  /** `aNeeded`: generating engines that the output keeps busy, of all halls.
   * Returns the changes that are due now, least busy engines first. */
  std::vector<PartChange> Plan(std::span<const PlannedEngine> aEngines,
                               double aNeeded,
                               Instant aNow);

private:
  /** Halls that are short of generating engines, and since when. */
  std::map<std::string, Instant> m_shortSince;
};

} // namespace ridgeferry::relay
