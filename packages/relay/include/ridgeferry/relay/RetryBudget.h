#pragma once

#include <deque>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/** Limits of a retry budget. */
struct BudgetTerms
{
  /** Retries allowed for each first send in the window. All instances share one
   * budget. Because the limit is a fraction of an instance's own first sends,
   * the instances need not communicate to keep it. */
  double m_ratio = 0.1;
  /** Retries allowed in each window in addition to the ratio. The value is
   * small, so that all instances together stay below the floor that operators
   * set for the whole service, however many instances there are. */
  double m_floor = 2;
  Duration m_window{ 10'000 }; ///< Length of the sliding window.
};

/**
 * Limits the retries that this instance sends to one service within a sliding
 * window. A retry is any send of a call after its first. A call reserves a
 * permit for each retry that it decides on: until that is sent, much may pass
 * in which other calls decide as well. The class only decides and sends
 * nothing. Not thread-safe.
 */
class RetryBudget
{
public:
  explicit RetryBudget(BudgetTerms aTerms)
    : m_terms(aTerms)
  {
  }

  /** Records the first send of a call. */
  void NoteFirstSend(Instant aNow);
  /** Returns how many permits more can be reserved in the window that ends at
   * `aNow`. */
  int Free(Instant aNow);
  /** Reserves permits. Precondition: so many are free. */
  void Reserve(int aPermits) { m_reserved += aPermits; }
  /** Gives reserved permits back, as they are not needed any more or as their
   * retries are recorded. */
  void GiveBack(int aPermits) { m_reserved -= aPermits; }
  /** Records a retry. Must be called for each retry that is sent. */
  void NoteRepeat(Instant aNow);
  /** The retry that was recorded with this time did not leave. */
  void TakeBack(Instant aSentAt);
  void SetTerms(BudgetTerms aTerms) { m_terms = aTerms; }

private:
  /** Removes sends that are no longer in the window that ends at `aNow`. */
  void Forget(Instant aNow);

  BudgetTerms m_terms;
  std::deque<Instant> m_firstSends;
  std::deque<Instant> m_repeats;
  int m_reserved = 0;
};

} // namespace ridgeferry::relay
