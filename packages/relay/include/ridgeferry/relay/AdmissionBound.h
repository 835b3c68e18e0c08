#pragma once

#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/**
 * Returns the admission bound of a prompt: it is refused if its first token is
 * expected later than this. The bound is seven tenths of the first-token target
 * `aAim`. The remaining three tenths are for the network round trip, the other
 * tokens of the first event, and the calls that other instances have sent in
 * the meantime.
 */
inline Duration
AdmissionBoundOf(Duration aAim)
{
  constexpr int kTenths = 7;
  constexpr int kWhole = 10;
  return aAim * kTenths / kWhole;
}

} // namespace ridgeferry::relay
