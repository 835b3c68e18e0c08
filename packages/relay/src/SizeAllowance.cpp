#include "ridgeferry/relay/SizeAllowance.h"

#include <algorithm>

namespace ridgeferry::relay {

void
SizeAllowance::NoteAdmitted(bool aForItsSize)
{
  const double left = m_left + (aForItsSize ? -1 : kShare);
  m_left = std::clamp(left, 0.0, kMost);
}

} // namespace ridgeferry::relay
