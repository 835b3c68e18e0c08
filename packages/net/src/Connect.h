#pragma once

#include <ridgeferry/net/Address.h>

struct bufferevent;

namespace ridgeferry::net {

/** Begins to connect. Returns whether it was refused at once, as happens on one
 * machine: the library's event does not tell why. Not thread-safe. */
bool
BeginConnect(bufferevent* aEvents, const Address& aAddress);

/** For the callback of an event before the connection stands: nobody listens at
 * the address. Not thread-safe. */
bool
WasRefused(short aEvents);

} // namespace ridgeferry::net
