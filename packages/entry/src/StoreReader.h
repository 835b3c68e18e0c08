#pragma once

#include "PeerRows.h"
#include "StoreGenerations.h"

#include <ridgeferry/freshness/KnownLag.h>
#include <ridgeferry/freshness/StoreClock.h>
#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/relay/TableFollower.h>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::entry {

/** Executes the actions of a `TableFollower` for one table of the store. Not
 * thread-safe. */
class StoreReader
{
public:
  /** For `aKeeps` see `relay::KeepsKnown`. `aNode`, `aGenerations` and
   * `aPeers` must outlive this object. */
  StoreReader(EntryNode& aNode,
              StoreGenerations& aGenerations,
              PeerRows& aPeers,
              PeerRows::Table aKind,
              std::string aTable,
              relay::KeepsKnown aKeeps = {});

  void Start();
  bool HasRead() const { return m_follower.HasRead(); }
  const relay::TableFollower& Follower() const { return m_follower; }
  /** Handles what another instance reports of its store reads. `aPosition` is
   * the position up to which it has read this table. */
  void NotePeer(StorePosition aPosition, const membership::StoreView& aView);
  /** Handles the word of another instance that it has read a change of this
   * table at `aPosition`. */
  void NoteAhead(StorePosition aPosition);
  /** Returns for how long another instance has been known to hold a later
   * change; std::nullopt if none is known to. */
  std::optional<Duration> KnownLag() const;
  /** The same as of the moment before the event that is being handled. */
  std::optional<Duration> LagBefore() const { return m_lagBefore; }
  /** Sets whether this instance polls the store (`aOnDuty`), and whether it
   * does so because of its rank (`aByPlace`); see `relay::PollingChanged`. */
  void SetPolling(bool aOnDuty, bool aByPlace);
  /** Notes that the list of instances has been read; `aAny` is true if it names
   * instances other than this one. */
  void NotePeersListed(bool aAny);
  sigc::signal<void(const relay::ApplyRows&)>& SignalRows() { return m_rows; }
  /** Emitted after the rows of an answer were applied, so that the table holds
   * all that the store had acknowledged when it made the answer: with the
   * answer's reading of the store's clock, and the instant at which the read
   * was sent. */
  sigc::signal<void(const freshness::StoreMoment&, Instant)>& SignalProved()
  {
    return m_proved;
  }

private:
  void Handle(const relay::FollowEvent& aEvent);
  void Do(const relay::ReadTable& aAction);
  void Do(const relay::ReadChanges& aAction);
  void Do(const relay::AskPeer& aAction);
  void Do(const relay::CancelRead& aAction);
  void Do(const relay::RetryLater& aAction);
  void Do(const relay::ApplyRows& aAction);
  void Do(const relay::AnswerIsOld& aAction);
  void Do(const relay::StoreLost& aAction);
  void Do(const relay::StoreBack& aAction);
  /** Returns a random time between 0 and `aMost`. */
  Duration Draw(Duration aMost);
  void Send(const StoreRead& aRead, Duration aTimeout);
  void ReadPage(std::string aFromKey);
  void ReadNextPage();
  void TakeAnswer(const StoreRead& aRead,
                  Instant aAsked,
                  const net::HttpResponse& aResponse);
  void TakePage(const StoreRead& aRead,
                Instant aAsked,
                StorePage aPage,
                StoreGeneration aGeneration);
  /** What an answer can prove once its rows are applied. */
  struct Evidence
  {
    StorePosition m_position;
    std::optional<Duration> m_clock;
    Instant m_asked;
  };
  /** Emits `SignalProved` if the table holds all that the answer told. */
  void NoteProof(const Evidence& aEvidence);
  void LogCopyRead(const relay::ApplyRows& aRows);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  PeerRows& m_peers;
  PeerRows::Table m_kind;
  std::string m_table;
  relay::TableFollower m_follower;
  freshness::KnownLag m_lag;
  std::optional<Duration> m_lagBefore; ///< See `LagBefore`.
  /** Rows of the whole-table read under way. After a failure the read continues
   * where it stopped. */
  std::vector<relay::FollowedRow> m_pages;
  Instant m_pagesSince;
  Evidence m_firstPage;       ///< What the first page tells of the store.
  Duration m_pageTimeout{};   ///< Time-out for each page.
  net::HttpCallId m_call = 0; ///< Id of the HTTP call that reads the store.
  /** True if the last read got no answer: other idle connections may be
   * unresponsive too, so the next read uses a fresh one. */
  bool m_needsFreshConnection = false;
  net::Watch m_retry;
  net::Watch m_ask; ///< Timer until a peer is asked.
  sigc::signal<void(const relay::ApplyRows&)> m_rows;
  sigc::signal<void(const freshness::StoreMoment&, Instant)> m_proved;
};

} // namespace ridgeferry::entry
