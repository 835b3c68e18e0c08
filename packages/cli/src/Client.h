#pragma once

#include <ridgeferry/cli/Command.h>
#include <ridgeferry/net/HttpClient.h>
#include <string>

namespace ridgeferry::cli {

/** One request to the administration API, waited for. */
class Client
{
public:
  explicit Client(const Common& aCommon);
  net::HttpResponse Get(const std::string& aTarget);
  net::HttpResponse Post(const std::string& aTarget,
                         std::string aBody,
                         const net::HttpHeaders& aHeaders = {});

private:
  net::HttpResponse Send(net::HttpRequest aRequest);
  Common m_common;
};

} // namespace ridgeferry::cli
