#pragma once

#include "Reply.h"

#include <cstdint>
#include <optional>
#include <ridgeferry/declared/Catalog.h>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/routing/CallFlow.h>
#include <ridgeferry/routing/Problem.h>
#include <ridgeferry/routing/UpstreamSet.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace ridgeferry::daemon {

/** A model's generation, as its caller asked for it. */
struct GenerationCall
{
  GenerationShape m_shape = GenerationShape::Completion;
  std::string m_path;
  std::string m_body;
  std::string m_model;
  std::string m_deployment;
  bool m_stream = false;
  std::int64_t m_promptTokens = 0; ///< Estimated from its length.
  std::int64_t m_maxTokens = 0;
  std::uint64_t m_prefixHash = 0; ///< Of the prompt's head.
  std::uint64_t m_seed = 0;
  std::optional<routing::StreamPosition> m_resume;
};

/** A call of a plain service, passed through. */
struct ServiceCall
{
  std::string m_service;
  std::string m_method;
  std::string m_target;
  net::HttpHeaders m_headers;
  std::string m_body;
};

/** A checked request of a caller: all that its way depends on. */
struct CallRequest
{
  std::string m_requestId;
  std::string m_organisation;
  std::string m_key; ///< Idempotency key; empty: the call may be repeated.
  std::uint64_t m_fingerprint = 0;
  declared::TrafficClass m_class = declared::TrafficClass::Normal;
  std::string m_route; ///< Empty: none matched.
  std::string m_event;
  Duration m_deadline{}; ///< From its arrival.
  routing::PoolSpec m_pool;
  std::variant<GenerationCall, ServiceCall> m_what;
};

/** Why a request is refused before anything is done for it. */
struct RequestRefusal
{
  routing::Problem m_problem;
  std::vector<FieldError> m_faults; ///< Of the body or the headers.
};

/**
 * Reads a caller's request against the configuration in force. Nothing else
 * of the process is asked, so `explain` gives the same answer as a real call.
 * `aPath` stands in for the exchange's own path, if given.
 */
tl::expected<CallRequest, RequestRefusal>
ReadCallRequest(const net::HttpExchange& aExchange,
                const declared::Catalog& aCatalog,
                const std::string& aRequestId,
                WallTime aNow,
                std::optional<std::string_view> aPath = std::nullopt);

} // namespace ridgeferry::daemon
