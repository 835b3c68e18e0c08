#pragma once

#include <ridgeferry/base/FieldReader.h>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/routing/CallFlow.h>
#include <ridgeferry/routing/Problem.h>
#include <span>
#include <string>

namespace ridgeferry::daemon {

/** Which of the two usual shapes a generation's answer has. */
enum class GenerationShape
{
  Completion,
  Chat,
};

/** `application/problem+json` body of a problem. */
std::string
ProblemBody(const routing::Problem& aProblem, const std::string& aRequestId);

/** The whole problem answer, with `Retry-After` where it is worth it. */
void
ReplyProblem(net::HttpExchange& aExchange,
             const routing::Problem& aProblem,
             const std::string& aRequestId);

/** A problem that lists faults of fields. */
void
ReplyFaults(net::HttpExchange& aExchange,
            std::span<const FieldError> aFaults,
            const std::string& aRequestId);

void
ReplyJson(net::HttpExchange& aExchange, int aStatus, const std::string& aBody);

/** One server-sent event with a piece of text. */
std::string
TokenEvent(GenerationShape aShape,
           const std::string& aRequestId,
           const std::string& aModel,
           const routing::ReplyToken& aToken);
/** The last events of a stream that ended well. */
std::string
EndEvents(GenerationShape aShape,
          const std::string& aRequestId,
          const std::string& aModel,
          const routing::EndStream& aEnd);
/** The last event of a stream that is given up. */
std::string
ProblemEvent(const routing::Problem& aProblem, const std::string& aRequestId);
/** The body of a generation that is not streamed. */
std::string
GenerationBody(GenerationShape aShape,
               const std::string& aRequestId,
               const std::string& aModel,
               const routing::ReplyGeneration& aReply);

} // namespace ridgeferry::daemon
