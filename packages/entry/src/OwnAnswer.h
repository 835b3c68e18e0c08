#pragma once

#include <ridgeferry/base/Time.h>
#include <ridgeferry/net/HttpServer.h>
#include <string_view>

namespace ridgeferry::entry {

/** An error answer that this instance generates itself, without an upstream. */
struct OwnAnswer
{
  int m_status = 0;
  std::string_view m_code;    ///< Stable error code for programs; also logged.
  std::string_view m_outcome; ///< Whether the call may have run.
  Duration m_retryAfter{};    ///< For Retry-After; 0 omits the header.
  /** The call came from another instance, which may try a third one. */
  bool m_declined = false;
};

/** Sends the answer as an `application/problem+json` body. Precondition: no
 * part of an answer has been sent yet. Not thread-safe. */
void
SendOwnAnswer(net::HttpExchange& aExchange, const OwnAnswer& aAnswer);

} // namespace ridgeferry::entry
