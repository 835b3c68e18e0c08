#include "ridgeferry/native/HttpPlatform.h"

#include <ridgeferry/net/Uri.h>

namespace ridgeferry::native {

namespace {

constexpr int kOk = 200;

class HttpObjectStore final : public ObjectStore
{
public:
  HttpObjectStore(net::HttpClient& aClient, std::string aAddress)
    : m_client(aClient)
    , m_address(std::move(aAddress))
  {
  }

  void Get(const std::string& aKey,
           sigc::slot<void(std::optional<std::string>)> aDone) override
  {
    Send("GET", aKey, {}, [aDone](net::HttpResponse aResponse) {
      // An object proves nothing about its own length.
      const bool whole = aResponse.m_end == net::HttpEnd::Complete;
      if (!whole || aResponse.m_head.m_status != kOk) {
        aDone(std::nullopt);
        return;
      }
      aDone(std::move(aResponse.m_body));
    });
  }

  void Put(const std::string& aKey,
           const std::string& aValue,
           sigc::slot<void(bool)> aDone) override
  {
    Send("PUT", aKey, aValue, [aDone](const net::HttpResponse& aResponse) {
      aDone(net::HasAnswer(aResponse) && aResponse.m_head.m_status == kOk);
    });
  }

private:
  void Send(const char* aMethod,
            const std::string& aKey,
            std::string aBody,
            sigc::slot<void(net::HttpResponse)> aDone)
  {
    net::HttpRequest request;
    request.m_method = aMethod;
    request.m_address = m_address;
    request.m_target = "/objects?key=" + net::EncodeUriPart(aKey);
    request.m_timeout = kPlatformTimeout;
    request.m_body = std::move(aBody);
    request.m_maxBody = net::kMaxStoreBody;
    net::HttpCallbacks callbacks;
    callbacks.m_done = std::move(aDone);
    m_client.Send(request, std::move(callbacks));
  }

  net::HttpClient& m_client;
  std::string m_address;
};

} // namespace

std::unique_ptr<ObjectStore>
MakeHttpObjectStore(net::HttpClient& aClient, std::string aAddress)
{
  return std::make_unique<HttpObjectStore>(aClient, std::move(aAddress));
}

} // namespace ridgeferry::native
