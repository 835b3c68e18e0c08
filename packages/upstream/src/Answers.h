#pragma once

#include <optional>
#include <ridgeferry/net/Http.h>
#include <ridgeferry/upstream/EngineClient.h>

namespace ridgeferry::upstream {

/** Header by which an upstream says what became of a call it did not answer. */
inline constexpr const char* kOutcomeHeader = "X-Outcome";
inline constexpr const char* kNotRun = "not-run";

/** How a request failed; nothing if its answer is an answer. */
std::optional<Failure>
FailureOf(const net::HttpResponse& aResponse);

/** Returns for how long the upstream wants no requests of this instance, if its
 * answer turns the request away and says so. */
std::optional<Duration>
BackOffOf(const net::HttpResponse& aResponse);

Answer
ToAnswer(net::HttpResponse aResponse);

} // namespace ridgeferry::upstream
