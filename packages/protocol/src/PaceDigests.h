#pragma once

#include "ridgeferry_types.h"

#include <ridgeferry/membership/Roster.h>

namespace ridgeferry::protocol {

/** Writes the paces of upstreams in start. */
void
SetPaces(wire::Heartbeat& aOut, const membership::Heartbeat& aMessage);

/** Reads what `SetPaces` writes. Returns false if lists differ in length. */
bool
TakePaces(const wire::Heartbeat& aIn, membership::Heartbeat& aOut);

} // namespace ridgeferry::protocol
