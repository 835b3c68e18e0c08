#include "ridgeferry/freshness/ProvenAge.h"

#include <algorithm>

namespace ridgeferry::freshness {

namespace {

bool
IsLater(const StoreMoment& aLeft, const std::optional<StoreMoment>& aRight)
{
  if (!aRight || aLeft.m_generation != aRight->m_generation) {
    return !aRight || aLeft.m_generation > aRight->m_generation;
  }
  return aLeft.m_clock > aRight->m_clock;
}

} // namespace

void
ProvenAge::NoteRead(const StoreMoment& aTold, Instant aAsked, Instant aNow)
{
  m_clock.NoteAnswer(aTold, aAsked, aNow);
  // The answer was made after the question was sent, whatever the clocks show.
  m_provenUntil = std::max(m_provenUntil.value_or(aAsked), aAsked);
  if (IsLater(aTold, m_latest) || HasSteppedBack(aTold, aAsked)) {
    m_latest = aTold;
    m_latestSince = aNow;
  }
  Advance(aNow);
}

bool
ProvenAge::HasSteppedBack(const StoreMoment& aTold, Instant aAsked) const
{
  return m_latest && m_latest->m_generation == aTold.m_generation &&
         m_latest->m_clock > aTold.m_clock && m_latestSince <= aAsked;
}

void
ProvenAge::NotePeerProof(const TableProof& aProof,
                         const StorePosition& aHeld,
                         Instant aNow)
{
  const StoreGeneration generation = aHeld.m_generation;
  if (aProof.m_changed.m_generation != generation ||
      aProof.m_until.m_generation != generation || aHeld < aProof.m_changed ||
      !IsLater(aProof.m_until, m_latest)) {
    return;
  }
  m_latest = aProof.m_until;
  m_latestSince = aNow;
  Advance(aNow);
}

void
ProvenAge::NoteReading(const StoreMoment& aTold, Instant aAsked, Instant aNow)
{
  m_clock.NoteReading(aTold, aAsked);
  Advance(aNow);
}

void
ProvenAge::Advance(Instant aNow)
{
  if (!m_latest) {
    return;
  }
  const auto until = m_clock.EarliestInstantOf(*m_latest, aNow);
  if (!until) {
    return;
  }
  if (*until > aNow) {
    // It is of before a step of the store's clock. If it were kept, it would
    // count as proven once the present has reached it.
    m_latest.reset();
    return;
  }
  m_provenUntil = std::max(m_provenUntil.value_or(*until), *until);
}

std::optional<TableProof>
ProvenAge::ProofFor(const StorePosition& aHeld) const
{
  if (!m_latest || m_latest->m_generation != aHeld.m_generation) {
    return std::nullopt;
  }
  return TableProof{ aHeld, *m_latest };
}

std::optional<Duration>
ProvenAge::AgeAt(Instant aNow) const
{
  if (!m_provenUntil) {
    return std::nullopt;
  }
  return std::max(Duration{}, aNow - *m_provenUntil);
}

} // namespace ridgeferry::freshness
