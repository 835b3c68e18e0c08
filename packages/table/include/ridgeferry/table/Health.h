#pragma once

#include <ridgeferry/base/Time.h>

namespace ridgeferry::table {

/**
 * Whether the table answers, judged by this process's own calls. While it does
 * not, all calls but a probe now and then are answered at once as failed: a
 * caller who waits for an alert's refusal gets it in milliseconds, and a table
 * that comes back is not met by a storm. A pure state machine; not
 * thread-safe.
 */
class Health
{
public:
  static constexpr int kFailuresToClose = 2;
  static constexpr Duration kProbeEvery{ 500 };

  /** Whether a call may be sent now. */
  bool Allow(Instant aNow);
  /** A call that was sent ended; `aAnswered`: the table answered it. */
  void Note(bool aAnswered);
  bool IsDown() const { return m_failuresInRow >= kFailuresToClose; }

private:
  int m_failuresInRow = 0;
  Instant m_nextProbe;
};

} // namespace ridgeferry::table
