#pragma once

#include <ridgeferry/net/HttpClient.h>
#include <ridgeferry/upstream/EngineClient.h>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::upstream {

struct ServiceRequest
{
  std::string m_address;
  std::string m_method;
  std::string m_target; ///< Path and query below the service's prefix.
  net::HttpHeaders m_headers;
  std::string m_body;
  Duration m_timeout{};
  bool m_fresh = false;
};

/** Either an answer or a failure. */
struct ServiceCallbacks
{
  sigc::slot<void(Answer)> m_answered;
  sigc::slot<void(Failure)> m_failed;
  /** Comes before that, if the service says for how long it wants no requests
   * of this instance. May be left empty. */
  sigc::slot<void(Duration)> m_backsOff;
};

/** Passes calls through to plain services. Not thread-safe. */
class ServiceClient
{
public:
  explicit ServiceClient(net::HttpClient& aClient);
  net::HttpCallId Call(const ServiceRequest& aRequest,
                       const ServiceCallbacks& aCallbacks);
  void Cancel(net::HttpCallId aCall);

private:
  net::HttpClient& m_client;
};

} // namespace ridgeferry::upstream
