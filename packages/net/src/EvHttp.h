#pragma once

#include <event2/buffer.h>
#include <event2/http.h>
#include <ridgeferry/net/Http.h>
#include <string>
#include <string_view>

struct evkeyvalq;

namespace ridgeferry::net {

/** The library's command of a method name; GET for an unknown one. */
evhttp_cmd_type
CommandFromName(std::string_view aName);
std::string_view
CommandName(evhttp_cmd_type aCommand);

HttpHeaders
CopyHeaders(const evkeyvalq* aHeaders);

/** Takes all bytes out of a buffer. */
std::string
TakeBytes(evbuffer* aBuffer);

} // namespace ridgeferry::net
