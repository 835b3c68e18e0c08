#include "ridgeferry/relay/RetryBudget.h"

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

bool
RetryBudget::MayRepeat(Instant aNow)
{
  Forget(aNow);
  const double allowed =
    m_terms.m_floor +
    m_terms.m_ratio * static_cast<double>(m_firstSends.size());
  return static_cast<double>(m_repeats.size()) + 1 <= allowed;
}

void
RetryBudget::NoteRepeat(Instant aNow)
{
  m_repeats.push_back(aNow);
}

} // namespace ridgeferry::relay
