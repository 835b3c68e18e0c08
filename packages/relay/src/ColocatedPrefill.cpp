#include "ridgeferry/relay/ColocatedPrefill.h"

#include "Smoothing.h"

#include <algorithm>

namespace ridgeferry::relay {

namespace {

/**
 * Throughput samples that are needed for a decision, because one may be off by
 * chance.
 */
constexpr int kLeastPaces = 3;
/**
 * The prefill of a whole mean prompt may take at most this share of the longest
 * pause that callers accept between two events. The rest is for the decode
 * steps and chunks of a second prompt.
 */
constexpr double kMostOfPause = 0.6;
/**
 * Colocated prefill is allowed again once the prefill takes less than this
 * fraction of `kMostOfPause`.
 */
constexpr double kAllowAgain = 0.4;
/** Number of prompts and of throughput samples that the means cover. */
constexpr int kPrompts = 30;
constexpr int kPaces = 10;
/**
 * Number of streams that are needed for a decision, and that the mean covers.
 */
constexpr int kLeastStreams = 5;
constexpr int kStreams = 12;
/**
 * Share of streams with a pause above which the pauses are not accidental. The
 * share is 0.1 to 0.2 on engines that sustain colocated prefill, and 0.6 or
 * more on those that do not.
 */
constexpr double kMostPaused = 0.45;

} // namespace

void
ColocatedPrefill::NotePrompt(double aWork, Duration aPause)
{
  m_work = Blend(m_work, aWork, m_prompts, kPrompts);
  if (aPause.count() > 0) {
    m_pauseMs = static_cast<double>(aPause.count());
  }
  Decide();
}

void
ColocatedPrefill::NoteThroughput(double aThroughput)
{
  m_throughput = Blend(m_throughput, aThroughput, m_paces, kPaces);
  Decide();
}

void
ColocatedPrefill::NoteStream(bool aPaused)
{
  m_pausedShare = Blend(m_pausedShare, aPaused ? 1 : 0, m_streams, kStreams);
  Decide();
}

void
ColocatedPrefill::Decide()
{
  if (m_paces < kLeastPaces || m_pauseMs == 0) {
    return;
  }
  const double share = m_work / m_throughput / m_pauseMs;
  const bool pauses = m_streams >= kLeastStreams && m_pausedShare > kMostPaused;
  if (share > kMostOfPause && pauses) {
    m_allowed = false;
  } else if (share < kMostOfPause * kAllowAgain) {
    m_allowed = true;
  }
}

} // namespace ridgeferry::relay
