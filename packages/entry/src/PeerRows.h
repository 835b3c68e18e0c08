#pragma once

#include "Peers.h"

#include <map>
#include <ridgeferry/net/HttpServer.h>
#include <ridgeferry/relay/FollowedTable.h>

namespace ridgeferry::entry {

/**
 * Passes the rows of followed tables on between instances: answers those of
 * others, and asks others for this one. Not thread-safe.
 */
class PeerRows
{
public:
  using Table = Peers::Table;
  /** What this instance has read of a table after a position. */
  using Source = sigc::slot<relay::TableSlice(StorePosition)>;
  /** What the peer answered; nothing: none did, or it was of no use. */
  using Answered = sigc::slot<void(std::optional<relay::TableSlice>)>;

  /** Precondition: `aPeers` outlives it. */
  PeerRows(EntryNode& aNode, const Peers& aPeers);

  /** Listens at the address of the datagrams, by TCP. */
  tl::expected<void, net::NetError> Start();
  void Serve(Table aTable, Source aSource);
  /** The same of what instances keep among themselves, under a name. */
  void Serve(const std::string& aName, Source aSource);
  /** Asks one that has read changes after a position; `aAnswered` comes later,
   * once. */
  void Ask(Table aTable, StorePosition aAfter, const Answered& aAnswered);
  /** The same of one peer, by IP:PORT, and by a name. */
  void AskPeer(const std::string& aPeer,
               const std::string& aName,
               StorePosition aAfter,
               const Answered& aAnswered);

private:
  void Answer(net::HttpExchange& aExchange);
  std::optional<relay::TableSlice> Decode(const net::HttpResponse& aResponse);

  EntryNode& m_node;
  const Peers& m_peers;
  std::map<std::string, Source, std::less<>> m_sources; ///< By table's name.
  std::unique_ptr<net::HttpServer> m_server;
};

} // namespace ridgeferry::entry
