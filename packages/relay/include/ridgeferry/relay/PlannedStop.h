#pragma once

#include <optional>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/**
 * The order of a planned stop, so that it cuts no call: the balancer is told
 * at once; calls are taken while it may still send some; then connections at
 * rest are closed and further calls are refused as not run; the process ends
 * when nothing runs any more. Decisions only; not thread-safe.
 */
class PlannedStop
{
public:
  /**
   * How long calls are still taken. The balancer asks for readiness once a
   * second and acts on the second miss. A call taken later could outlast the
   * process's grace, and would be cut then.
   */
  static constexpr Duration kTakeFor{ 2800 };
  /** Connections at rest are closed a little before calls are refused: what
   * crosses the close has not been read, and its caller may send it again. */
  static constexpr Duration kKeepRestingFor{ 2500 };
  /** New connections come from the balancer's old view until then. */
  static constexpr Duration kListenFor{ 3500 };
  /** Kept free at the end of the grace, for the process's own end. */
  static constexpr Duration kMargin{ 600 };

  /** `aGrace`: from the stop's signal to the end by force. */
  void Begin(Duration aGrace, Instant aNow);

  bool HasBegun() const { return m_began.has_value(); }
  bool TakesCalls(Instant aNow) const;
  /** Whether connections between two requests are to be closed. */
  bool ClosesResting(Instant aNow) const;
  /** Whether the process may end, with that many calls under way or ended
   * with bytes that are still to be sent. */
  bool MayEnd(std::size_t aOpen, Instant aNow) const;

private:
  Duration Since(Instant aNow) const { return aNow - *m_began; }

  std::optional<Instant> m_began;
  Duration m_grace{};
};

} // namespace ridgeferry::relay
