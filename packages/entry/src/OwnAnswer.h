#pragma once

#include <ridgeferry/base/Time.h>
#include <ridgeferry/net/HttpServer.h>
#include <string_view>

namespace ridgeferry::entry {

/** An answer that comes from this instance and not from an upstream. */
struct OwnAnswer
{
  int m_status = 0;
  std::string_view m_code;    ///< Stable word for programs; also logged.
  std::string_view m_outcome; ///< Whether the call may have run.
  Duration m_retryAfter{};    ///< When to come back; 0: not said.
};

/** Precondition: nothing of an answer was sent yet. Not thread-safe. */
void
SendOwnAnswer(net::HttpExchange& aExchange, const OwnAnswer& aAnswer);

} // namespace ridgeferry::entry
