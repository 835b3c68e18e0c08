#include "ridgeferry/roles/MixEstimator.h"

#include <cmath>

namespace ridgeferry::roles {

double
MixEstimator::DecayTo(Instant aNow) const
{
  if (!m_at) {
    return 1;
  }
  const auto elapsed = static_cast<double>((aNow - *m_at).count());
  return std::exp(-elapsed / static_cast<double>(kTimeConstant.count()));
}

void
MixEstimator::NoteDemand(double aPrefillSeconds,
                         double aDecodeSeconds,
                         Instant aNow)
{
  const double decay = DecayTo(aNow);
  m_prefill = m_prefill * decay + aPrefillSeconds;
  m_decode = m_decode * decay + aDecodeSeconds;
  m_at = aNow;
}

std::optional<double>
MixEstimator::PrefillShare(Instant) const
{
  const double total = m_prefill + m_decode;
  if (total <= 0) {
    return std::nullopt;
  }
  return m_prefill / total;
}

} // namespace ridgeferry::roles
