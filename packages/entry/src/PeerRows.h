#pragma once

#include "Peers.h"

#include <map>
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
  /** Returns what this instance has read of a table after a position. */
  using Source = sigc::slot<relay::TableSlice(StorePosition)>;
  /** Receives the peer's answer; std::nullopt if no peer answered or the answer
   * was invalid. */
  using Answered = sigc::slot<void(std::optional<relay::TableSlice>)>;

  /** `aNode` and `aPeers` must outlive this object. */
  PeerRows(EntryNode& aNode, const Peers& aPeers);

  /** Listens by TCP at the address that the instance uses for datagrams.
   * Returns an error if the address cannot be bound. */
  tl::expected<void, net::NetError> Start();
  void Serve(Table aTable, Source aSource);
  /** Serves data that instances exchange among themselves and that is no
   * followed table, under a name. */
  void Serve(const std::string& aName, Source aSource);
  /** Asks a peer that has read changes of a table after `aAfter`. Calls
   * `aAnswered` exactly once, later. */
  void Ask(Table aTable, StorePosition aAfter, const Answered& aAnswered);
  /** Asks the given peer (IP:PORT) for what it serves under `aName`. Calls
   * `aAnswered` exactly once, later. */
  void AskPeer(const std::string& aPeer,
               const std::string& aName,
               StorePosition aAfter,
               const Answered& aAnswered);

private:
  void Answer(net::HttpExchange& aExchange);
  std::optional<relay::TableSlice> Decode(const net::HttpResponse& aResponse);

  EntryNode& m_node;
  const Peers& m_peers;
  /** Sources by name of table. */
  std::map<std::string, Source, std::less<>> m_sources;
  std::unique_ptr<net::HttpServer> m_server;
};

} // namespace ridgeferry::entry
