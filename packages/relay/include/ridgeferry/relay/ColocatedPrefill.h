#pragma once

#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/**
 * Learns whether the decode engines of a service can also prefill prompts
 * (colocated prefill), from the duration of prefills there and from pauses in
 * the streams.
 *
 * Each chunk of a prompt that an engine prefills between two decode steps
 * delays all its streams. If the engine prefills a typical prompt in a small
 * part of the pause that callers accept, nobody notices, and all engines may
 * prefill. On slower engines most streams are late although no first token is;
 * there, prefill must be disaggregated.
 *
 * Both slow prefill and pauses must be observed before colocated prefill is
 * disallowed: under overload prompts wait at engines of any speed, and a crash
 * pauses streams of any engine. This class only makes decisions and does no
 * I/O. It is not thread-safe.
 */
class ColocatedPrefill
{
public:
  /**
   * Records that a caller sent a long prompt. `aWork` is the work
   * (`Fleet::WorkToPrefill`) to prefill it without any cached prefix, as after
   * each loss of the cache. `aPause` is the longest pause between events that
   * the caller accepts.
   */
  void NotePrompt(double aWork, Duration aPause);
  /**
   * Records that a decode engine did `aThroughput` units of prefill work per
   * millisecond.
   */
  void NoteThroughput(double aThroughput);
  /**
   * Records that a stream of the service ended without a pause that its caller
   * would mind (`aPaused` is false), or has just had such a pause.
   */
  void NoteStream(bool aPaused);
  /** Returns whether decode engines may prefill. True until enough was seen. */
  bool IsAllowed() const { return m_allowed; }

private:
  void Decide();

  bool m_allowed = true;
  double m_work = 0;
  int m_prompts = 0;
  double m_pauseMs = 0;
  double m_throughput = 0;
  int m_paces = 0;
  double m_pausedShare = 0;
  int m_streams = 0;
};

} // namespace ridgeferry::relay
