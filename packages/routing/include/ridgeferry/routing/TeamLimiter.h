#pragma once

#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/declared/Objects.h>
#include <string>
#include <string_view>

namespace ridgeferry::routing {

/**
 * Declared limits of teams. A hall's limit is shared by its live instances in
 * equal parts, so that they need no common store: during a change of
 * membership the hall may briefly allow more or less. Not thread-safe.
 */
class TeamLimiter
{
public:
  /** Seconds of a team's rate that it may save up and use at once. */
  static constexpr double kBurstSeconds = 2.0;

  /**
   * Takes one call of the team, or says when to come back.
   * Returns nothing if the call may go on; then `Release` must follow once.
   */
  std::optional<Duration> Take(const declared::Team& aTeam,
                               std::size_t aLiveInstances,
                               Instant aNow);
  void Release(std::string_view aTeam);

private:
  struct Usage
  {
    double m_tokens = 0;
    std::optional<Instant> m_filledAt;
    std::int64_t m_inFlight = 0;
  };
  std::map<std::string, Usage, std::less<>> m_usage;
};

} // namespace ridgeferry::routing
