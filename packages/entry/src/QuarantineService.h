#pragma once

#include "EntryNode.h"
#include "QuarantineShare.h"

#include <map>
#include <memory>
#include <ridgeferry/net/ConnectProbe.h>
#include <ridgeferry/quarantine/BrokenRuns.h>
#include <ridgeferry/quarantine/PostponedCrashes.h>
#include <ridgeferry/quarantine/Quarantine.h>
#include <set>
#include <span>

namespace ridgeferry::entry {

/** Why a call is sent to no upstream at present. */
struct QuarantineHold
{
  quarantine::NamedSuspect m_heldFor;
  Duration m_left{}; ///< How long the quarantine still lasts.
};

/**
 * Prevents calls that crash their upstreams from crashing more of them. Finds
 * out which upstreams crashed during which calls, and decides from that and
 * from the reports of peers which calls, and which segments of prompts, are
 * quarantined: what names them is sent to no upstream. If the settings switch
 * the quarantine off, nothing is ever quarantined. Not thread-safe.
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

  /** Returns whether anything is suspected or quarantined, or has a broken run:
   * one whose connection broke, while it is not yet known whether the upstream
   * crashed. If not, callers need not compute digests of calls. */
  bool KnowsAny() const;
  /** Returns for which suspect of a call it is quarantined and for how long, or
   * std::nullopt if it may run. */
  std::optional<QuarantineHold> HoldOf(
    std::span<const quarantine::NamedSuspect> aSuspects) const;
  /** Returns whether a quarantined call is to run all the same, as a trial that
   * shows whether the quarantine is justified. If so, the trial run counts as
   * started. */
  bool AllowTrialRun(std::span<const quarantine::NamedSuspect> aSuspects);
  /** Returns whether a call may be sent to a further upstream without a new
   * request of its caller. One that names a suspect with two or more crashes
   * may not. */
  bool MayRepeat(std::span<const quarantine::NamedSuspect> aSuspects) const;

  /** A send of a call to an upstream. What it refers to must outlive the use.
   */
  struct Send
  {
    /** The suspects that the call names, the deepest first. */
    std::span<const quarantine::NamedSuspect> m_suspects;
    const std::string& m_upstream;
    const std::string& m_requestId; ///< For the log.
  };
  /** The connection of the send broke before the answer was complete. Probes
   * whether the upstream has crashed. */
  void NoteBroken(const Send& aSend);
  /** The upstream served the call completely, which clears all that the call
   * names of suspicion. */
  void NoteServed(const Send& aSend);
  /** An upstream served a call with these segments completely. To be used in
   * place of `NoteServed` while `KnowsAny` does not hold. */
  void NoteServed(std::span<const quarantine::PromptSegment> aSegments);
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
  std::size_t HeldCalls() const;
  /** Returns the number of quarantined segments of prompts. */
  std::size_t HeldSegments() const;
  /** Returns the number of suspects that are not quarantined. */
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
  /** Records the crash of this incarnation for all suspects with a broken run
   * on it, and reports these crash records to the peers. `aFrom` names the
   * evidence in the log. */
  void NoteEnded(const UpstreamIncarnation& aUpstream, std::string_view aFrom);
  /** Adds crash records of this instance and reports them to the peers. */
  void AddOwnRecords(std::span<const quarantine::ReportedCrash> aEndings,
                     std::string_view aFrom);
  /** Adds one crash record, seen first `aAge` ago, to the quarantine, and logs
   * the change. `aFrom` names its source in the log. */
  void AddRecord(const quarantine::CrashRecord& aEnding,
                 Duration aAge,
                 std::string_view aFrom);
  /** Logs which suspects are no longer quarantined since the last use. */
  void LogReleased();
  /** Returns whether this instance may start a trial run for a suspect now. */
  bool IsTrialDue(const quarantine::Suspect& aSuspect) const;

  EntryNode& m_node;
  Peers& m_peers;
  quarantine::Quarantine m_quarantine;
  quarantine::BrokenRuns m_broken;
  quarantine::PostponedCrashes m_postponed;
  QuarantineShare m_share;
  /** Start of the last trial run of each quarantined suspect. */
  std::map<quarantine::Suspect, Instant> m_trialStartedAt;
  /** Quarantined when `LogReleased` was used last. */
  std::set<quarantine::Suspect> m_wereHeld;
  std::map<std::string, ProbeOf> m_probes; ///< By upstream.
  Instant m_began;
  Instant m_lastTick;
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
