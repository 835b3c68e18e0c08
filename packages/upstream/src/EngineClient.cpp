#include "ridgeferry/upstream/EngineClient.h"

#include "Answers.h"
#include "SseReader.h"

#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::upstream {

namespace {

constexpr int kOk = 200;
constexpr Duration kStatusTimeout{ 1500 };
constexpr Duration kOrderTimeout{ 5000 };
constexpr Duration kCancelTimeout{ 2000 };
/** Longest event of a stream, and longest answer that is no stream. */
constexpr std::size_t kMaxEvent = std::size_t{ 256 } * 1024;
/** Most text of one generation, which its call keeps to go on elsewhere: more
 * than half a million tokens. */
constexpr std::size_t kMaxText = net::kMaxGatheredBody;

/** Reads one generation's answer: a token stream, or something else. */
class StreamReader
{
public:
  explicit StreamReader(GenerationCallbacks aCallbacks)
    : m_callbacks(std::move(aCallbacks))
  {
  }

  void OnHead(const net::HttpHead& aHead)
  {
    const auto stream = aHead.m_headers.Find("X-Stream-Id");
    m_isStream = aHead.m_status == kOk && stream.has_value();
    if (m_isStream) {
      m_callbacks.m_began(std::string(*stream));
    }
  }

  /** Returns false if no more of the answer is to be read: it has become too
   * long, which was reported as a failure. */
  bool OnChunk(std::string_view aBytes)
  {
    if (!m_isStream) {
      m_body += aBytes;
      return StaysBounded(m_body.size(), kMaxEvent);
    }
    m_events.Feed(aBytes);
    while (!m_over) {
      const auto event = m_events.Next();
      if (!event) {
        return StaysBounded(m_events.Unfinished(), kMaxEvent);
      }
      OnEvent(*event);
    }
    return m_textBytes <= kMaxText;
  }

  void OnDone(net::HttpResponse aResponse)
  {
    if (m_over) {
      return;
    }
    const auto backOff = BackOffOf(aResponse);
    if (backOff && m_callbacks.m_backsOff) {
      m_callbacks.m_backsOff(*backOff);
    }
    if (const auto failure = FailureOf(aResponse)) {
      m_callbacks.m_failed(*failure);
      return;
    }
    if (m_isStream) {
      // The body ended without the stream's own last event.
      m_callbacks.m_failed(Failure::Broken);
      return;
    }
    aResponse.m_body = std::move(m_body);
    m_callbacks.m_answered(ToAnswer(std::move(aResponse)));
  }

private:
  bool StaysBounded(std::size_t aHeld, std::size_t aMost)
  {
    if (aHeld <= aMost) {
      return true;
    }
    m_over = true;
    m_callbacks.m_failed(Failure::Broken);
    return false;
  }

  void OnEvent(const SseEvent& aEvent)
  {
    const nlohmann::json data =
      nlohmann::json::parse(aEvent.m_data, nullptr, false);
    if (!data.is_object()) {
      return;
    }
    if (aEvent.m_type == "end") {
      m_over = true;
      m_callbacks.m_ended(data.value("tokens", std::uint64_t{ 0 }),
                          data.value("finish_reason", "stop"));
      return;
    }
    const std::string text = data.value("text", "");
    m_textBytes += text.size();
    if (StaysBounded(m_textBytes, kMaxText)) {
      m_callbacks.m_token(data.value("offset", std::uint64_t{ 0 }), text);
    }
  }

