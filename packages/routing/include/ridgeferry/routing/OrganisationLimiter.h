#pragma once

#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/declared/Objects.h>
#include <string>
#include <string_view>

namespace ridgeferry::routing {

/**
 * Enforces the declared limits of organisations. Each live instance of a data
 * centre enforces an equal share of the limit, so that the instances need no
 * common store. While instances join or leave, the data centre may briefly
 * allow more or fewer calls than the limit. Not thread-safe.
 */
class OrganisationLimiter
{
public:
  /** Size of the burst that an organisation may send, in seconds of its
   * rate. */
  static constexpr double kBurstSeconds = 2.0;

  /**
   * Admits one call of the organisation. Returns `std::nullopt` if the call is
   * admitted; `Release` must then be called once when the call ends. Otherwise
   * returns the retry delay.
   */
  std::optional<Duration> Take(const declared::Organisation& aOrganisation,
                               std::size_t aLiveInstances,
                               Instant aNow);
  /** Records the end of an admitted call. */
  void Release(std::string_view aOrganisation);

private:
  /** Usage of one organisation at this instance. */
  struct Usage
  {
    double m_tokens = 0; ///< Token bucket of the request rate.
    std::optional<Instant> m_filledAt;
    std::int64_t m_inFlight = 0;
  };
  std::map<std::string, Usage, std::less<>> m_usage;
};

} // namespace ridgeferry::routing
