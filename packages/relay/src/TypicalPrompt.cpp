#include "ridgeferry/relay/TypicalPrompt.h"

#include <algorithm>
#include <cmath>

namespace ridgeferry::relay {

namespace {

/** Weight of the newest prompt after the first fifty. */
constexpr double kLeastWeight = 0.02;

} // namespace

void
TypicalPrompt::Note(const Prompt& aPrompt)
{
  ++m_count;
  const double weight =
    std::max(kLeastWeight, 1 / static_cast<double>(m_count));
  const auto take = [weight](double& aMean, std::int64_t aTokens) {
    aMean += weight * (static_cast<double>(aTokens) - aMean);
  };
  take(m_shared, aPrompt.m_sharedTokens);
  take(m_common, aPrompt.m_commonTokens);
  take(m_own, aPrompt.m_ownTokens);
  take(m_out, aPrompt.m_outTokens);
}

Prompt
TypicalPrompt::Value() const
{
  Prompt out;
  out.m_sharedTokens = std::llround(m_shared);
  out.m_commonTokens = std::llround(m_common);
  out.m_ownTokens = std::llround(m_own);
  out.m_outTokens = std::llround(m_out);
  return out;
}

} // namespace ridgeferry::relay
