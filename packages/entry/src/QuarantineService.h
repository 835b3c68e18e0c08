#pragma once

#include "EntryNode.h"
#include "QuarantineShare.h"

#include <map>
#include <memory>
#include <ridgeferry/net/ConnectProbe.h>
#include <ridgeferry/quarantine/BrokenRuns.h>
#include <ridgeferry/quarantine/PromptSegment.h>
#include <ridgeferry/quarantine/Quarantine.h>
#include <span>

namespace ridgeferry::entry {

/**
 * Prevents calls that crash their upstreams from crashing more of them. Finds
 * out which upstreams crashed during which calls, and decides from that and
 * from the reports of peers which calls are quarantined, that is, sent to no
 * upstream. If the settings switch the quarantine off, no call is ever
 * quarantined. Not thread-safe.
 */
class QuarantineService
{
public:
  /** Precondition: all arguments outlive this object. */
  QuarantineService(EntryNode& aNode,
                    StoreGenerations& aGenerations,
                    Peers& aPeers,
                    PeerRows& aPeerRows);

  void Start();
  /** Returns whether this instance may accept calls: it has learned which calls
   * are quarantined, or 2 s have passed since the start without an answer. Also
   * true if the quarantine is switched off. */
  bool IsReadyForCalls() const;

  /** Returns whether any call is suspected or quarantined, or has a broken run:
   * one whose connection broke, while it is not yet known whether the upstream
   * crashed. If not, callers need not compute digests of calls. */
  bool KnowsAny() const;
  /** Returns how long the call stays quarantined, or std::nullopt if it may
   * run. */
  std::optional<Duration> QuarantineTimeLeft(
    const quarantine::CallDigest& aCall) const;
  /** Returns whether a quarantined call is to run all the same, as a trial that
   * shows whether its quarantine is justified. If so, the trial run counts as
   * started. */
  bool AllowTrialRun(const quarantine::CallDigest& aCall);
  /** Returns whether the call may be sent to a further upstream without a new
   * request of its caller. Calls with two or more suspected crashes may not. */
  bool MayRepeat(const quarantine::CallDigest& aCall) const;

  /** A send of a call to an upstream. The references must outlive the use. */
  struct Send
  {
    const quarantine::CallDigest& m_call;
    const std::string& m_upstream;
    const std::string& m_requestId; ///< For the log.
    /** For the log. */
    std::span<const quarantine::PromptSegment> m_segments = {};
  };
  /** The connection of the send broke before the answer was complete. Probes
   * whether the upstream has crashed. */
  void NoteBroken(const Send& aSend);
  /** The upstream served the call completely, which clears the call of all
   * suspicion. */
  void NoteServed(const Send& aSend);
  /** The upstream's address refused a connection, so the upstream is down. */
  void NoteRefused(const std::string& aUpstream);
  /** The upstream answered a request that was sent at `aSince`. Runs on it that
   * broke before then did not crash it. */
  void NoteAnswered(const std::string& aUpstream, Instant aSince);
  /** The upstream was removed from the list of upstreams. */
  void NoteGone(const UpstreamIncarnation& aUpstream);
  /** The list of upstreams has a later incarnation of the upstream, so all
   * earlier ones have ended. */
  void NoteLaterIncarnation(const std::string& aUpstream);

  /** Returns the number of quarantined calls. */
  std::size_t Held() const { return m_quarantine.Held(); }
  /** Returns the number of calls that are suspected and not quarantined. */
  std::size_t Suspected() const { return m_quarantine.Suspected(); }

private:
  /** A connection attempt that tests whether an upstream is still up. */
  struct ProbeOf
  {
    UpstreamIncarnation m_upstream;
    Instant m_began;
    /** Null after a probe without an answer, until the next one. */
    std::unique_ptr<net::ConnectProbe> m_probe;
  };

  void Tick();
  void Probe(const relay::Member& aMember);
  void HandleProbeResult(const std::string& aUpstream, net::Reach aReach);
  /** Records the crash of this incarnation for all calls with a broken run on
   * it, and reports these crash records to the peers. `aFrom` names the
   * evidence in the log. */
  void NoteEnded(const UpstreamIncarnation& aUpstream, std::string_view aFrom);
  /** Adds one crash record, seen first `aAge` ago, to the quarantine, and logs
   * the change. `aFrom` names its source in the log. */
  void AddRecord(const quarantine::CrashRecord& aEnding,
                 Duration aAge,
                 std::string_view aFrom);

  EntryNode& m_node;
  Peers& m_peers;
  quarantine::Quarantine m_quarantine;
  quarantine::BrokenRuns m_broken;
  QuarantineShare m_share;
  /** Start of the last trial run of each quarantined call. */
  std::map<quarantine::CallDigest, Instant> m_trialStartedAt;
  std::map<std::string, ProbeOf> m_probes; ///< By upstream.
  Instant m_began;
  Instant m_lastTick;
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
