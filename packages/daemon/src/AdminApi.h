#pragma once

#include "CallerApi.h"
#include "ConfigService.h"
#include "Node.h"
#include "PlannerService.h"

#include <memory>
#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/net/HttpServer.h>
#include <string>

namespace ridgeferry::daemon {

/** The operators' side of an instance: docs/API.md. */
class AdminApi
{
public:
  AdminApi(Node& aNode,
           ConfigService& aConfig,
           const membership::Roster& aRoster,
           const routing::UpstreamSet& aUpstreams,
           const PlannerService& aPlanner,
           const CallerApi& aCallers);

  tl::expected<void, net::NetError> Start();
  void SetState(bool aReady, bool aStopping);

private:
  using Exchange = std::shared_ptr<net::HttpExchange>;

  void OnExchange(const Exchange& aExchange);
  /** Name of the token's owner; empty if the token is wrong. */
  std::string Author(const net::HttpExchange& aExchange) const;
  void Status(const Exchange& aExchange) const;
  void GetObjects(const Exchange& aExchange) const;
  void ApplyChange(const Exchange& aExchange, const std::string& aAuthor);
  void FindChange(const Exchange& aExchange) const;
  void Audit(const Exchange& aExchange) const;
  void Explain(const Exchange& aExchange) const;

  Node& m_node;
  ConfigService& m_config;
  const membership::Roster& m_roster;
  const routing::UpstreamSet& m_upstreams;
  const PlannerService& m_planner;
  const CallerApi& m_callers;
  bool m_ready = false;
  bool m_stopping = false;
  std::unique_ptr<net::HttpServer> m_server;
};

} // namespace ridgeferry::daemon
