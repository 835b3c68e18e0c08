#pragma once

#include "EntryNode.h"
#include "RelayCall.h"

#include <map>
#include <memory>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/relay/CallKind.h>
#include <unordered_map>

namespace ridgeferry::entry {

/** The callers' side: each request becomes a call. Not thread-safe. */
class Relay
{
public:
  /** Precondition: both outlive it. */
  Relay(EntryNode& aNode, QuarantineService& aQuarantine);

  tl::expected<void, net::NetError> Start();
  /** Takes the callers' limits of the configuration in force. */
  void UseLimits();
  /** From now on each answer closes its connection. */
  void BeginStop();
  /** Closes connections that rest between two requests. */
  void CloseResting();
  std::size_t Running() const { return m_calls.size(); }
  /** Connections to callers with bytes that are still to be sent. */
  std::size_t Unsent() const { return m_server->Unsent(); }

private:
  void Take(const std::shared_ptr<net::HttpExchange>& aExchange);
  void Refuse(net::HttpExchange& aExchange,
              const CallHead& aHead,
              int aStatus,
              std::string_view aCode);
  void Remove(std::uint64_t aCall);
  /** What a caller with so much time has waited already, before this attempt,
   * by the longest time that callers of its route have come with. */
  Duration NoteDeadline(const std::string& aRoute,
                        std::optional<Duration> aDeadline);
  /** The kind of a call with a prompt, which counts from now on; null: it has
   * none. */
  std::shared_ptr<relay::CallKind> KindOf(
    const std::string& aRoute,
    const std::optional<relay::Prompt>& aPrompt);
  /** What was learned of routes that are declared no more. */
  void ForgetOldRoutes();
  relay::RetryBudget& BudgetOf(const std::string& aService);
  double MovedTokensPerMs(const std::string& aService) const;
  relay::ConnectionShare ConnectionsOf(const std::string& aService) const;

  EntryNode& m_node;
  QuarantineService& m_quarantine;
  std::unique_ptr<net::HttpServer> m_server;
  std::uint64_t m_lastCall = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<RelayCall>> m_calls;
  std::map<std::string, relay::RetryBudget, std::less<>> m_budgets;
  std::map<std::string, Duration, std::less<>> m_deadlines; ///< By route.
  /** By route. */
  std::map<std::string, std::shared_ptr<relay::CallKind>, std::less<>> m_kinds;
};

} // namespace ridgeferry::entry
