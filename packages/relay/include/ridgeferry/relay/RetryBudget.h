#pragma once

#include <deque>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

struct BudgetTerms
{
  /** Repeats allowed for each first send in the window. The instances share
   * one budget; a share of its own sends needs no talk between them. */
  double m_ratio = 0.1;
  /** Repeats allowed besides, in each window. Small: all instances together
   * stay under the operators' floor, however many there are. */
  double m_floor = 2;
  Duration m_window{ 10'000 };
};

/**
 * This instance's share of the sends beyond the first of each call to one
 * service, in any window of time. Decisions only; not thread-safe.
 */
class RetryBudget
{
public:
  explicit RetryBudget(BudgetTerms aTerms)
    : m_terms(aTerms)
  {
  }

  void NoteFirst(Instant aNow);
  /** Whether one more repeat fits the window that ends now. */
  bool MayRepeat(Instant aNow);
  void NoteRepeat(Instant aNow);
  void SetTerms(BudgetTerms aTerms) { m_terms = aTerms; }

private:
  void Forget(Instant aNow);

  BudgetTerms m_terms;
  std::deque<Instant> m_first;
  std::deque<Instant> m_repeats;
};

} // namespace ridgeferry::relay
