#pragma once

#include "Call.h"
#include "ClaimService.h"
#include "ConfigService.h"
#include "Node.h"
#include "PlannerService.h"

#include <map>
#include <memory>
#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/routing/Dispatcher.h>
#include <ridgeferry/routing/OrganisationLimiter.h>
#include <ridgeferry/routing/RetryBudget.h>
#include <string>

namespace ridgeferry::daemon {

/** The callers' side of an instance: docs/API.md. */
class CallerApi
{
public:
  CallerApi(Node& aNode,
            ConfigService& aConfig,
            const membership::Roster& aRoster,
            routing::UpstreamSet& aUpstreams,
            PlannerService& aPlanner,
            ClaimService& aClaims,
            upstream::EngineClient& aEngines);

  tl::expected<void, net::NetError> Start();
  void SetReady(bool aReady) { m_ready = aReady; }
  /** Planned stop: from now on new calls are answered "not run". */
  void Drain() { m_draining = true; }
  /** Calls that have no final answer yet. */
  std::size_t Running() const { return m_calls.size(); }
  /** Connections to callers with bytes that are still to be sent. */
  std::size_t Unsent() const { return m_server->Unsent(); }
  std::size_t Queued() const { return m_dispatcher.Queued(); }
  /** The upstreams changed: look for work that can be served now. */
  void Pump();

private:
  void OnExchange(const std::shared_ptr<net::HttpExchange>& aExchange);
  void Accept(const std::shared_ptr<net::HttpExchange>& aExchange);
  bool Admit(net::HttpExchange& aExchange, const CallRequest& aRequest);
  void NoteDemand(const CallRequest& aRequest);
  void Enqueue(routing::UpstreamRequest aRequest);
  void Schedule(routing::UpstreamRequest aRequest, int aRetry);
  void Deliver(const routing::Dispatch& aDispatch);
  void PlanPump();
  void Finished(routing::CallId aCall);
  std::string AddressOf(const std::string& aUpstream) const;
  std::shared_ptr<const routing::PoolSpec> PoolFor(
    const routing::PoolSpec& aSpec);

  Node& m_node;
  ConfigService& m_config;
  const membership::Roster& m_roster;
  routing::UpstreamSet& m_upstreams;
  PlannerService& m_planner;
  upstream::ServiceClient m_services;
  CallContext m_context;
  routing::Dispatcher m_dispatcher;
  routing::OrganisationLimiter m_limiter;
  routing::RetryBudget m_retries;
  std::map<routing::CallId, std::shared_ptr<Call>> m_calls;
  /** One object a pool and revision, so that pools compare by address. */
  std::map<std::string, std::shared_ptr<const routing::PoolSpec>, std::less<>>
    m_pools;
  routing::CallId m_lastCall = 0;
  bool m_ready = false;
  bool m_draining = false;
  bool m_pumpPlanned = false;
  std::unique_ptr<net::HttpServer> m_server;
  net::Watch m_timer;
};

} // namespace ridgeferry::daemon
