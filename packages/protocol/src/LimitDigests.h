#pragma once

#include "ridgeferry_types.h"

#include <ridgeferry/membership/Roster.h>

namespace ridgeferry::protocol {

/** Writes the limits of upstreams and the demand at the sender. */
void
SetLimits(wire::Heartbeat& aOut, const membership::Heartbeat& aMessage);

/** Reads what `SetLimits` writes. Returns false if lists differ in length. */
bool
TakeLimits(const wire::Heartbeat& aIn, membership::Heartbeat& aOut);

} // namespace ridgeferry::protocol
