#pragma once

#include "SoakHistory.h"
#include "SoakInstances.h"

#include <functional>
#include <list>
#include <random>
#include <ridgeferry/net/HttpClient.h>
#include <set>

namespace ridgeferry::soak {

/** A stream that a call takes up. */
struct TakenUp
{
  std::string m_stream; ///< The call that began it; empty: none.
  int m_afterEvent = 0;
};

/**
 * Sends calls of all kinds to the instances, on kept connections and new ones,
 * leaves some of them early, comes back after refusals, and asks each instance
 * which configuration is in force. All goes into the history.
 */
class SoakCallers
{
public:
  SoakCallers(net::EventLoop& aLoop,
              SoakHistory& aHistory,
              SoakInstances& aInstances,
              std::uint64_t aSeed);

  /** So many calls a second from now on; 0 ends the traffic. */
  void SetRate(int aPerSecond);
  /** The version that probes ask for from now on; 0: none. */
  void SetVersion(std::uint64_t aVersion) { m_version = aVersion; }
  /** Calls that wait to the end, one after the other; counted apart. */
  void SendLast(int aCount);
  bool IsQuiet() const { return m_open == 0; }

private:
  /** Called with the call's id and how it ended. */
  using Done = std::function<void(const std::string&, const SoakCall&)>;

  void SendAny();
  /** Goes on with a stream that broke, at any instance. */
  void TakeUp(const std::string& aId, const SoakCall& aBroken);
  void Probe();
  /** Sends one call; `aDone` may be empty. */
  void Send(CallKind aKind,
            SoakInstances::Instance& aInstance,
            const std::string& aPath,
            bool aMayLeave,
            Done aDone,
            const TakenUp& aTakenUp = {});
  net::HttpRequest RequestOf(const std::string& aId,
                             const SoakCall& aCall,
                             const std::string& aAddress,
                             const std::string& aPath);
  void TakeEnd(const std::string& aId,
               const net::HttpResponse& aResponse,
               const Done& aDone);
  void LeaveLater(const std::string& aId, net::HttpCallId aHttp);
  bool Draw(double aShare);
  CallKind DrawKind();

  net::EventLoop& m_loop;
  SoakHistory& m_history;
  SoakInstances& m_instances;
  net::HttpClient m_client;
  std::mt19937_64 m_random;
  std::uint64_t m_version = 0;
  std::size_t m_lastId = 0;
  std::size_t m_open = 0;
  std::set<std::string> m_probing; ///< Instances that have not answered yet.
  std::list<net::Watch> m_leaves;
  net::Watch m_traffic;
  net::Watch m_probes;
};

} // namespace ridgeferry::soak
