#include "Reply.h"

#include <nlohmann/json.hpp>

namespace ridgeferry::daemon {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

std::string
Dump(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::int64_t
RetryAfterSeconds(Duration aDuration)
{
  return std::chrono::ceil<std::chrono::seconds>(aDuration).count();
}

std::string
ObjectName(GenerationShape aShape, bool aChunk)
{
  if (aShape == GenerationShape::Completion) {
    return "text_completion";
  }
  return aChunk ? "chat.completion.chunk" : "chat.completion";
}

Json
ChunkBody(GenerationShape aShape,
          const std::string& aRequestId,
          const std::string& aModel,
          const std::string& aText,
          const Json& aReason)
{
  Json choice{ { "index", 0 } };
  if (aShape == GenerationShape::Chat) {
    choice["delta"] =
      aText.empty() ? Json::object() : Json{ { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  choice["finish_reason"] = aReason;
  return { { "id", aRequestId },
           { "object", ObjectName(aShape, true) },
           { "model", aModel },
           { "choices", Json::array({ choice }) } };
}

} // namespace

std::string
ProblemBody(const routing::Problem& aProblem, const std::string& aRequestId)
{
  const std::string code(routing::ProblemCodeName(aProblem.m_code));
  Json body{ { "type", "about:blank#" + code },
             { "title", code },
             { "status", routing::ProblemStatus(aProblem.m_code) },
             { "code", code },
             { "outcome", OutcomeName(aProblem.m_outcome) },
             { "requestId", aRequestId } };
  if (!aProblem.m_detail.empty()) {
    body["detail"] = aProblem.m_detail;
  }
  if (aProblem.m_retryAfter) {
    body["retryAfterMs"] = aProblem.m_retryAfter->count();
  }
  return Dump(body);
}

void
ReplyProblem(net::HttpExchange& aExchange,
             const routing::Problem& aProblem,
             const std::string& aRequestId)
{
  net::HttpHeaders headers;
  headers.Add("Content-Type", "application/problem+json");
  headers.Add("X-Request-Id", aRequestId);
  headers.Add("X-Outcome", std::string(OutcomeName(aProblem.m_outcome)));
  if (aProblem.m_retryAfter) {
    headers.Add("Retry-After",
                std::to_string(RetryAfterSeconds(*aProblem.m_retryAfter)));
  }
  aExchange.Reply(routing::ProblemStatus(aProblem.m_code),
                  headers,
                  ProblemBody(aProblem, aRequestId));
}

void
ReplyFaults(net::HttpExchange& aExchange,
            std::span<const FieldError> aFaults,
            const std::string& aRequestId)
{
  Json faults = Json::array();
  for (const FieldError& fault : aFaults) {
    faults.push_back({ { "pointer", fault.m_pointer },
                       { "found", fault.m_found },
                       { "allowed", fault.m_allowed } });
  }
  const Json body{ { "type", "about:blank#bad-request" },
                   { "title", "bad-request" },
                   { "status", kBadRequest },
                   { "code", "bad-request" },
                   { "outcome", OutcomeName(Outcome::NotRun) },
                   { "requestId", aRequestId },
                   { "errors", faults } };
  net::HttpHeaders headers;
  headers.Add("Content-Type", "application/problem+json");
  headers.Add("X-Request-Id", aRequestId);
  headers.Add("X-Outcome", "not-run");
  aExchange.Reply(kBadRequest, headers, Dump(body));
}

void
ReplyJson(net::HttpExchange& aExchange, int aStatus, const std::string& aBody)
{
  net::HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  aExchange.Reply(aStatus, headers, aBody);
}

std::string
TokenEvent(GenerationShape aShape,
           const std::string& aRequestId,
           const std::string& aModel,
           const routing::ReplyToken& aToken)
{
  return "id: " + routing::EncodeStreamPosition(aToken.m_position) +
         "\ndata: " +
         Dump(ChunkBody(aShape, aRequestId, aModel, aToken.m_text, nullptr)) +
         "\n\n";
}

std::string
EndEvents(GenerationShape aShape,
          const std::string& aRequestId,
          const std::string& aModel,
          const routing::EndStream& aEnd)
{
  Json last = ChunkBody(aShape, aRequestId, aModel, "", aEnd.m_reason);
  last["usage"] = { { "completion_tokens", aEnd.m_tokens } };
  return "data: " + Dump(last) + "\n\ndata: [DONE]\n\n";
}

std::string
ProblemEvent(const routing::Problem& aProblem, const std::string& aRequestId)
{
  return "event: error\ndata: " + ProblemBody(aProblem, aRequestId) + "\n\n";
}

std::string
GenerationBody(GenerationShape aShape,
               const std::string& aRequestId,
               const std::string& aModel,
               const routing::ReplyGeneration& aReply)
{
  Json choice{ { "index", 0 } };
  if (aShape == GenerationShape::Chat) {
    choice["message"] = { { "role", "assistant" },
                          { "content", aReply.m_text } };
  } else {
    choice["text"] = aReply.m_text;
  }
  choice["finish_reason"] = aReply.m_reason;
  return Dump({ { "id", aRequestId },
                { "object", ObjectName(aShape, false) },
                { "model", aModel },
                { "choices", Json::array({ choice }) },
                { "usage", { { "completion_tokens", aReply.m_tokens } } } });
}

} // namespace ridgeferry::daemon
