#pragma once

#include <optional>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/**
 * The steps of a planned stop, timed so that the stop interrupts no call:
 *  1. the readiness check fails at once, so that the load balancer stops
 *     sending calls;
 *  2. the process still accepts calls while the load balancer may send some;
 *  3. the process closes idle connections and refuses further calls as not run;
 *  4. the process exits when no call is running.
 *
 * The class only decides; its caller carries the steps out. Not thread-safe.
 */
class PlannedStop
{
public:
  /**
   * How long after the stop's signal calls are still accepted, in milliseconds.
   * The load balancer checks readiness once a second and stops sending calls
   * after the second failed check. A call that is accepted later could run
   * beyond the process's grace period, and would then be interrupted.
   */
  static constexpr Duration kAcceptCallsFor{ 2800 };
  /** How long idle connections are kept open, in milliseconds. They are closed
   * shortly before calls are refused: a request that is sent while its
   * connection is being closed has not been read, so its caller may safely send
   * it again. */
  static constexpr Duration kKeepIdleConnectionsFor{ 2500 };
  /** How long the process waits at least before it exits, in milliseconds.
   * Until then the load balancer may open connections, because its view of this
   * instance is out of date. */
  static constexpr Duration kAcceptConnectionsFor{ 3500 };
  /** Time reserved at the end of the grace period for the shutdown of the
   * process itself, in milliseconds. */
  static constexpr Duration kMargin{ 600 };

  /** Begins the stop. `aGrace` is the time between the stop's signal and the
   * moment when the process is killed. Further calls have no effect. */
  void Begin(Duration aGrace, Instant aNow);

  bool HasBegun() const { return m_began.has_value(); }
  /** Returns whether the process still accepts calls. */
  bool AcceptsCalls(Instant aNow) const;
  /** Returns whether connections without a request under way are to be closed.
   */
  bool ClosesIdleConnections(Instant aNow) const;
  /** Returns whether the process may exit. `aOpen` is the number of calls that
   * run or whose answers have not been sent completely. Once only `kMargin` of
   * the grace period is left, the process may exit whatever `aOpen` is. */
  bool MayEnd(std::size_t aOpen, Instant aNow) const;

private:
  /** Returns the time since the stop began. */
  Duration Since(Instant aNow) const { return aNow - *m_began; }

  std::optional<Instant> m_began;
  Duration m_grace{};
};

} // namespace ridgeferry::relay
