// The part of `Fleet` that deals with the limits that upstreams state.

#include "ridgeferry/relay/Fleet.h"

namespace ridgeferry::relay {

limits::LimitChange
Fleet::NoteStatedLimit(std::string_view aId,
                       std::optional<double> aPerSecond,
                       Instant aNow)
{
  return m_limits.Note(ShortHash(aId), { aPerSecond, aNow });
}

} // namespace ridgeferry::relay
