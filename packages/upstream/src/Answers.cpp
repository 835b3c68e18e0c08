#include "Answers.h"

#include <ridgeferry/net/RetryAfter.h>

namespace ridgeferry::upstream {

std::optional<Failure>
FailureOf(const net::HttpResponse& aResponse)
{
  switch (aResponse.m_end) {
    case net::HttpEnd::NotSent:
      return Failure::NotSent;
    case net::HttpEnd::Broken:
      return Failure::Broken;
    case net::HttpEnd::Complete:
    case net::HttpEnd::Closed:
      break;
  }
  const auto outcome = aResponse.m_head.m_headers.Find(kOutcomeHeader);
  if (outcome && *outcome == kNotRun) {
    return Failure::Refused;
  }
  return std::nullopt;
}

std::optional<Duration>
BackOffOf(const net::HttpResponse& aResponse)
{
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  const int status = aResponse.m_head.m_status;
  const bool turnsAway = status == kTooManyRequests || status == kUnavailable;
  return net::HasAnswer(aResponse) && turnsAway
           ? net::ReadRetryAfter(aResponse.m_head.m_headers)
           : std::nullopt;
}

Answer
ToAnswer(net::HttpResponse aResponse)
{
  Answer answer;
  answer.m_status = aResponse.m_head.m_status;
  answer.m_contentType =
    aResponse.m_head.m_headers.Find("Content-Type").value_or("");
  answer.m_kvHandle =
    aResponse.m_head.m_headers.Find("X-KV-Handle").value_or("");
  answer.m_body = std::move(aResponse.m_body);
  answer.m_unframed = aResponse.m_end == net::HttpEnd::Closed;
  return answer;
}

} // namespace ridgeferry::upstream
