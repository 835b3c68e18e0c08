#include "ridgeferry/admission/ConcurrencyLimit.h"

#include <algorithm>

namespace ridgeferry::admission {

namespace {

constexpr double kMsPerSecond = 1000;

double
ToMs(Duration aTime)
{
  return static_cast<double>(aTime.count());
}

/** Returns the time within which the first byte is wanted. */
double
AimMs(const Answer& aAnswer)
{
  constexpr int kHalf = 2;
  const Duration most = aAnswer.m_deadline / kHalf;
  return ToMs(aAnswer.m_aim.count() > 0 ? std::min(aAnswer.m_aim, most) : most);
}

} // namespace

ConcurrencyLimit::Timing
ConcurrencyLimit::TimingOf(const Answer& aAnswer, Instant aNow)
{
  const double tookMs = ToMs(aAnswer.m_took);
  if (m_shortestMs > 0) {
    m_shortestMs *=
      1 + kShortestGrowth * ToMs(aNow - m_shortestAt) / kMsPerSecond;
  }
  m_shortestAt = aNow;
  if (!aAnswer.m_isServed) {
    return Timing::OutOfTime;
  }
  m_shortestMs = m_shortestMs > 0 ? std::min(m_shortestMs, tookMs) : tookMs;
  const double aimMs = AimMs(aAnswer);
  const double queuedMs =
    std::min(kQueued * m_shortestMs, ToMs(aAnswer.m_deadline) / 2);
  if (tookMs > std::max(kMostOfAim * aimMs, queuedMs)) {
    return Timing::OutOfTime;
  }
  const bool isEarly = tookMs <= std::max(kWantedOfAim * aimMs, queuedMs);
  return isEarly ? Timing::Early : Timing::InTime;
}

LimitStep
ConcurrencyLimit::NoteAnswer(const Answer& aAnswer,
                             std::size_t aInFlight,
                             Instant aNow)
{
  const Timing timing = TimingOf(aAnswer, aNow);
  if (m_loweredAt && aAnswer.m_sentAt < *m_loweredAt) {
    return LimitStep::None;
  }
  m_since = m_since.value_or(aNow);
  ++m_answers;
  m_served += aAnswer.m_isServed ? 1 : 0;
  m_outOfTime += timing == Timing::OutOfTime ? 1 : 0;
  m_early += timing == Timing::Early ? 1 : 0;
  m_aimMs += AimMs(aAnswer);
  m_peak = std::max(m_peak, static_cast<double>(aInFlight));
  const Duration lasted = aNow - *m_since;
  const bool isEnough =
    m_answers >= kLeastAnswers || m_outOfTime >= kLeastOutOfTime;
  return lasted >= kWindow && isEnough ? CloseWindow(aNow) : LimitStep::None;
}

LimitStep
ConcurrencyLimit::CloseWindow(Instant aNow)
{
  m_servedPerSecond = m_served * kMsPerSecond / ToMs(aNow - *m_since);
  const bool isOver = m_outOfTime > kOverShare * m_answers;
  const LimitStep step = isOver ? Lower(aNow) : Raise(aNow);
  m_since.reset();
  m_answers = 0;
  m_served = 0;
  m_outOfTime = 0;
  m_early = 0;
  m_aimMs = 0;
  m_peak = 0;
  return step;
}

LimitStep
ConcurrencyLimit::Lower(Instant aNow)
{
  const LimitStep step = m_limit ? LimitStep::Lowered : LimitStep::Began;
  const double used = std::min(m_limit.value_or(m_peak), m_peak);
  const double aimMs = m_aimMs / m_answers;
  // By Little's law, as many calls as are served within the aim.
  const double inTime = m_servedPerSecond / kMsPerSecond * aimMs * kWantedOfAim;
  const bool isSure = !m_limit && m_served >= kLeastOutOfTime;
  const double least = isSure ? kLeast : used * kMostDecrease;
  m_limit = std::max({ kLeast, least, std::min(used * kDecrease, inTime) });
  m_loweredAt = aNow;
  return step;
}

LimitStep
ConcurrencyLimit::Raise(Instant aNow)
{
  if (!m_limit) {
    return LimitStep::None;
  }
  if (m_peak >= kNearLimit * *m_limit) {
    if (m_early < (1 - kOverShare) * m_answers) {
      return LimitStep::None;
    }
    *m_limit += std::min(kIncrease * *m_limit, kMostIncrease);
    return LimitStep::Raised;
  }
  if (m_loweredAt && aNow - *m_loweredAt >= kCalm) {
    m_limit.reset();
    m_loweredAt.reset();
    return LimitStep::Ended;
  }
  return LimitStep::None;
}

} // namespace ridgeferry::admission
