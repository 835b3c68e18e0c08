#include "Caller.h"

#include <fstream>
#include <unistd.h>

namespace ridgeferry::session {

namespace {

constexpr Duration kCallTimeout{ 60'000 };

std::uint64_t
OffsetOf(const std::string& aId)
{
  const std::size_t slash = aId.rfind('/');
  return slash == std::string::npos
           ? 0
           : std::strtoull(aId.c_str() + slash + 1, nullptr, 10);
}

std::string
TextOfChoice(const nlohmann::json& aChoice)
{
  for (const char* field : { "delta", "message" }) {
    if (aChoice.contains(field)) {
      return aChoice[field].value("content", "");
    }
  }
  return aChoice.value("text", "");
}

/** Adds what one event of a stream says. */
void
AddEvent(std::string_view aBlock,
         std::uint64_t& aNext,
         GenerationAnswer& aAnswer)
{
  std::string id;
  std::string data;
  std::string type;
  while (!aBlock.empty()) {
    const std::size_t end = aBlock.find('\n');
    const std::string line(aBlock.substr(0, end));
    if (line.starts_with("id: ")) {
      id = line.substr(4);
    } else if (line.starts_with("data: ")) {
      data = line.substr(6);
    } else if (line.starts_with("event: ")) {
      type = line.substr(7);
    }
    aBlock = end == std::string_view::npos ? std::string_view()
                                           : aBlock.substr(end + 1);
  }
  if (data == "[DONE]") {
    aAnswer.m_whole = true;
    return;
  }
  const nlohmann::json value = nlohmann::json::parse(data, nullptr, false);
  if (type == "error") {
    aAnswer.m_problem = value.value("code", "");
    return;
  }
  if (id.empty() || !value.contains("choices")) {
    return;
  }
  aAnswer.m_inOrder = aAnswer.m_inOrder && OffsetOf(id) == aNext + 1;
  aNext = OffsetOf(id);
  ++aAnswer.m_tokens;
  aAnswer.m_lastId = id;
  aAnswer.m_text += TextOfChoice(value["choices"][0]);
}

GenerationAnswer
ReadStream(const CallRecord& aRecord)
{
  GenerationAnswer answer;
  std::uint64_t next = aRecord.m_from;
  std::string_view rest = aRecord.m_bytes;
  for (;;) {
    const std::size_t end = rest.find("\n\n");
    if (end == std::string_view::npos) {
      return answer;
    }
    AddEvent(rest.substr(0, end), next, answer);
    rest = rest.substr(end + 2);
  }
}

} // namespace

Caller::Caller(Cluster& aCluster)
  : m_cluster(aCluster)
{
}

CallRecord&
Caller::Send(const std::string& aName,
             const std::string& aVia,
             const nlohmann::json& aStep)
{
  auto owned = std::make_unique<CallRecord>();
  CallRecord& record = *owned;
  record.m_name = aName;
  record.m_via = aVia;
  record.m_requestId =
    "s" + std::to_string(getpid()) + "-" + std::to_string(++m_lastId);
  record.m_version = aStep.value("version", "");
  net::HttpRequest& request = record.m_request;
  request.m_method = aStep.value("method", "POST");
  request.m_address = m_cluster.CallerAddress(aVia);
  request.m_target = aStep.at("path");
  request.m_timeout = kCallTimeout;
  request.m_headers.Add("X-Request-Id", record.m_requestId);
  const nlohmann::json headers =
    aStep.value("headers", nlohmann::json::object());
  for (const auto& [key, value] : headers.items()) {
    request.m_headers.Add(key, value.get<std::string>());
  }
  if (aStep.contains("resume")) {
    const std::string last = ReadGeneration(Find(aStep["resume"])).m_lastId;
    request.m_headers.Add("Last-Event-ID", last);
    record.m_from = OffsetOf(last);
  }
  if (aStep.contains("body")) {
    request.m_body = aStep["body"].is_string()
                       ? aStep["body"].get<std::string>()
                       : aStep["body"].dump();
  }
  net::HttpCallbacks callbacks;
  callbacks.m_head = [&record](const net::HttpHead& aHead) {
    record.m_response.m_head = aHead;
  };
  callbacks.m_chunk = [&record](std::string_view aBytes) {
    record.m_bytes += aBytes;
  };
  callbacks.m_done = [&record](net::HttpResponse aResponse) {
    record.m_response = std::move(aResponse);
    record.m_done = true;
  };
  m_calls[aName] = std::move(owned);
  m_cluster.Client().Send(request, std::move(callbacks));
  return record;
}

CallRecord&
Caller::Find(const std::string& aName)
{
  return *m_calls.at(aName);
}

GenerationAnswer
Caller::ReadGeneration(const CallRecord& aRecord)
{
  const auto type =
    aRecord.m_response.m_head.m_headers.Find("Content-Type").value_or("");
  if (type == "text/event-stream") {
    return ReadStream(aRecord);
  }
  GenerationAnswer answer;
  const nlohmann::json body =
    nlohmann::json::parse(aRecord.m_bytes, nullptr, false);
  if (body.is_object() && body.contains("choices")) {
    answer.m_text = TextOfChoice(body["choices"][0]);
    answer.m_whole = true;
    answer.m_tokens = body["usage"].value("completion_tokens", 0U);
  }
  return answer;
}

nlohmann::json
Caller::HistoryLine(const CallRecord& aRecord) const
{
  const auto header = [&](const char* aName) {
    return std::string(aRecord.m_request.m_headers.Find(aName).value_or(""));
  };
  const nlohmann::json problem =
    nlohmann::json::parse(aRecord.m_bytes, nullptr, false);
  nlohmann::json line{ { "what", "answer" },
                       { "request", aRecord.m_requestId },
                       { "team", header("X-Ridgeferry-Team") },
                       { "key", header("Idempotency-Key") },
                       { "status", aRecord.m_response.m_head.m_status } };
  if (problem.is_object() && problem.contains("outcome")) {
    line["outcome"] = problem["outcome"];
    line["code"] = problem.value("code", "");
  }
  const nlohmann::json body =
    nlohmann::json::parse(aRecord.m_request.m_body, nullptr, false);
  if (!aRecord.m_request.m_target.starts_with("/v1/") || !body.is_object()) {
    return line;
  }
  const GenerationAnswer answer = ReadGeneration(aRecord);
  if (!answer.m_whole) {
    return line; // Nothing to compare, and its request may be malformed.
  }
  for (const auto& object : m_cluster.Plan().at("objects")) {
    const nlohmann::json spec = object.value("spec", nlohmann::json::object());
    if (object.at("kind") == "deployment" &&
        spec.value("model", "") == body.value("model", "")) {
      line["version"] = spec.value("version", "");
    }
  }
  if (!aRecord.m_version.empty()) {
    line["version"] = aRecord.m_version;
  }
  line["model"] = body.value("model", "");
  line["prompt"] = body.contains("messages") ? body["messages"].dump()
                                             : body.value("prompt", "");
  line["body"] = aRecord.m_request.m_body;
  line["maxTokens"] = body.value("max_tokens", 64U);
  line["from"] = aRecord.m_from;
  line["whole"] = answer.m_whole && answer.m_inOrder;
  line["text"] = answer.m_text;
  return line;
}

void
Caller::WriteHistory() const
{
  std::ofstream out(m_cluster.Place().m_files / "callers.jsonl");
  for (const auto& [name, record] : m_calls) {
    if (record->m_done) {
      out << HistoryLine(*record).dump() << '\n';
    }
  }
}

} // namespace ridgeferry::session
