#include "ridgeferry/table/Health.h"

namespace ridgeferry::table {

bool
Health::Allow(Instant aNow)
{
  if (!IsDown()) {
    return true;
  }
  if (aNow < m_nextProbe) {
    return false;
  }
  m_nextProbe = aNow + kProbeEvery;
  return true;
}

void
Health::Note(bool aAnswered)
{
  m_failuresInRow = aAnswered ? 0 : m_failuresInRow + 1;
}

} // namespace ridgeferry::table
