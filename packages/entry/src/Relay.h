#pragma once

#include "CallLeaseService.h"
#include "ConfigFreshness.h"
#include "EntryNode.h"
#include "RelayCall.h"
#include "StatementService.h"
#include "StreamOriginService.h"
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
        ConfigFreshness& aFreshness,
        UsageService& aUsage,
        ReachService& aReach,
        const Peers& aPeers,
        StreamOriginService& aOrigins,
        StatementService& aStatements,
        CallLeaseService& aLeases);

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
  std::size_t Running() const { return m_calls.size() + m_takeUps; }
  /** Returns the number of callers' connections with unsent bytes. */
  std::size_t Unsent() const { return m_server->Unsent(); }

private:
  /** A request that may run: all that its call starts with, but for what
   * depends on the service. */
  struct AdmittedRequest
  {
    std::shared_ptr<net::HttpExchange> m_exchange;
    CallHead m_head;
    std::shared_ptr<const relay::RouteTable> m_routes;
    const relay::Route* m_route = nullptr;
    const keys::Organisation* m_organisation = nullptr;
    std::optional<ForwardedTerms> m_forwarded;
    StorePosition m_configAt; ///< Position of the configuration in `m_routes`.
  };

  void HandleRequest(const std::shared_ptr<net::HttpExchange>& aExchange,
                     const std::optional<ForwardedTerms>& aForwarded);
  /** Refuses a call that no route allows to run, or none that could be read;
   * `aRoute` is null if none was found. Returns whether it did. */
  bool RefuseUnrouted(net::HttpExchange& aExchange,
                      const CallHead& aHead,
                      const relay::Route* aRoute);
  /** Returns whether another instance routed the call by a later configuration
   * than the one in force here. */
  bool IsRoutedByLaterConfig(const std::optional<ForwardedTerms>& aForwarded);
  /** Starts a call whose caller takes a stream up again, once it is known what
   * began the stream. */
  void TakeUp(const AdmittedRequest& aRequest);
  void DecideTakeUp(const AdmittedRequest& aRequest,
                    Instant aSince,
                    const streams::OriginDecision& aDecision);
  /** Starts a call that goes on with a stream, if its route still leads there.
   */
  void GoOn(const AdmittedRequest& aRequest,
            const streams::StreamOrigin& aOrigin);
  /** `aOrigin`: what began the stream that the call goes on with; std::nullopt
   * if it goes on with none. */
  void StartCall(const AdmittedRequest& aRequest,
                 const std::string& aService,
                 const std::optional<streams::StreamOrigin>& aOrigin);
  static streams::StreamKey StreamKeyOf(const AdmittedRequest& aRequest,
                                        std::string_view aBeganAs);
  /** Draws one of the route's services. */
  const std::string& DrawService(const relay::Route& aRoute);
  /** Why a request gets no call. */
  struct Refusal
  {
    int m_status = 0;
    std::string_view m_code;
    /** When to come back; 0 if that is of no use. */
    Duration m_retryAfter{};
  };

  /** Returns the version of the configuration in force; 0 if there is none. */
  std::int64_t ConfigVersion() const;
  void Refuse(net::HttpExchange& aExchange,
              const CallHead& aHead,
              const Refusal& aRefusal);
  /** The same where the refusal rests on the configuration and its caller would
   * not come back. While the configuration may be old, the refusal is one for
   * now. */
  void RefuseForGood(net::HttpExchange& aExchange,
                     const CallHead& aHead,
                     const Refusal& aRefusal);
  /** Answers a call that may not run by its key. */
  void RefuseKey(net::HttpExchange& aExchange,
                 const CallHead& aHead,
                 const keys::KeyVerdict& aVerdict);
  /** Returns whether limits on sizes of a later configuration may be in force
   * by now. If so, a request above those here is refused for now, which is
   * logged. */
  bool LimitsMayBeOld();
  void Remove(std::uint64_t aCall);
  /** Returns how long the caller has waited before this call arrived here. */
  Duration EarlierWait(const AdmittedRequest& aRequest);
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
  ConfigFreshness& m_freshness;
  UsageService& m_usage;
  ReachService& m_reach;
  const Peers& m_peers;
  StreamOriginService& m_origins;
  StatementService& m_statements;
  CallLeaseService& m_leases;
  std::unique_ptr<net::HttpServer> m_server;
  std::uint64_t m_lastCall = 0;
  std::size_t m_takeUps = 0; ///< Calls that wait for the origin of a stream.
  /** Retry budgets, by service. Declared before the calls, which hold permits
   * of them. */
  std::map<std::string, relay::RetryBudget, std::less<>> m_budgets;
  std::unordered_map<std::uint64_t, std::unique_ptr<RelayCall>> m_calls;
  /** What the deadlines of calls tell of their callers, by route. */
  std::map<std::string, relay::CallerTimeLimit, std::less<>> m_timeLimits;
  /** Statistics of the prompts, by route. */
  std::map<std::string, std::shared_ptr<relay::CallKind>, std::less<>> m_kinds;
};

} // namespace ridgeferry::entry
