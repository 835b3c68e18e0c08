#pragma once

#include <optional>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::roles {

/**
 * Estimates the share of prefill in the work that callers request, as an
 * average that gives recent work more weight. Rejected calls count too:
 * otherwise the prefill or decode engines would seem to need no help while they
 * are overloaded and reject calls. Not thread-safe.
 */
class MixEstimator
{
public:
  /** Time constant of the exponential decay of earlier demand, in
   * milliseconds. */
  static constexpr Duration kTimeConstant{ 60'000 };

  /** Records the work of one call, as the seconds that one engine needs for its
   * prefill and for its decode. */
  void NoteDemand(double aPrefillSeconds, double aDecodeSeconds, Instant aNow);
  /** Returns the share of prefill, from 0 to 1; `std::nullopt` if no work has
   * been recorded. */
  std::optional<double> PrefillShare(Instant aNow) const;

private:
  /** Returns the factor, from 0 to 1, by which the earlier work has decayed. */
  double DecayTo(Instant aNow) const;

  double m_prefill = 0;        ///< Decayed sum, in seconds of engine time.
  double m_decode = 0;         ///< Decayed sum, in seconds of engine time.
  std::optional<Instant> m_at; ///< Time of the last `NoteDemand`.
};

} // namespace ridgeferry::roles
