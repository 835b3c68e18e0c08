#include "ridgeferry/freshness/KnownLag.h"

namespace ridgeferry::freshness {

void
KnownLag::NoteTold(const StorePosition& aTold,
                   const StorePosition& aHeld,
                   Instant aNow)
{
  if (aTold <= aHeld || aTold <= m_told) {
    return;
  }
  if (m_told <= aHeld) {
    m_since = aNow;
  }
  m_told = aTold;
}

std::optional<Duration>
KnownLag::At(const StorePosition& aHeld, Instant aNow) const
{
  return m_told <= aHeld ? std::nullopt : std::optional(aNow - m_since);
}

} // namespace ridgeferry::freshness
