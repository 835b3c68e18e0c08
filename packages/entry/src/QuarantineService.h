#pragma once

#include "EntryNode.h"
#include "PeerRows.h"
#include "Peers.h"
#include "StoreGenerations.h"

#include <deque>
#include <map>
#include <memory>
#include <ridgeferry/net/ConnectProbe.h>
#include <ridgeferry/quarantine/BrokenRuns.h>
#include <ridgeferry/quarantine/Quarantine.h>

namespace ridgeferry::entry {

/**
 * Keeps calls that end their upstreams from ending more: finds out which
 * upstreams ended under which calls, tells the other instances, and keeps what
 * is held in the store for a time when no instance is left to ask. With the
 * mechanism switched off nothing is ever held. Not thread-safe.
 */
class QuarantineService
{
public:
  /** Precondition: all outlive it. */
  QuarantineService(EntryNode& aNode,
                    StoreGenerations& aGenerations,
                    Peers& aPeers,
                    PeerRows& aPeerRows);

  void Start();
  /** It knows what the others hold, or has asked for long enough. */
  bool HasAsked() const;

  /** Whether there is any call that it matters to recognise. */
  bool KnowsAny() const;
  /** For how long the call is given to no upstream; nothing: it may run. */
  std::optional<Duration> HeldFor(const quarantine::CallDigest& aCall) const;
  /** Whether a call that is held is to run all the same, to show whether that
   * is right; it counts as run from then on. */
  bool MayTry(const quarantine::CallDigest& aCall);
  /** Whether it may be sent again within one try of its caller. */
  bool MayRepeat(const quarantine::CallDigest& aCall) const;

  /** What an upstream was doing for a call. */
  struct Send
  {
    const quarantine::CallDigest& m_call;
    const std::string& m_upstream;
    const std::string& m_requestId; ///< For the log.
  };
  /** The connection of a send broke before the answer was whole. */
  void NoteBroken(const Send& aSend);
  /** The call ended well there. */
  void NoteServed(const Send& aSend);
  /** Nobody listens at its address. */
  void NoteRefused(const std::string& aUpstream);
  /** It answered what was begun at `aSince`. */
  void NoteAnswered(const std::string& aUpstream, Instant aSince);
  /** It has gone from the list. */
  void NoteGone(const UpstreamLife& aUpstream);
  /** The list has a later life of it than the one that was held. */
  void NoteLaterLife(const std::string& aUpstream);

  std::size_t Held() const { return m_quarantine.Held(); }
  std::size_t Suspected() const { return m_quarantine.Suspected(); }

private:
  struct News
  {
    Instant m_at;
    quarantine::Ending m_ending;
  };
  struct ProbeOf
  {
    UpstreamLife m_upstream;
    Instant m_began;
    std::unique_ptr<net::ConnectProbe> m_probe;
  };

  void Tick();
  void Probe(const relay::Member& aMember);
  void TakeReach(const std::string& aUpstream, net::Reach aReach);
  void NoteEnded(const UpstreamLife& aUpstream, std::string_view aFrom);
  /** Takes one ending and logs what it changes. */
  void Take(const quarantine::Ending& aEnding,
            Duration aAge,
            std::string_view aFrom);
  void Tell(std::vector<quarantine::Ending> aEndings);
  void TellNews();
  void TakeTold(std::span<const membership::EndingDigest> aEndings);
  void TakeText(const std::string& aText, std::string_view aFrom);
  void NoteKnown(std::string_view aFrom);
  /** Asks a peer that holds other calls than this instance. */
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
  quarantine::Quarantine m_quarantine;
  quarantine::BrokenRuns m_broken;
  std::map<quarantine::CallDigest, Instant> m_triedAt;
  std::map<std::string, ProbeOf> m_probes; ///< By upstream.
  std::deque<News> m_news;                 ///< Of this instance.
  bool m_known = false;                    ///< What the others hold.
  bool m_listed = false; ///< Other instances, or that none is.
  bool m_hasOthers = false;
  bool m_asking = false; ///< A peer, or the store.
  bool m_writing = false;
  std::uint64_t m_written = 0; ///< Fingerprint of what the store has.
  /** Of peers, at the last tick: one that has just changed may be about to. */
  bool m_differed = false;
  Instant m_storeAgainAt; ///< Behind a call of the store that failed.
  Instant m_began;
  Instant m_lastTick;
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
