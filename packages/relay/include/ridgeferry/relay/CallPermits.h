#pragma once

#include <optional>
#include <ridgeferry/relay/RelayFlow.h>
#include <ridgeferry/relay/RetryBudget.h>
#include <utility>

namespace ridgeferry::relay {

/** What one call holds of the retry budget of its service. Gives it back when
 * it is destroyed. Not thread-safe. */
class CallPermits
{
public:
  /** Precondition: `aBudget` outlives this object. */
  explicit CallPermits(RetryBudget& aBudget)
    : m_budget(aBudget)
  {
  }
  ~CallPermits() { Follow(0); }
  CallPermits(const CallPermits&) = delete;
  CallPermits& operator=(const CallPermits&) = delete;

  /** Returns how many permits the flow of the call may take. */
  int Free(Instant aNow) { return m_budget.Free(aNow); }
  /** Reserves or gives back permits, so that as many are reserved as the flow
   * holds. Must be called after each event of the flow, before its actions are
   * carried out. */
  void Follow(int aPermits)
  {
    const int before = std::exchange(m_reserved, aPermits);
    if (aPermits > before) {
      m_budget.Reserve(aPermits - before);
    } else {
      m_budget.GiveBack(before - aPermits);
    }
  }
  /** The attempt is sent, and is a retry. */
  void NoteRepeat(AttemptId aAttempt, Instant aNow)
  {
    m_budget.NoteRepeat(aNow);
    m_latest = { aAttempt, aNow };
  }
  /** The attempt did not leave. */
  void NoteNotSent(AttemptId aAttempt)
  {
    if (m_latest && m_latest->first == aAttempt) {
      m_budget.TakeBack(m_latest->second);
      m_latest.reset();
    }
  }

private:
  RetryBudget& m_budget;
  int m_reserved = 0;
  std::optional<std::pair<AttemptId, Instant>> m_latest; ///< Retry sent.
};

} // namespace ridgeferry::relay
