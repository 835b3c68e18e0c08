#include "ridgeferry/routing/Problem.h"

#include <array>

namespace ridgeferry::routing {

namespace {

struct CodeRow
{
  ProblemCode m_code;
  std::string_view m_name;
  int m_status;
};

constexpr std::array kCodes = {
  CodeRow{ ProblemCode::BadRequest, "bad-request", 400 },
  CodeRow{ ProblemCode::UnknownOrganisation, "unknown-team", 403 },
  CodeRow{ ProblemCode::UnknownModel, "unknown-model", 404 },
  CodeRow{ ProblemCode::UnknownService, "unknown-service", 404 },
  CodeRow{ ProblemCode::NotFound, "not-found", 404 },
  CodeRow{ ProblemCode::OrganisationLimit, "team-limit", 429 },
  CodeRow{ ProblemCode::Overloaded, "overloaded", 503 },
  CodeRow{ ProblemCode::NoUpstream, "no-upstream", 503 },
  CodeRow{ ProblemCode::DeadlineExceeded, "deadline-exceeded", 504 },
  CodeRow{ ProblemCode::UpstreamFailed, "upstream-failed", 502 },
  CodeRow{ ProblemCode::ClaimOpen, "claim-open", 409 },
  CodeRow{ ProblemCode::KeyReused, "key-reused", 422 },
  CodeRow{ ProblemCode::ClaimStoreDown, "claim-store-down", 503 },
  CodeRow{ ProblemCode::Stopping, "stopping", 503 },
  CodeRow{ ProblemCode::NotReady, "not-ready", 503 },
};

const CodeRow&
RowOf(ProblemCode aCode)
{
  return kCodes[static_cast<std::size_t>(aCode)];
}

} // namespace

std::string_view
ProblemCodeName(ProblemCode aCode)
{
  return RowOf(aCode).m_name;
}

int
ProblemStatus(ProblemCode aCode)
{
  return RowOf(aCode).m_status;
}

} // namespace ridgeferry::routing
