#include "ridgeferry/relay/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace ridgeferry::relay {

void
RetryBudget::Forget(Instant aNow)
{
  for (auto* sends : { &m_firstSends, &m_repeats }) {
    while (!sends->empty() && aNow - sends->front() >= m_terms.m_window) {
      sends->pop_front();
    }
  }
}

void
RetryBudget::NoteFirstSend(Instant aNow)
{
  Forget(aNow);
  m_firstSends.push_back(aNow);
}

int
RetryBudget::Free(Instant aNow)
{
  Forget(aNow);
  const double allowed =
    m_terms.m_floor +
    m_terms.m_ratio * static_cast<double>(m_firstSends.size());
  const double taken = static_cast<double>(m_repeats.size()) + m_reserved;
  return static_cast<int>(std::max(0.0, std::floor(allowed - taken)));
}

void
RetryBudget::NoteRepeat(Instant aNow)
{
  m_repeats.push_back(aNow);
}

void
RetryBudget::TakeBack(Instant aSentAt)
{
  const auto found = std::find(m_repeats.begin(), m_repeats.end(), aSentAt);
  if (found != m_repeats.end()) {
    m_repeats.erase(found);
  }
}

} // namespace ridgeferry::relay