  GenerationCallbacks m_callbacks;
  SseReader m_events;
  std::string m_body;
  std::size_t m_textBytes = 0;
  bool m_isStream = false;
  bool m_over = false;
};

nlohmann::json
BodyFor(const GenerationRequest& aRequest)
{
  nlohmann::json body = nlohmann::json::parse(aRequest.m_body, nullptr, false);
  if (!body.is_object()) {
    body = nlohmann::json::object();
  }
  body["stream"] = true;
  if (!body.contains("seed")) {
    body["seed"] = aRequest.m_seed;
  }
  if (aRequest.m_prefillOnly) {
    body["prefill_only"] = true;
  }
  if (!aRequest.m_kvHandle.empty()) {
    body["kv_handle"] = aRequest.m_kvHandle;
  }
  if (aRequest.m_givenTokens > 0) {
    body["continue_tokens"] = aRequest.m_givenTokens;
    body["continue_text"] = aRequest.m_givenText;
  }
  return body;
}

EngineStatus
StatusFromJson(const nlohmann::json& aValue)
{
  EngineStatus out;
  routing::EngineReport& report = out.m_report;
  report.m_bootId = aValue.at("boot").get<std::string>();
  report.m_role = declared::RoleFromName(aValue.at("role").get<std::string>())
                    .value_or(declared::Role::Mixed);
  report.m_model = aValue.at("model").get<std::string>();
  report.m_version = aValue.at("version").get<std::string>();
  report.m_adapter = aValue.at("adapter").get<std::string>();
  report.m_slots = aValue.at("slots").get<std::int64_t>();
  report.m_running = aValue.at("running").get<std::int64_t>();
  report.m_draining = aValue.at("draining").get<bool>();
  report.m_changing = aValue.at("changing").get<bool>();
  authority::EngineState& state = out.m_state;
  state.m_bootId = report.m_bootId;
  state.m_lastOrder = aValue.at("lastOrder").get<std::string>();
  state.m_role = aValue.at("role").get<std::string>();
  state.m_model = report.m_model;
  state.m_version = report.m_version;
  state.m_adapter = report.m_adapter;
  state.m_draining = report.m_draining;
  state.m_changing = report.m_changing;
  state.m_running = report.m_running;
  out.m_leaving = aValue.value("leaving", false);
  return out;
}

std::optional<EngineStatus>
ToStatus(const net::HttpResponse& aResponse)
{
  if (!net::HasAnswer(aResponse) || aResponse.m_head.m_status != kOk) {
    return std::nullopt;
  }
  try {
    return StatusFromJson(nlohmann::json::parse(aResponse.m_body));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

nlohmann::json
OrderBody(const authority::Order& aOrder)
{
  nlohmann::json body{ { "order", aOrder.m_id },
                       { "fencing", aOrder.m_fencing },
                       { "boot", aOrder.m_boot },
                       { "kind", authority::OrderKindName(aOrder.m_kind) } };
  std::visit(Overloaded{ [](const authority::DrainOrder&) {},
                         [](const authority::ResumeOrder&) {},
                         [&](const authority::RoleOrder& aRole) {
                           body["role"] = aRole.m_role;
                         },
                         [&](const authority::LoadOrder& aLoad) {
                           body["model"] = aLoad.m_model;
                           body["version"] = aLoad.m_version;
                           body["adapter"] = aLoad.m_adapter;
                         } },
             aOrder.m_kind);
  return body;
}

authority::SendResult
ToSendResult(const net::HttpResponse& aResponse)
{
  switch (aResponse.m_end) {
    case net::HttpEnd::NotSent:
      return authority::SendResult::NotSent;
    case net::HttpEnd::Broken:
      return authority::SendResult::Lost;
    case net::HttpEnd::Complete:
    case net::HttpEnd::Closed:
      break;
  }
  return aResponse.m_head.m_status == kOk ? authority::SendResult::Taken
                                          : authority::SendResult::Refused;
}

} // namespace

EngineClient::EngineClient(net::HttpClient& aClient)
  : m_client(aClient)
{
}

net::HttpCallId
EngineClient::SendStream(const net::HttpRequest& aRequest,
                         const GenerationCallbacks& aCallbacks)
{
  auto reader = std::make_shared<StreamReader>(aCallbacks);
  net::HttpCallbacks callbacks;
  callbacks.m_head = [reader](const net::HttpHead& aHead) {
    reader->OnHead(aHead);
  };
  const auto id = std::make_shared<net::HttpCallId>(0);
  callbacks.m_chunk =
    [reader, id, &client = m_client](std::string_view aBytes) {
      if (!reader->OnChunk(aBytes)) {
        client.Cancel(*id);
      }
    };
  callbacks.m_done = [reader](net::HttpResponse aResponse) {
    reader->OnDone(std::move(aResponse));
  };
  *id = m_client.Send(aRequest, std::move(callbacks));
  return *id;
}

net::HttpCallId
EngineClient::Generate(const GenerationRequest& aRequest,
                       const GenerationCallbacks& aCallbacks)
{
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_address = aRequest.m_address;
  request.m_target = aRequest.m_path;
  request.m_timeout = aRequest.m_timeout;
  request.m_fresh = aRequest.m_fresh;
  request.m_headers.Add("Content-Type", "application/json");
  request.m_headers.Add("X-Request-Id", aRequest.m_requestId);
  request.m_headers.Add("X-Priority", std::to_string(aRequest.m_priority));
  request.m_body = BodyFor(aRequest).dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return SendStream(request, aCallbacks);
}

net::HttpCallId
EngineClient::Resume(const std::string& aAddress,
                     const std::string& aStream,
                     std::uint64_t aOffset,
                     Duration aTimeout,
                     const GenerationCallbacks& aCallbacks)
{
  net::HttpRequest request;
  request.m_address = aAddress;
  request.m_target =
    "/v1/streams/" + aStream + "?from=" + std::to_string(aOffset);
  request.m_timeout = aTimeout;
  // The kept connections to this engine may have broken with the stream.
  request.m_fresh = true;
  return SendStream(request, aCallbacks);
}

void
EngineClient::Cancel(net::HttpCallId aCall,
                     const std::string& aAddress,
                     const std::string& aStream)
{
  m_client.Cancel(aCall);
  if (aStream.empty()) {
    return;
  }
  net::HttpRequest request;
  request.m_method = "DELETE";
  request.m_address = aAddress;
  request.m_target = "/v1/streams/" + aStream;
  request.m_timeout = kCancelTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [](const net::HttpResponse&) {};
  m_client.Send(request, std::move(callbacks));
}

void
EngineClient::GetStatus(
  const std::string& aAddress,
  const sigc::slot<void(std::optional<EngineStatus>)>& aDone)
{
  net::HttpRequest request;
  request.m_address = aAddress;
  request.m_target = "/control/status";
  request.m_timeout = kStatusTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [aDone](const net::HttpResponse& aResponse) {
    aDone(ToStatus(aResponse));
  };
  m_client.Send(request, std::move(callbacks));
}

void
EngineClient::SendOrder(const std::string& aAddress,
                        const authority::Order& aOrder,
                        const sigc::slot<void(authority::SendResult)>& aDone)
{
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_address = aAddress;
  request.m_target = "/control/orders";
  request.m_timeout = kOrderTimeout;
  request.m_fresh = true; // A lost kept connection would leave it unknown.
  request.m_headers.Add("Content-Type", "application/json");
  request.m_body = OrderBody(aOrder).dump();
  net::HttpCallbacks callbacks;
  callbacks.m_done = [aDone](const net::HttpResponse& aResponse) {
    aDone(ToSendResult(aResponse));
  };
  m_client.Send(request, std::move(callbacks));
}

} // namespace ridgeferry::upstream
