#include "CallRequest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::daemon {

namespace {

using routing::ProblemCode;

constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kCompletionPath = "/v1/completions";
constexpr std::size_t kPrefixBytes = 1024;
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::int64_t kDefaultMaxTokens = 256;
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::size_t kMaxKeyLength = 255;

/** Headers of one hop, or set anew by this side: not passed through. */
constexpr std::array<std::string_view, 10> kHopHeaders = {
  "connection", "keep-alive",          "proxy-authenticate", "te",
  "trailer",    "proxy-authorization", "transfer-encoding",  "upgrade",
  "host",       "content-length"
};

RequestRefusal
Refuse(ProblemCode aCode, std::string aDetail)
{
  return { { aCode, Outcome::NotRun, std::nullopt, std::move(aDetail) }, {} };
}

RequestRefusal
RefuseFaults(std::vector<FieldError> aFaults)
{
  return { { ProblemCode::BadRequest, Outcome::NotRun, std::nullopt, {} },
           std::move(aFaults) };
}

std::string
HeaderText(const net::HttpExchange& aExchange, std::string_view aName)
{
  return std::string(aExchange.Headers().Find(aName).value_or(""));
}

bool
IsHopHeader(std::string_view aName)
{
  std::string lower(aName);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aChar) {
    return static_cast<char>(tolower(aChar));
  });
  return std::find(kHopHeaders.begin(), kHopHeaders.end(), lower) !=
         kHopHeaders.end();
}

/** `k=v,k=v` of the labels header. */
std::optional<declared::Labels>
ParseLabels(std::string_view aText)
{
  declared::Labels labels;
  while (!aText.empty()) {
    const std::size_t comma = aText.find(',');
    const std::string_view item = aText.substr(0, comma);
    const std::size_t equals = item.find('=');
    if (equals == 0 || equals == std::string_view::npos) {
      return std::nullopt;
    }
    labels.insert_or_assign(std::string(item.substr(0, equals)),
                            std::string(item.substr(equals + 1)));
    aText = comma == std::string_view::npos ? std::string_view()
                                            : aText.substr(comma + 1);
  }
  return labels;
}

/** The text of all messages, or of the prompt. */
std::string
PromptText(const nlohmann::json& aBody, GenerationShape aShape)
{
  if (aShape == GenerationShape::Completion) {
    return aBody.at("prompt").get<std::string>();
  }
  std::string text;
  for (const nlohmann::json& message : aBody.at("messages")) {
    text += message.value("role", "");
    text += ": ";
    const auto content = message.find("content");
    if (content != message.end() && content->is_string()) {
      text += content->get<std::string>();
    }
    text += '\n';
  }
  return text;
}

void
CheckBody(const nlohmann::json& aBody,
          GenerationShape aShape,
          GenerationCall& aCall,
          std::vector<FieldError>& aFaults)
{
  // Other fields of the usual shape are the engine's to read.
  FieldReader reader(aBody, "", aFaults);
  aCall.m_model = reader.RequiredString("model");
  aCall.m_stream = reader.OptionalBool("stream", false);
  aCall.m_maxTokens =
    reader.OptionalInt("max_tokens", kDefaultMaxTokens, 1, kMaxTokens);
  if (aShape == GenerationShape::Completion) {
    reader.RequiredString("prompt");
    return;
  }
  bool any = false;
  reader.ForEachItem(
    "messages", [&](const nlohmann::json& aItem, const std::string& aPointer) {
      any = true;
      if (!aItem.is_object()) {
        aFaults.push_back({ aPointer, aItem.dump(), "an object" });
      }
    });
  if (!any) {
    reader.Fail("messages", "an array of one message or more");
  }
}

/** Reads what both kinds of call have in common. */
class RequestReader
{
public:
  RequestReader(const net::HttpExchange& aExchange,
                const declared::Catalog& aCatalog,
                WallTime aNow,
                std::string_view aPath)
    : m_exchange(aExchange)
    , m_path(aPath)
    , m_catalog(aCatalog)
    , m_now(aNow)
  {
  }

