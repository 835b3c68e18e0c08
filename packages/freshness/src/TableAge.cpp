#include "ridgeferry/freshness/TableAge.h"

namespace ridgeferry::freshness {

bool
MayBeOld(const TableAge& aAge)
{
  return aAge.m_knownLag.has_value() || !aAge.m_proven ||
         *aAge.m_proven > kLongestUnproven;
}

} // namespace ridgeferry::freshness
