#pragma once

#include "EntryNode.h"
#include "PeerRows.h"
#include "Peers.h"
#include "StoreGenerations.h"

#include <deque>
#include <ridgeferry/quarantine/Quarantine.h>
#include <span>

namespace ridgeferry::entry {

/**
 * Makes all instances hold the same calls: tells the others what this one has
 * seen, asks those that hold other calls, and keeps what is held in the store
 * for a time when no instance is left to ask. Not thread-safe.
 */
class QuarantineShare
{
public:
  /** Who told an ending that came by a talk. */
  static constexpr std::string_view kFromPeer = "a peer";

  /** Takes what another instance, or the store, tells; how old it is, and who
   * told it. */
  using Take =
    sigc::slot<void(const quarantine::Ending&, Duration, std::string_view)>;

  /** Precondition: all outlive it. */
  QuarantineShare(EntryNode& aNode,
                  StoreGenerations& aGenerations,
                  Peers& aPeers,
                  PeerRows& aPeerRows,
                  const quarantine::Quarantine& aQuarantine,
                  Take aTake);

  void Start();
  /** What the others hold is known. */
  bool IsKnown() const { return m_known; }
  /** This instance has seen these. */
  void Tell(std::vector<quarantine::Ending> aEndings);
  /** To be called several times a second. */
  void Tick();

private:
  struct News
  {
    Instant m_at;
    quarantine::Ending m_ending;
  };

  void TellNews();
  void TakeTold(std::span<const membership::EndingDigest> aEndings);
  void TakeText(const std::string& aText, std::string_view aFrom);
  void NoteKnown(std::string_view aFrom);
  void AskPeers();
  void AskPeer(const std::string& aAddress);
  void ReadStore();
  void WriteStore();
  /** What is known, as JSON. */
  std::string Text(std::size_t aMost) const;
  relay::TableSlice Slice() const;

  EntryNode& m_node;
  StoreGenerations& m_generations;
  Peers& m_peers;
  PeerRows& m_peerRows;
  const quarantine::Quarantine& m_quarantine;
  Take m_take;
  std::deque<News> m_news; ///< Of this instance.
  bool m_known = false;
  bool m_listed = false; ///< Other instances, or that there is none.
  bool m_hasOthers = false;
  bool m_asking = false; ///< A peer, or the store.
  bool m_writing = false;
  std::uint64_t m_written = 0; ///< Fingerprint of what the store has.
  /** Of a peer, at the last tick: one that has just changed may be about to. */
  bool m_differed = false;
  Instant m_storeAgainAt; ///< Behind a call of the store that failed.
  Instant m_began;
};

} // namespace ridgeferry::entry