  tl::expected<CallRequest, RequestRefusal> Read(const std::string& aRequestId)
  {
    m_request.m_requestId = aRequestId;
    m_request.m_organisation = HeaderText(m_exchange, "X-Ridgeferry-Team");
    if (m_catalog.FindOrganisation(m_request.m_organisation) == nullptr) {
      return tl::unexpected(
        Refuse(ProblemCode::UnknownOrganisation,
               "header X-Ridgeferry-Team: found \"" + m_request.m_organisation +
                 "\"; allowed: the name of a declared team"));
    }
    if (m_path.starts_with(kServicePrefix)) {
      return ReadService();
    }
    const bool chat = m_path == kChatPath;
    if (!chat && m_path != kCompletionPath) {
      return tl::unexpected(Refuse(
        ProblemCode::NotFound,
        "paths here: /v1/chat/completions, /v1/completions, /services/NAME/"));
    }
    if (m_exchange.Method() != "POST") {
      return tl::unexpected(
        RefuseFaults({ { "", "method " + m_exchange.Method(), "POST" } }));
    }
    return ReadGeneration(chat ? GenerationShape::Chat
                               : GenerationShape::Completion);
  }

private:
  tl::expected<CallRequest, RequestRefusal> ReadService()
  {
    const std::string_view rest =
      std::string_view(m_path).substr(kServicePrefix.size());
    const std::size_t slash = rest.find('/');
    const std::string name(rest.substr(0, slash));
    const declared::Service* service = m_catalog.FindService(name);
    if (service == nullptr) {
      return tl::unexpected(Refuse(ProblemCode::UnknownService,
                                   "no service \"" + name + "\" is declared"));
    }
    ServiceCall call;
    call.m_service = name;
    call.m_method = m_exchange.Method();
    call.m_target =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    if (!m_exchange.Query().empty()) {
      call.m_target += "?" + m_exchange.Query();
    }
    for (const auto& [header, value] : m_exchange.Headers().All()) {
      if (!IsHopHeader(header)) {
        call.m_headers.Add(header, value);
      }
    }
    call.m_body = m_exchange.Body();
    m_labels["service"] = name;
    m_request.m_deadline = service->m_deadline;
    m_request.m_pool.m_key = "service/" + name;
    m_request.m_pool.m_kind = routing::UpstreamKind::Service;
    m_request.m_pool.m_ownSelector = service->m_upstreams;
    m_request.m_what = std::move(call);
    return Finish(service->m_repeatable);
  }

  tl::expected<CallRequest, RequestRefusal> ReadGeneration(
    GenerationShape aShape)
  {
    const nlohmann::json body =
      nlohmann::json::parse(m_exchange.Body(), nullptr, false);
    if (body.is_discarded()) {
      return tl::unexpected(
        RefuseFaults({ { "", "a body that is no JSON", "a JSON object" } }));
    }
    GenerationCall call;
    call.m_shape = aShape;
    call.m_path = m_path;
    CheckBody(body, aShape, call, m_faults);
    if (!m_faults.empty()) {
      return tl::unexpected(RefuseFaults(std::move(m_faults)));
    }
    const declared::Deployment* deployment =
      m_catalog.FindDeployment(call.m_model);
    if (deployment == nullptr) {
      return tl::unexpected(
        Refuse(ProblemCode::UnknownModel,
               "no deployment serves the model \"" + call.m_model + "\""));
    }
    call.m_deployment = deployment->m_name;
    call.m_body = m_exchange.Body();
    const std::string prompt = PromptText(body, aShape);
    call.m_promptTokens =
      static_cast<std::int64_t>(prompt.size()) / kBytesPerToken + 1;
    call.m_prefixHash =
      Hash64(std::string_view(prompt).substr(0, kPrefixBytes));
    // The same call gets the same seed in every process, so that a stream can
    // be continued by another engine.
    call.m_seed = Hash64(call.m_body) >> 32U;
    const std::string last = HeaderText(m_exchange, "Last-Event-ID");
    if (!last.empty()) {
      call.m_resume = routing::DecodeStreamPosition(last);
      if (!call.m_resume) {
        return tl::unexpected(
          RefuseFaults({ { "header Last-Event-ID",
                           last,
                           "an id of an event of a stream" } }));
      }
    }
    m_labels["model"] = call.m_model;
    m_labels["deployment"] = deployment->m_name;
    m_request.m_deadline = deployment->m_deadline;
    m_request.m_pool.m_key = "deployment/" + deployment->m_name;
    m_request.m_pool.m_kind = routing::UpstreamKind::Engine;
    m_request.m_pool.m_ownSelector = deployment->m_engines;
    m_request.m_pool.m_model = deployment->m_model;
    m_request.m_pool.m_version = deployment->m_version;
    m_request.m_pool.m_adapter = deployment->m_adapter;
    m_request.m_what = std::move(call);
    return Finish(true);
  }

