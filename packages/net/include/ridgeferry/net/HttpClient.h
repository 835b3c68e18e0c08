#pragma once

#include <cstdint>
#include <memory>
#include <ridgeferry/net/EventLoop.h>
#include <ridgeferry/net/Http.h>
#include <sigc++/sigc++.h>
#include <string_view>

namespace ridgeferry::net {

/** What a request calls back. Only `m_done` is needed; it comes once. */
struct HttpCallbacks
{
  sigc::slot<void(const HttpHead&)> m_head;
  /** If set, the body comes in pieces and is not gathered. */
  sigc::slot<void(std::string_view)> m_chunk;
  sigc::slot<void(HttpResponse)> m_done;
  /** An answer to an earlier request has come and is skipped; the first
   * argument is what it has in the field of `HttpRequest::m_mustEcho`, or
   * empty. */
  sigc::slot<void(std::string_view, const HttpHead&)> m_skipped = {};
};

using HttpCallId = std::uint64_t;

/**
 * Sends HTTP/1.1 requests; keeps idle connections, one request at a time on
 * each. Callbacks come from the loop, never from inside `Send`.
 * Not thread-safe.
 */
class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  HttpCallId Send(const HttpRequest& aRequest, HttpCallbacks aCallbacks);
  /** Ends a request and its connection; nothing is called back for it. */
  void Cancel(HttpCallId aCall);
  /** Returns whether bytes of the request may have left. False only if none
   * has; none will once it is cancelled. */
  bool MayHaveLeft(HttpCallId aCall) const;
  /**
   * Stops reading the answer, or goes on: its bytes wait in the system's
   * buffers and then at the sender. A pause counts neither as silence of the
   * peer nor shows the end of its connection. Has no effect on a request that
   * has ended.
   */
  void SetReading(HttpCallId aCall, bool aReads);

  struct Impl;

private:
  std::unique_ptr<Impl> m_impl;
};

} // namespace ridgeferry::net
