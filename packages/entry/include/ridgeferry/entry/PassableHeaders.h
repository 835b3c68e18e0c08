#pragma once

#include <ridgeferry/net/Http.h>

namespace ridgeferry::entry {

/** Returns the end-to-end headers of a message, which a proxy forwards: those
 * that concern only its connection or delimit its body are left out.
 * Thread-safe. */
net::HttpHeaders
PassableHeaders(const net::HttpHeaders& aHeaders);

} // namespace ridgeferry::entry