  tl::expected<CallRequest, RequestRefusal> Finish(bool aRepeatable)
  {
    ReadLabels();
    ApplyRoute();
    ReadDeadline();
    ReadKey(aRepeatable);
    if (!m_faults.empty()) {
      return tl::unexpected(RefuseFaults(std::move(m_faults)));
    }
    return std::move(m_request);
  }

  void ReadLabels()
  {
    const std::string text = HeaderText(m_exchange, "X-Ridgeferry-Labels");
    const auto given = ParseLabels(text);
    if (!given) {
      m_faults.push_back({ "header X-Ridgeferry-Labels", text, "k=v,k=v" });
      return;
    }
    // A caller's labels never pose as the ones that the system sets.
    for (const auto& [key, value] : *given) {
      m_labels.try_emplace(key, value);
    }
    m_labels["team"] = m_request.m_organisation;
    m_labels["path"] = m_path;
    m_labels["method"] = m_exchange.Method();
  }

  void ApplyRoute()
  {
    const declared::RouteMatch match = m_catalog.Match(m_labels, m_now);
    m_request.m_class = match.m_class;
    if (match.m_route == nullptr) {
      return;
    }
    m_request.m_route = match.m_route->m_name;
    m_request.m_event = match.m_route->m_event;
    m_request.m_pool.m_routeSelector = match.m_route->m_upstreams;
    m_request.m_pool.m_key += "/" + match.m_route->m_name;
    m_request.m_deadline =
      match.m_route->m_deadline.value_or(m_request.m_deadline);
  }

  void ReadDeadline()
  {
    const std::string text = HeaderText(m_exchange, "X-Deadline-Ms");
    if (text.empty()) {
      return;
    }
    std::int64_t value = 0;
    const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
    const bool good = error == std::errc{} && end == text.data() + text.size();
    if (!good || value < 1 || value > kMaxDeadlineMs) {
      m_faults.push_back({ "header X-Deadline-Ms",
                           text,
                           "a whole number of milliseconds from 1 to " +
                             std::to_string(kMaxDeadlineMs) });
      return;
    }
    m_request.m_deadline = Duration(value);
  }

  void ReadKey(bool aRepeatable)
  {
    m_request.m_key = HeaderText(m_exchange, "Idempotency-Key");
    if (m_request.m_key.empty() && !aRepeatable) {
      m_faults.push_back(
        { "header Idempotency-Key",
          "nothing",
          "a key of the caller's, since this service's calls may not be "
          "repeated" });
      return;
    }
    if (m_request.m_key.size() > kMaxKeyLength) {
      m_faults.push_back(
        { "header Idempotency-Key",
          std::to_string(m_request.m_key.size()) + " characters",
          "at most 255 characters" });
    }
    m_request.m_fingerprint = Hash64(
      m_exchange.Body(),
      Hash64(m_exchange.Method() + " " + m_path + "?" + m_exchange.Query()));
  }

  const net::HttpExchange& m_exchange;
  std::string m_path;
  const declared::Catalog& m_catalog;
  WallTime m_now;
  CallRequest m_request;
  declared::Labels m_labels;
  std::vector<FieldError> m_faults;
};

} // namespace

tl::expected<CallRequest, RequestRefusal>
ReadCallRequest(const net::HttpExchange& aExchange,
                const declared::Catalog& aCatalog,
                const std::string& aRequestId,
                WallTime aNow,
                std::optional<std::string_view> aPath)
{
  return RequestReader(
           aExchange, aCatalog, aNow, aPath.value_or(aExchange.Path()))
    .Read(aRequestId);
}

} // namespace ridgeferry::daemon
