#pragma once

#include "ConfigFreshness.h"
#include "EntryNode.h"
#include "RelayCall.h"
#include "UsageService.h"

#include <map>
#include <memory>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/relay/CallKind.h>
#include <ridgeferry/relay/CallerTimeLimit.h>
#include <unordered_map>

namespace ridgeferry::entry {

/**
 * Accepts requests of callers and starts one `RelayCall` for each. A request
 * that matches no route, or arrives while the instance cannot take calls, gets
 * an error answer. Not thread-safe.
 */
class Relay
{
public:
  /** Precondition: the arguments outlive this object. */
  Relay(EntryNode& aNode,
        QuarantineService& aQuarantine,
        const ConfigFreshness& aFreshness,
        UsageService& aUsage,
        ReachService& aReach,
        const Peers& aPeers);

  tl::expected<void, net::NetError> Start();
  /** Applies the limits on callers' requests from the present configuration,
   * and forgets what was learned of routes that it no longer declares. */
  void UseLimits();
  /** From now on, every answer closes its connection. */
  void BeginStop();
  /** Closes callers' connections that are idle between two requests. */
  void CloseResting();
  /** Takes a call that another instance passes on. It is not passed on again.
   */
  void HandleForwarded(const std::shared_ptr<net::HttpExchange>& aExchange,
                       const ForwardedTerms& aTerms);
  /** Returns the number of calls under way. */
  std::size_t Running() const { return m_calls.size(); }
  /** Returns the number of callers' connections with unsent bytes. */
  std::size_t Unsent() const { return m_server->Unsent(); }

private:
  void HandleRequest(const std::shared_ptr<net::HttpExchange>& aExchange,
                     const std::optional<ForwardedTerms>& aForwarded);
  void Refuse(net::HttpExchange& aExchange,
              const CallHead& aHead,
              int aStatus,
              std::string_view aCode);
  /** Answers a call that may not run by its key. */
  void RefuseKey(net::HttpExchange& aExchange,
                 const CallHead& aHead,
                 const keys::KeyVerdict& aVerdict);
  void Remove(std::uint64_t aCall);
  /** Returns how long the caller has waited before this call arrived here. */
  Duration EarlierWait(const CallHead& aHead,
                       const relay::Route& aRoute,
                       const std::optional<ForwardedTerms>& aForwarded);
  /** Records the prompt in the statistics of its route, and returns them.
   * Returns null if the call has no prompt. */
  std::shared_ptr<relay::CallKind> KindOf(
    const std::string& aRoute,
    const std::optional<relay::Prompt>& aPrompt);
  /** Drops the prompt statistics of routes that are no longer declared. */
  void ForgetOldRoutes();
  relay::RetryBudget& BudgetOf(const std::string& aService);
  double MovedTokensPerMs(const std::string& aService) const;
  relay::ConnectionShare ConnectionsOf(const std::string& aService) const;

  EntryNode& m_node;
  QuarantineService& m_quarantine;
  const ConfigFreshness& m_freshness;
  UsageService& m_usage;
  ReachService& m_reach;
  const Peers& m_peers;
  std::unique_ptr<net::HttpServer> m_server;
  std::uint64_t m_lastCall = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<RelayCall>> m_calls;
  /** Retry budgets, by service. */
  std::map<std::string, relay::RetryBudget, std::less<>> m_budgets;
  /** What the deadlines of calls tell of their callers, by route. */
  std::map<std::string, relay::CallerTimeLimit, std::less<>> m_timeLimits;
  /** Statistics of the prompts, by route. */
  std::map<std::string, std::shared_ptr<relay::CallKind>, std::less<>> m_kinds;
};

} // namespace ridgeferry::entry
