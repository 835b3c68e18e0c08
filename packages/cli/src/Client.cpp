#include "Client.h"

#include <ridgeferry/net/EventLoop.h>

namespace ridgeferry::cli {

namespace {

/** Longer than an instance takes to settle a change with a slow table. */
constexpr Duration kTimeout{ 30'000 };

} // namespace

Client::Client(const Common& aCommon)
  : m_common(aCommon)
{
}

net::HttpResponse
Client::Send(net::HttpRequest aRequest)
{
  const auto loop = net::EventLoop::Make();
  net::HttpClient client(*loop);
  aRequest.m_address = m_common.m_server;
  aRequest.m_timeout = kTimeout;
  aRequest.m_maxBody = net::kMaxStoreBody;
  aRequest.m_headers.Add("Authorization", "Bearer " + m_common.m_token);
  net::HttpResponse result;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [&](net::HttpResponse aResponse) {
    result = std::move(aResponse);
    loop->Stop();
  };
  client.Send(aRequest, std::move(callbacks));
  loop->Run();
  return result;
}

net::HttpResponse
Client::Get(const std::string& aTarget)
{
  net::HttpRequest request;
  request.m_target = aTarget;
  return Send(std::move(request));
}

net::HttpResponse
Client::Post(const std::string& aTarget,
             std::string aBody,
             const net::HttpHeaders& aHeaders)
{
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_target = aTarget;
  request.m_body = std::move(aBody);
  request.m_headers = aHeaders;
  request.m_headers.Add("Content-Type", "application/json");
  return Send(std::move(request));
}

} // namespace ridgeferry::cli
