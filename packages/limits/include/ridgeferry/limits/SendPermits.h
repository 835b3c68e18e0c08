#pragma once

#include <ridgeferry/base/Time.h>

namespace ridgeferry::limits {

/**
 * Paces what one instance sends to one upstream. Permits are issued at equal
 * intervals, one for each send, and expire if they are not used, so that the
 * instances of a large deployment cannot all save a permit for the same moment.
 * A pure state machine; not thread-safe.
 */
class SendPermits
{
public:
  /** How long a permit may be used. */
  static constexpr Duration kLifetime{ 2000 };
  /** How old a permit must be before a less urgent call may use it. */
  static constexpr Duration kYieldTime{ 300 };

  /**
   * `aPhase`, from 0 to 1, is the share of an interval after which the first
   * permit is issued. Instances with different phases do not send all at once.
   */
  explicit SendPermits(double aPhase);

  /** Sets how many permits are issued a second; 0 issues none. */
  void SetRate(double aPerSecond, Instant aNow);
  /** Returns whether a call may be sent now. `aYields` is true for a call that
   * leaves fresh permits to more urgent ones. */
  bool MaySend(bool aYields, Instant aNow) const;
  /** Uses the oldest permit. Without one, the next is used ahead of its time.
   */
  void Take(Instant aNow);
  /** Returns the time until a call may be sent, `Duration::max()` if no permits
   * are issued. */
  Duration RoomIn(bool aYields, Instant aNow) const;

private:
  /** Returns when the oldest permit that can still be used is or was issued,
   * in milliseconds. */
  double Oldest(Instant aNow) const;

  double m_phase;
  double m_intervalMs; ///< Infinite while no permits are issued.
  double m_nextMs;     ///< When the oldest unused permit is or was issued.
};

} // namespace ridgeferry::limits
