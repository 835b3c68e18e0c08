#include "ridgeferry/relay/LapseGrace.h"

#include <algorithm>
#include <utility>

namespace ridgeferry::relay {

void
LapseGrace::NoteFailure(Instant aNow)
{
  if (!std::exchange(m_lost, true)) {
    m_heardThrough = HearsOfSteady(aNow);
  }
  m_answersSince.reset();
}

bool
LapseGrace::NoteAnswer(Instant aNow)
{
  // If two answers are far apart, nothing is known of the time between them.
  if (!m_answersSince || aNow - m_lastAnswer > kAnswerAge) {
    m_answersSince = aNow;
  }
  m_lastAnswer = aNow;
  if (!std::exchange(m_lost, false)) {
    return false;
  }
  if (!m_heardThrough || !HearsOfSteady(aNow)) {
    m_until = aNow + kLapseTime;
  }
  return true;
}

void
LapseGrace::NoteCopy(Instant aNow)
{
  m_answersSince.reset();
  m_peerSteadyAt.reset();
  m_heardThrough = false;
  const Instant until = aNow + kLapseTime;
  m_until = std::max(m_until.value_or(until), until);
}

void
LapseGrace::NotePeerLost(Instant aNow)
{
  if (IsSteady(aNow)) {
    // This instance reads steadily, so only the peer is cut off.
    return;
  }
  m_peerSteadyAt.reset();
  const Instant until = aNow + kPeerLapseTime;
  m_until = std::max(m_until.value_or(until), until);
}

void
LapseGrace::NotePeerSteady(Instant aNow)
{
  m_heardThrough = m_heardThrough && HearsOfSteady(aNow);
  m_peerSteadyAt = aNow;
}

bool
LapseGrace::IsSteady(Instant aNow) const
{
  return m_answersSince && aNow - m_lastAnswer <= kAnswerAge &&
         m_lastAnswer - *m_answersSince >= kLapseTime;
}

std::optional<Duration>
LapseGrace::ReadsFor(Instant aNow) const
{
  if (!m_answersSince || aNow - m_lastAnswer > kAnswerAge) {
    return std::nullopt;
  }
  return aNow - *m_answersSince;
}

std::optional<Instant>
LapseGrace::Bounded(std::optional<Instant> aUntil,
                    std::optional<Instant> aHallReadsSince,
                    Instant aNow)
{
  if (aUntil && aHallReadsSince) {
    aUntil = std::min(*aUntil, *aHallReadsSince + kLapseTime);
  }
  return aUntil && aNow < *aUntil ? aUntil : std::nullopt;
}

bool
LapseGrace::HearsOfSteady(Instant aNow) const
{
  return m_peerSteadyAt && aNow - *m_peerSteadyAt < kSteadyFor;
}

std::optional<Instant>
LapseGrace::Until(Instant aNow) const
{
  return m_until && aNow < *m_until ? m_until : std::nullopt;
}

} // namespace ridgeferry::relay
