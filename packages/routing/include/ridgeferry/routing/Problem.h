#pragma once

#include <optional>
#include <ridgeferry/base/Outcome.h>
#include <ridgeferry/base/Time.h>
#include <string>
#include <string_view>

namespace ridgeferry::routing {

/** Why a call got no answer from an upstream. The codes are a stable part of
 * the API. */
enum class ProblemCode
{
  BadRequest,
  UnknownOrganisation,
  UnknownModel,
  UnknownService,
  NotFound,
  OrganisationLimit, ///< The organisation's declared limit is reached.
  Overloaded,        ///< The call cannot be served before its deadline.
  NoUpstream,        ///< No upstream exists that may serve the call.
  DeadlineExceeded,
  UpstreamFailed, ///< The upstream failed, and the call was not retried.
  ClaimOpen,      ///< An earlier call with this idempotency key may be
                  ///< running.
  KeyReused,      ///< The idempotency key was used before for a different
                  ///< call.
  /** The claim store, in which the idempotency keys of calls are claimed, does
   * not answer, so calls that must not be repeated cannot be accepted. */
  ClaimStoreDown,
  Stopping, ///< This instance is stopping; another one can serve it.
  NotReady,
};

/** A final answer that this instance itself produces: a problem document of RFC
 * 7807, with the outcome of the call and a retry delay in addition. */
struct Problem
{
  ProblemCode m_code = ProblemCode::BadRequest;
  Outcome m_outcome = Outcome::NotRun;
  /** Retry delay; empty if no delay is suggested. */
  std::optional<Duration> m_retryAfter;
  std::string m_detail;
  bool operator==(const Problem&) const = default;
};

/** Returns the value of the `code` field, such as `team-limit`. Thread-safe. */
std::string_view
ProblemCodeName(ProblemCode aCode);
/** Returns the HTTP status for the code. Thread-safe. */
int
ProblemStatus(ProblemCode aCode);

} // namespace ridgeferry::routing
