#pragma once

#include <ridgeferry/net/Http.h>

namespace ridgeferry::entry {

/** The headers of a message that concern more than its one connection, without
 * those that delimit its body. Thread-safe. */
net::HttpHeaders
PassableHeaders(const net::HttpHeaders& aHeaders);

} // namespace ridgeferry::entry
