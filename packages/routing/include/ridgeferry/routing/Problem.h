#pragma once

#include <optional>
#include <ridgeferry/base/Outcome.h>
#include <ridgeferry/base/Time.h>
#include <string>
#include <string_view>

namespace ridgeferry::routing {

/** Why a call got no answer of an upstream: stable codes of the API. */
enum class ProblemCode
{
  BadRequest,
  UnknownTeam,
  UnknownModel,
  UnknownService,
  NotFound,
  TeamLimit,  ///< The team's declared limit is used up.
  Overloaded, ///< The call would not be served before its deadline.
  NoUpstream, ///< No upstream that may serve it is there.
  DeadlineExceeded,
  UpstreamFailed, ///< The upstream broke off; not repeated.
  ClaimOpen,      ///< An earlier attempt with this key may be running.
  KeyReused,      ///< The key was used before with another call.
  ClaimStoreDown, ///< Calls that may not be repeated cannot be claimed now.
  Stopping,       ///< This instance is stopping: ask another one.
  NotReady,
};

/** A final answer that is no upstream's: RFC 7807 plus outcome and time. */
struct Problem
{
  ProblemCode m_code = ProblemCode::BadRequest;
  Outcome m_outcome = Outcome::NotRun;
  std::optional<Duration> m_retryAfter; ///< When it is worth coming back.
  std::string m_detail;
  bool operator==(const Problem&) const = default;
};

/** The `code` field, such as `team-limit`. Thread-safe. */
std::string_view
ProblemCodeName(ProblemCode aCode);
/** HTTP status that goes with the code. Thread-safe. */
int
ProblemStatus(ProblemCode aCode);

} // namespace ridgeferry::routing
