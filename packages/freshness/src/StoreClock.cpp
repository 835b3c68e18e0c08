#include "ridgeferry/freshness/StoreClock.h"

#include <algorithm>

namespace ridgeferry::freshness {

namespace {

/** Both clocks are read in whole milliseconds. */
constexpr Duration kRounding{ 1 };

} // namespace

Duration
StoreClock::OffsetAt(const Bound& aBound, Instant aNow)
{
  const Duration age = std::max(Duration{}, aNow - aBound.m_at);
  return aBound.m_offset - age / kDriftDivisor;
}

void
StoreClock::NoteReading(const StoreMoment& aTold, Instant aAsked)
{
  const Bound bound{ aTold.m_generation,
                     aAsked.time_since_epoch() - aTold.m_clock - kRounding,
                     aAsked };
  if (!m_bound || m_bound->m_generation < bound.m_generation) {
    m_bound = bound;
    return;
  }
  if (m_bound->m_generation == bound.m_generation &&
      bound.m_offset >= OffsetAt(*m_bound, aAsked)) {
    m_bound = bound;
  }
}

void
StoreClock::NoteAnswer(const StoreMoment& aTold,
                       Instant aAsked,
                       Instant aAnswered)
{
  // The reading was made before the answer came, so the offset is at most this.
  const Duration most =
    aAnswered.time_since_epoch() - aTold.m_clock + kRounding;
  if (m_bound && m_bound->m_generation == aTold.m_generation &&
      OffsetAt(*m_bound, aAnswered) > most) {
    m_bound.reset();
  }
  NoteReading(aTold, aAsked);
}

std::optional<Instant>
StoreClock::EarliestInstantOf(const StoreMoment& aMoment, Instant aNow) const
{
  if (!m_bound || m_bound->m_generation != aMoment.m_generation) {
    return std::nullopt;
  }
  return Instant{ aMoment.m_clock + OffsetAt(*m_bound, aNow) };
}

std::optional<StoreMoment>
StoreClock::LatestReading(Instant aNow) const
{
  if (!m_bound) {
    return std::nullopt;
  }
  return StoreMoment{ m_bound->m_generation,
                      aNow.time_since_epoch() - OffsetAt(*m_bound, aNow) };
}

bool
StoreClock::WantsReading(StoreGeneration aGeneration, Instant aNow) const
{
  return !m_bound || m_bound->m_generation < aGeneration ||
         m_bound->m_offset - OffsetAt(*m_bound, aNow) > kWantedAccuracy;
}

} // namespace ridgeferry::freshness
