#pragma once

#include <optional>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::roles {

/**
 * Share of prefill in the work that callers asked for, smoothed over minutes.
 * It counts demand, also what was refused, so that an overloaded half does not
 * hide its own need. Not thread-safe.
 */
class MixEstimator
{
public:
  static constexpr Duration kMemory{ 60'000 };

  /** `aPrefillSeconds` and `aDecodeSeconds` of one engine's time. */
  void NoteDemand(double aPrefillSeconds, double aDecodeSeconds, Instant aNow);
  /** Nothing before any demand was seen. */
  std::optional<double> PrefillShare(Instant aNow) const;

private:
  double DecayTo(Instant aNow) const;

  double m_prefill = 0;
  double m_decode = 0;
  std::optional<Instant> m_at;
};

} // namespace ridgeferry::roles
