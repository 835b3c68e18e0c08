#pragma once

#include "ForwardedCall.h"
#include "Peers.h"

#include <map>
#include <ridgeferry/freshness/StoreClock.h>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/relay/FollowedTable.h>

namespace ridgeferry::entry {

/** Exchanges the rows of followed tables between instances: answers the
 * requests of other instances and sends requests for this one. Not thread-safe.
 */
class PeerRows
{
public:
  using Table = Peers::Table;
  /** Returns the rows of a table that this instance has read and that changed
   * after the given position, to answer the request of a peer. */
  using Source = sigc::slot<relay::TableSlice(StorePosition)>;
  /** Returns the latest reading that the store's clock can show at present;
   * std::nullopt if it is not known. */
  using Clock = sigc::slot<std::optional<freshness::StoreMoment>()>;
  /** Receives the peer's answer; std::nullopt if no peer answered or the answer
   * was invalid. */
  using Answered = sigc::slot<void(std::optional<relay::TableSlice>)>;

  /** `aNode` and `aPeers` must outlive this object. */
  PeerRows(EntryNode& aNode, const Peers& aPeers);

  /** Listens by TCP at the address that the instance uses for datagrams.
   * Returns an error if the address cannot be bound. */
  tl::expected<void, net::NetError> Start();
  /** Answers the requests of peers for this table with what `aSource` returns.
   */
  void Serve(Table aTable, Source aSource);
  /** Answers the requests of peers for `aName` with what `aSource` returns. For
   * data that instances exchange and that is not a table followed from the
   * store. */
  void Serve(const std::string& aName, Source aSource);
  /** Receives the calls that other instances pass on to this one. */
  using Forwarded = sigc::slot<void(const std::shared_ptr<net::HttpExchange>&,
                                    const ForwardedTerms&)>;
  void TakeForwarded(Forwarded aForwarded);
  /** Makes room for requests as long as callers' may be here. Precondition:
   * `Start` has succeeded. */
  void UseLimits(const relay::CallerLimits& aLimits);
  /** Returns the number of connections of other instances with unsent bytes. */
  std::size_t Unsent() const { return m_server->Unsent(); }
  /** Sends what `aClock` returns with each answer to a peer. */
  void ServeClock(Clock aClock);
  /** Emitted with the reading of the store's clock that came with a peer's
   * answer, and the instant at which the peer was asked. */
  sigc::signal<void(const freshness::StoreMoment&, Instant)>& SignalClockRead()
  {
    return m_clockRead;
  }
  /** Requests the changes of a table after the position `aAfter` from a peer
   * that has read such changes. Calls `aAnswered` exactly once, also on
   * failure, and never before this function returns. */
  void Ask(Table aTable, StorePosition aAfter, const Answered& aAnswered);
  /** Requests from the peer at `aPeer` (IP:PORT) the rows that it serves under
   * `aName`, the name of a table or of other shared data (see `Serve`), and
   * that changed after the position `aAfter`. Calls `aAnswered` exactly once,
   * also on failure, and never before this function returns. */
  void AskPeer(const std::string& aPeer,
               const std::string& aName,
               StorePosition aAfter,
               const Answered& aAnswered);

  /** Requests only a reading of the store's clock from the peer at `aPeer`,
   * which arrives by `SignalClockRead`. `aGeneration` is the present generation
   * of the store. */
  void AskClock(const std::string& aPeer, StoreGeneration aGeneration);

private:
  void Answer(const std::shared_ptr<net::HttpExchange>& aExchange);
  void AnswerRows(net::HttpExchange& aExchange);
  std::optional<relay::TableSlice> Decode(const net::HttpResponse& aResponse,
                                          Instant aAsked);

  EntryNode& m_node;
  const Peers& m_peers;
  /** Sources by the name under which peers request them. */
  std::map<std::string, Source, std::less<>> m_sources;
  Clock m_clock;
  Forwarded m_forwarded;
  sigc::signal<void(const freshness::StoreMoment&, Instant)> m_clockRead;
  std::unique_ptr<net::HttpServer> m_server;
};

} // namespace ridgeferry::entry
