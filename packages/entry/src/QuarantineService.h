#pragma once

#include "EntryNode.h"
#include "QuarantineShare.h"

#include <map>
#include <memory>
#include <ridgeferry/net/ConnectProbe.h>
#include <ridgeferry/quarantine/BrokenRuns.h>
#include <ridgeferry/quarantine/Quarantine.h>

namespace ridgeferry::entry {

/**
 * Keeps calls that end their upstreams from ending more: finds out which
 * upstreams ended under which calls, and decides with what the others tell.
 * With the mechanism switched off nothing is ever held. Not thread-safe.
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

  EntryNode& m_node;
  Peers& m_peers;
  quarantine::Quarantine m_quarantine;
  quarantine::BrokenRuns m_broken;
  QuarantineShare m_share;
  std::map<quarantine::CallDigest, Instant> m_triedAt;
  std::map<std::string, ProbeOf> m_probes; ///< By upstream.
  Instant m_began;
  Instant m_lastTick;
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
