#include "ridgeferry/native/HttpPlatform.h"

#include <nlohmann/json.hpp>
#include <ridgeferry/net/Uri.h>

namespace ridgeferry::native {

namespace {

constexpr int kOk = 200;

ListedKind
KindFromName(const std::string& aName)
{
  if (aName == "instance") {
    return ListedKind::Instance;
  }
  return aName == "service" ? ListedKind::Service : ListedKind::Engine;
}

std::optional<std::vector<ListedMember>>
ParseList(const net::HttpResponse& aResponse)
{
  if (!net::HasAnswer(aResponse) || aResponse.m_head.m_status != kOk) {
    return std::nullopt;
  }
  try {
    std::vector<ListedMember> out;
    const nlohmann::json body = nlohmann::json::parse(aResponse.m_body);
    for (const auto& item : body.at("instances")) {
      ListedMember member;
      member.m_id = item.at("id").get<std::string>();
      member.m_kind = KindFromName(item.at("kind").get<std::string>());
      member.m_dataCentre = item.at("hall").get<std::string>();
      member.m_address = item.at("address").get<std::string>();
      member.m_leaving = item.at("state").get<std::string>() == "leaving";
      for (const auto& [key, value] : item.at("labels").items()) {
        member.m_labels.emplace(key, value.get<std::string>());
      }
      out.push_back(std::move(member));
    }
    return out;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

class HttpInstanceList final : public InstanceList
{
public:
  HttpInstanceList(net::HttpClient& aClient, std::string aAddress)
    : m_client(aClient)
    , m_address(std::move(aAddress))
  {
  }

  void Get(
    const std::string& aDataCentre,
    sigc::slot<void(std::optional<std::vector<ListedMember>>)> aDone) override
  {
    net::HttpRequest request;
    request.m_address = m_address;
    request.m_target = "/instances?hall=" + net::EncodeUriPart(aDataCentre);
    request.m_timeout = kPlatformTimeout;
    net::HttpCallbacks callbacks;
    callbacks.m_done = [aDone](const net::HttpResponse& aResponse) {
      aDone(ParseList(aResponse));
    };
    m_client.Send(request, std::move(callbacks));
  }

private:
  net::HttpClient& m_client;
  std::string m_address;
};

} // namespace

std::unique_ptr<InstanceList>
MakeHttpInstanceList(net::HttpClient& aClient, std::string aAddress)
{
  return std::make_unique<HttpInstanceList>(aClient, std::move(aAddress));
}

} // namespace ridgeferry::native
