#include "ridgeferry/native/HttpPlatform.h"

#include <nlohmann/json.hpp>
#include <ridgeferry/net/Uri.h>

namespace ridgeferry::native {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;

table::Row
RowFromJson(const nlohmann::json& aValue)
{
  return { aValue.at("key").get<std::string>(),
           aValue.at("version").get<table::Version>(),
           aValue.at("value").get<std::string>() };
}

table::ReadResult
ToReadResult(const net::HttpResponse& aResponse, const std::string& aKey)
{
  if (!net::HasAnswer(aResponse)) {
    return {};
  }
  if (aResponse.m_head.m_status == kNotFound) {
    return { table::ReadStatus::Ok, { aKey, 0, {} } };
  }
  if (aResponse.m_head.m_status != kOk) {
    return {};
  }
  try {
    return { table::ReadStatus::Ok,
             RowFromJson(nlohmann::json::parse(aResponse.m_body)) };
  } catch (const nlohmann::json::exception&) {
    return {};
  }
}

table::ScanResult
ToScanResult(const net::HttpResponse& aResponse)
{
  if (!net::HasAnswer(aResponse) || aResponse.m_head.m_status != kOk) {
    return {};
  }
  try {
    table::ScanResult out{ table::ReadStatus::Ok, {} };
    const nlohmann::json body = nlohmann::json::parse(aResponse.m_body);
    for (const auto& row : body.at("rows")) {
      out.m_rows.push_back(RowFromJson(row));
    }
    return out;
  } catch (const nlohmann::json::exception&) {
    return {};
  }
}

table::CommitResult
ToCommitResult(const net::HttpResponse& aResponse)
{
  switch (aResponse.m_end) {
    case net::HttpEnd::NotSent:
      return table::CommitResult::NotWritten;
    case net::HttpEnd::Broken:
      return table::CommitResult::Unknown;
    case net::HttpEnd::Complete:
    case net::HttpEnd::Closed:
      break;
  }
  switch (aResponse.m_head.m_status) {
    case kOk:
      return table::CommitResult::Committed;
    case kConflict:
      return table::CommitResult::Conflict;
    case kTooManyRequests:
      return table::CommitResult::NotWritten;
    default:
      // A failing service does not say what it did before it failed.
      return table::CommitResult::Unknown;
  }
}

class HttpTable final : public TableService
{
public:
  HttpTable(net::HttpClient& aClient, std::string aAddress)
    : m_client(aClient)
    , m_address(std::move(aAddress))
  {
  }

  void Read(const std::string& aKey,
            sigc::slot<void(table::ReadResult)> aDone) override
  {
    Get("/table/row?key=" + net::EncodeUriPart(aKey),
        [aKey, aDone](const net::HttpResponse& aResponse) {
          aDone(ToReadResult(aResponse, aKey));
        });
  }

  void Scan(const std::string& aPrefix,
            const std::string& aAfter,
            std::size_t aLimit,
            sigc::slot<void(table::ScanResult)> aDone) override
  {
    Get("/table/scan?prefix=" + net::EncodeUriPart(aPrefix) + "&after=" +
          net::EncodeUriPart(aAfter) + "&limit=" + std::to_string(aLimit),
        [aDone](const net::HttpResponse& aResponse) {
          aDone(ToScanResult(aResponse));
        });
  }

  void Commit(const table::Transaction& aTransaction,
              sigc::slot<void(table::CommitResult)> aDone) override
  {
    nlohmann::json conditions = nlohmann::json::array();
    for (const table::Condition& item : aTransaction.m_conditions) {
      conditions.push_back(
        { { "key", item.m_key }, { "version", item.m_version } });
    }
    nlohmann::json puts = nlohmann::json::array();
    for (const table::Put& item : aTransaction.m_puts) {
      puts.push_back({ { "key", item.m_key }, { "value", item.m_value } });
    }
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_address = m_address;
    request.m_target = "/table/transact";
    request.m_timeout = kPlatformTimeout;
    request.m_headers.Add("Content-Type", "application/json");
    request.m_body = nlohmann::json{
      { "conditions", std::move(conditions) }, { "puts", std::move(puts) }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    net::HttpCallbacks callbacks;
    callbacks.m_done = [aDone](const net::HttpResponse& aResponse) {
      aDone(ToCommitResult(aResponse));
    };
    m_client.Send(request, std::move(callbacks));
  }

private:
  void Get(std::string aTarget, sigc::slot<void(net::HttpResponse)> aDone)
  {
    net::HttpRequest request;
    request.m_address = m_address;
    request.m_target = std::move(aTarget);
    request.m_timeout = kPlatformTimeout;
    request.m_maxBody = net::kMaxStoreBody;
    net::HttpCallbacks callbacks;
    callbacks.m_done = std::move(aDone);
    m_client.Send(request, std::move(callbacks));
  }

  net::HttpClient& m_client;
  std::string m_address;
};

} // namespace

std::unique_ptr<TableService>
MakeHttpTable(net::HttpClient& aClient, std::string aAddress)
{
  return std::make_unique<HttpTable>(aClient, std::move(aAddress));
}

} // namespace ridgeferry::native
