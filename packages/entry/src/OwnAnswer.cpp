#include "OwnAnswer.h"

#include "ForwardedCall.h"

#include <fmt/format.h>

namespace ridgeferry::entry {

void
SendOwnAnswer(net::HttpExchange& aExchange, const OwnAnswer& aAnswer)
{
  constexpr double kMsPerSecond = 1000;
  net::HttpHeaders headers;
  headers.Add("Content-Type", "application/problem+json");
  if (aAnswer.m_retryAfter.count() > 0) {
    const auto ms = static_cast<double>(aAnswer.m_retryAfter.count());
    headers.Add("Retry-After", fmt::format("{:.3f}", ms / kMsPerSecond));
  }
  if (aAnswer.m_declined) {
    MarkDeclined(headers);
  }
  aExchange.Reply(aAnswer.m_status,
                  headers,
                  fmt::format(R"({{"code":"{}","outcome":"{}","status":{}}})",
                              aAnswer.m_code,
                              aAnswer.m_outcome,
                              aAnswer.m_status));
}

} // namespace ridgeferry::entry
