#pragma once

#include "PeerRows.h"
#include "StoreGenerations.h"

#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/relay/TableFollower.h>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::entry {

/**
 * Carries out what a `TableFollower` decides for one table of the store.
 * Not thread-safe.
 */
class StoreReader
{
public:
  /** `aKeeps`: see `relay::FollowedTable`. Precondition: `aGenerations` and
   * `aPeers` outlive it. */
  StoreReader(EntryNode& aNode,
              StoreGenerations& aGenerations,
              PeerRows& aPeers,
              PeerRows::Table aKind,
              std::string aTable,
              relay::KeepsKnown aKeeps = {});

  void Start();
  bool HasRead() const { return m_follower.HasRead(); }
  const relay::TableFollower& Follower() const { return m_follower; }
  /** What another instance says of its reads; `aPosition`: up to where it has
   * read this table. */
  void NotePeer(StorePosition aPosition, const membership::StoreView& aView);
  /** See `relay::DutyChanged`. */
  void SetDuty(bool aOnDuty, bool aByPlace);
  /** Other instances are known by now, or that there are none. */
  void NotePeersListed(bool aAny);
  sigc::signal<void(const relay::ApplyRows&)>& SignalRows() { return m_rows; }

private:
  void Handle(const relay::FollowEvent& aEvent);
  void Do(const relay::ReadTable& aAction);
  void Do(const relay::ReadChanges& aAction);
  void Do(const relay::AskPeer& aAction);
  void Do(const relay::DropRead& aAction);
  void Do(const relay::RetryLater& aAction);
  void Do(const relay::ApplyRows& aAction);
  void Do(const relay::AnswerIsOld& aAction);
  void Do(const relay::StoreLost& aAction);
  void Do(const relay::StoreBack& aAction);
  /** Some time up to the given one, drawn anew each time. */
  Duration Draw(Duration aMost);
  void Send(const StoreRead& aRead, Duration aPatience);
  void ReadPage(std::string aFromKey);
  void ReadNextPage();
  void TakeAnswer(const StoreRead& aRead, const net::HttpResponse& aResponse);
  void TakePage(const StoreRead& aRead,
                StorePage aPage,
                StoreGeneration aGeneration);
  void TellCopy(const relay::ApplyRows& aRows);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  PeerRows& m_peers;
  PeerRows::Table m_kind;
  std::string m_table;
  relay::TableFollower m_follower;
  /** Pages of a whole read that goes on; after a failure it is gone on with
   * where it stopped. */
  std::vector<relay::FollowedRow> m_pages;
  Instant m_pagesSince;
  StorePosition m_pagesPosition; ///< Of the first of them.
  Duration m_pagePatience{};     ///< For each page of it.
  net::HttpCallId m_call = 0;    ///< The read under way.
  /** The last read got no answer: connections kept from before may have fallen
   * silent too. */
  bool m_distrustsKept = false;
  net::Watch m_retry;
  net::Watch m_ask; ///< Until a peer is asked.
  sigc::signal<void(const relay::ApplyRows&)> m_rows;
};

} // namespace ridgeferry::entry
