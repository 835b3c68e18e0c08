#include "ridgeferry/relay/ExpiryGrace.h"

#include <algorithm>
#include <utility>

namespace ridgeferry::relay {

void
ExpiryGrace::NoteFailure(Instant aNow)
{
  if (!std::exchange(m_lost, true)) {
    m_heardThrough = HearsOfSteady(aNow);
  }
  m_answersSince.reset();
}

bool
ExpiryGrace::NoteAnswer(Instant aNow)
{
  // If two answers are far apart, nothing is known of the time between them.
  if (!m_answersSince || aNow - m_lastAnswer > kMaxAnswerAge) {
    m_answersSince = aNow;
  }
  m_lastAnswer = aNow;
  if (!std::exchange(m_lost, false)) {
    return false;
  }
  if (!m_heardThrough || !HearsOfSteady(aNow)) {
    m_until = aNow + kGracePeriod;
  }
  return true;
}

void
ExpiryGrace::NoteCopy(Instant aNow)
{
  m_answersSince.reset();
  m_peerSteadyAt.reset();
  m_heardThrough = false;
  const Instant until = aNow + kGracePeriod;
  m_until = std::max(m_until.value_or(until), until);
}

void
ExpiryGrace::NotePeerLost(Instant aNow)
{
  if (IsSteady(aNow)) {
    // This instance reads steadily, so only the peer is cut off.
    return;
  }
  m_peerSteadyAt.reset();
  const Instant until = aNow + kPeerGracePeriod;
  m_until = std::max(m_until.value_or(until), until);
}

void
ExpiryGrace::NotePeerSteady(Instant aNow)
{
  m_heardThrough = m_heardThrough && HearsOfSteady(aNow);
  m_peerSteadyAt = aNow;
}

bool
ExpiryGrace::IsSteady(Instant aNow) const
{
  return m_answersSince && aNow - m_lastAnswer <= kMaxAnswerAge &&
         m_lastAnswer - *m_answersSince >= kGracePeriod;
}

std::optional<Duration>
ExpiryGrace::ReadsFor(Instant aNow) const
{
  if (!m_answersSince || aNow - m_lastAnswer > kMaxAnswerAge) {
    return std::nullopt;
  }
  return aNow - *m_answersSince;
}

std::optional<Instant>
ExpiryGrace::Bounded(std::optional<Instant> aUntil,
                     std::optional<Instant> aDataCentreReadsSince,
                     Instant aNow)
{
  if (aUntil && aDataCentreReadsSince) {
    aUntil = std::min(*aUntil, *aDataCentreReadsSince + kGracePeriod);
  }
  return aUntil && aNow < *aUntil ? aUntil : std::nullopt;
}

bool
ExpiryGrace::HearsOfSteady(Instant aNow) const
{
  return m_peerSteadyAt && aNow - *m_peerSteadyAt < kSteadyReportLifetime;
}

std::optional<Instant>
ExpiryGrace::Until(Instant aNow) const
{
  return m_until && aNow < *m_until ? m_until : std::nullopt;
}

} // namespace ridgeferry::relay
