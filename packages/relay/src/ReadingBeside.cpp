#include "ridgeferry/relay/ReadingBeside.h"

#include "Smoothing.h"

#include <algorithm>

namespace ridgeferry::relay {

namespace {

/** Paces seen before anything is concluded: one may be chance. */
constexpr int kLeastPaces = 3;
/** Part of the allowed pause that the reading of a whole mean prompt may take:
 * the rest is the steps of the output and parts of a second prompt. */
constexpr double kMostOfPause = 0.6;
/** A prompt must become so much shorter before engines read beside again. */
constexpr double kAllowAgain = 0.4;
/** About the last thirty prompts and the last ten paces. */
constexpr int kPrompts = 30;
constexpr int kPaces = 10;
/** Streams seen before anything is concluded, and those remembered. */
constexpr int kLeastStreams = 5;
constexpr int kStreams = 12;
/** Share of streams with a pause above which they are no accident: 0.1 to 0.2
 * at engines that bear it, 0.6 and more at those that do not. */
constexpr double kMostPaused = 0.45;

} // namespace

void
ReadingBeside::NotePrompt(double aWork, Duration aPause)
{
  m_work = Blend(m_work, aWork, m_prompts, kPrompts);
  if (aPause.count() > 0) {
    m_pauseMs = static_cast<double>(aPause.count());
  }
  Decide();
}

void
ReadingBeside::NotePace(double aPace)
{
  m_pace = Blend(m_pace, aPace, m_paces, kPaces);
  Decide();
}

void
ReadingBeside::NoteStream(bool aPaused)
{
  m_pausedShare = Blend(m_pausedShare, aPaused ? 1 : 0, m_streams, kStreams);
  Decide();
}

void
ReadingBeside::Decide()
{
  if (m_paces < kLeastPaces || m_pauseMs == 0) {
    return;
  }
  const double share = m_work / m_pace / m_pauseMs;
  const bool pauses = m_streams >= kLeastStreams && m_pausedShare > kMostPaused;
  if (share > kMostOfPause && pauses) {
    m_allowed = false;
  } else if (share < kMostOfPause * kAllowAgain) {
    m_allowed = true;
  }
}

} // namespace ridgeferry::relay
