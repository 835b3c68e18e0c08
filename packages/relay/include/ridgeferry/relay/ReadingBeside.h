#pragma once

#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/**
 * Whether engines that generate may read prompts beside it, learned from what
 * prompts take there and from the pauses of the streams.
 *
 * Each piece of a prompt that is read between two tokens holds up all streams
 * of that engine. At engines that read a typical prompt in a small part of the
 * pause that callers allow nobody notices, and all engines may read. At slower
 * ones most streams come late though no first token does: there prompts have to
 * be read apart.
 *
 * Both have to be seen: under overload prompts wait at engines of any kind, and
 * a crash pauses streams of any kind. Decisions only; not thread-safe.
 */
class ReadingBeside
{
public:
  /** A long prompt was asked for: the work (`Fleet::WorkToRead`) to read it
   * whole, as after each loss of what was kept. */
  void NotePrompt(double aWork, Duration aPause);
  /** So much work was read in a ms by an engine that generates. */
  void NotePace(double aPace);
  /** A stream of that service has ended without a pause between its events that
   * its caller would mind, or has just had one. */
  void NoteStream(bool aPaused);
  /** True until enough was seen. */
  bool IsAllowed() const { return m_allowed; }

private:
  void Decide();

  bool m_allowed = true;
  double m_work = 0;
  int m_prompts = 0;
  double m_pauseMs = 0;
  double m_pace = 0;
  int m_paces = 0;
  double m_pausedShare = 0;
  int m_streams = 0;
};

} // namespace ridgeferry::relay
