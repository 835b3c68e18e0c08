#pragma once

#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/**
 * Whether this instance reaches the upstreams of one service. An instance that
 * reaches none goes on serving through others; from time to time one call tries
 * the direct way, once a connection to an upstream has come about again. A pure
 * state machine; not thread-safe.
 */
class ServiceReach
{
public:
  /** Time until the second call tries the direct way. It doubles with each, as
   * the caller of a call that fails has waited in vain. */
  static constexpr Duration kFirstTrialInterval{ 500 };
  static constexpr Duration kMaxTrialInterval{ 4000 };

  /** Records whether some upstream that can run calls responds as it should.
   * Returns true if that ends or begins a time in which none does. */
  bool NoteResponsive(bool aAny, Instant aNow);
  /** A connection to an upstream of the service has come about. */
  void NoteConnected(Instant aNow);
  bool IsUnreachable() const { return m_isUnreachable; }
  /** Returns when the service became unreachable. Precondition:
   * `IsUnreachable()`. */
  Instant UnreachableSince() const { return m_since; }
  /** How long a trial waits for a call that may be repeated. */
  static constexpr Duration kRepeatableFirst{ 1000 };
  /** Returns whether a call should try the direct way although the service is
   * unreachable. If so, the trial counts as begun. `aMayRepeat` is false for a
   * call that would be lost with a trial that fails. */
  bool AllowTrial(bool aMayRepeat, Instant aNow);

private:
  bool m_isUnreachable = false;
  bool m_isConnectable = false;
  Instant m_since;
  Instant m_nextTrialAt;
  Duration m_trialInterval = kFirstTrialInterval;
};

} // namespace ridgeferry::relay
