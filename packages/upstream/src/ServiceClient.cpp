#include "ridgeferry/upstream/ServiceClient.h"

#include "Answers.h"

namespace ridgeferry::upstream {

ServiceClient::ServiceClient(net::HttpClient& aClient)
  : m_client(aClient)
{
}

net::HttpCallId
ServiceClient::Call(const ServiceRequest& aRequest,
                    const ServiceCallbacks& aCallbacks)
{
  net::HttpRequest request;
  request.m_method = aRequest.m_method;
  request.m_address = aRequest.m_address;
  request.m_target = aRequest.m_target;
  request.m_headers = aRequest.m_headers;
  request.m_body = aRequest.m_body;
  request.m_timeout = aRequest.m_timeout;
  request.m_fresh = aRequest.m_fresh;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [aCallbacks](net::HttpResponse aResponse) {
    const auto backOff = BackOffOf(aResponse);
    if (backOff && aCallbacks.m_backsOff) {
      aCallbacks.m_backsOff(*backOff);
    }
    if (const auto failure = FailureOf(aResponse)) {
      aCallbacks.m_failed(*failure);
      return;
    }
    aCallbacks.m_answered(ToAnswer(std::move(aResponse)));
  };
  return m_client.Send(request, std::move(callbacks));
}

void
ServiceClient::Cancel(net::HttpCallId aCall)
{
  m_client.Cancel(aCall);
}

} // namespace ridgeferry::upstream
