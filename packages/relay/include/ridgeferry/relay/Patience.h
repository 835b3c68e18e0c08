#pragma once

#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/**
 * How long a prompt may wait for its first token: seven tenths of its aim.
 * The rest is the way there and back, the first event's other tokens, and what
 * other instances have sent meanwhile.
 */
inline Duration
PatienceOf(Duration aAim)
{
  constexpr int kTenths = 7;
  constexpr int kWhole = 10;
  return aAim * kTenths / kWhole;
}

} // namespace ridgeferry::relay
