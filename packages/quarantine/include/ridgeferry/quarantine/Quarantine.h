#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <ridgeferry/quarantine/ServedSegments.h>
#include <ridgeferry/quarantine/Suspect.h>
#include <set>
#include <span>
#include <vector>

namespace ridgeferry::quarantine {

/** Records that an upstream crashed while it ran a request that names the
 * suspect. */
struct CrashRecord
{
  Suspect m_suspect;
  /** `IncarnationHash` of the incarnation of the upstream that crashed. */
  std::uint64_t m_incarnationHash = 0;
  /**
   * A request that names the suspect has completed successfully elsewhere, so
   * this crash no longer counts against it.
   */
  bool m_cleared = false;
  Depth m_depth = kCallDepth; ///< Of the suspect in the request.
  bool operator==(const CrashRecord&) const = default;
};

/** A crash record received from another instance or read from the store. */
struct ReportedCrash
{
  CrashRecord m_record;
  /** Upper bound on the time since the crash was first observed. */
  Duration m_age{};
};

/**
 * Returns a hash of the upstream's incarnation that is the same at all
 * instances. Thread-safe.
 */
std::uint64_t
IncarnationHash(const UpstreamIncarnation& aUpstream);

/** How a crash record has changed the state of its suspect. */
enum class Change : std::uint8_t
{
  /**
   * There is no change to report: the record was known or is too old, or no
   * more incarnations are recorded for the suspect, or the clearing leaves
   * other crashes that count against it.
   */
  None,
  /**
   * One more crash was recorded. The suspect was not quarantined by it: the
   * crashes are too few or accounted for, or it was in quarantine already.
   */
  Suspected,
  Held,    ///< The suspect is quarantined from now on.
  Cleared, ///< The suspect is neither suspected nor quarantined any more.
};

/**
 * Records what the requests named that upstreams ran when they crashed, and
 * decides which suspects are quarantined. A request that names one of those is
 * sent to no upstream any more.
 *
 * A suspect is quarantined once `kCrashesToQuarantine` distinct incarnations of
 * upstreams have crashed while they ran requests that name it, and none of
 * these requests has completed successfully since. The quarantine lasts for
 * `kQuarantineTime` after the last of these crashes.
 *
 * All that ran on an upstream that crashed is suspected alike, so evidence of
 * innocence decides: a run that completes successfully clears all suspects that
 * its request names, and a suspicion expires after `kSuspicionTime`. Crashes
 * that a quarantined suspect accounts for do not quarantine what stands before
 * it in the prompt: a segment that is shared by sound requests would be shut
 * out with it. Only `kUnexplainedCrashes` beyond those do.
 *
 * A quarantine that may be wrong is doubted after a while, and a single run may
 * then test whether it is justified: if all the crashes lie closer together
 * than `kCommonCauseWindow`, they may have another cause, such as a machine
 * that the upstreams share; and a segment with fewer than `kCrashesToBeSure`
 * crashes may have run beside the true cause by chance.
 *
 * Crash records merge: whatever the order and the number of copies in which
 * instances receive them, all instances come to quarantine the same suspects,
 * because a crash that was cleared stays cleared. Decisions only; not
 * thread-safe.
 */
class Quarantine
{
public:
  /**
   * Number of crashes after which a suspect is quarantined. One crash may be
   * chance, and in two crashes it may by coincidence have run at the same time
   * as the real cause. Each further crash would cost whatever else runs on one
   * more upstream.
   */
  static constexpr std::size_t kCrashesToQuarantine = 3;
  /**
   * From so many crashes on, a call is not retried within the same attempt of
   * its caller.
   */
  static constexpr std::size_t kCrashesToStopRetries = 2;
  /**
   * Number of crashes that quarantine a segment beside a quarantined suspect
   * that accounts for its other crashes. One may be chance.
   */
  static constexpr std::size_t kUnexplainedCrashes = 2;
  /**
   * A segment with so many crashes and no complete run in between has hardly
   * run beside the cause of all of them by chance.
   */
  static constexpr std::size_t kCrashesToBeSure = 5;
  /**
   * Crashes that lie closer together than this may have a common cause.
   * Upstreams that are lost together crash within milliseconds of each other,
   * and their crashes are noticed within some tens of milliseconds.
   */
  static constexpr Duration kCommonCauseWindow{ 100 };
  /**
   * Time after the last crash from which on a quarantine may be doubted because
   * of a common cause. It is long enough for all callers that sent the request
   * at the same time to be answered.
   */
  static constexpr Duration kDoubtedAfter{ 2000 };
  /**
   * The same for a segment with fewer than `kCrashesToBeSure` crashes. If it is
   * the cause, each test costs one more upstream.
   */
  static constexpr Duration kSegmentDoubtedAfter{ 30'000 };
  /** Lifetime of a suspicion. Callers that retry do so within minutes. */
  static constexpr Duration kSuspicionTime = std::chrono::minutes(10);
  /**
   * Duration of a quarantine. Each expiry costs `kCrashesToQuarantine`
   * upstreams if the cause still stands; operators need a day to find the
   * cause.
   */
  static constexpr Duration kQuarantineTime = std::chrono::hours(24);
  /**
   * Bounds on memory; each suspect takes some 200 bytes. The oldest suspects
   * are evicted first; a quarantined one is evicted only in favour of another
   * quarantined one.
   */
  static constexpr std::size_t kMaxSuspected = 4096;
  static constexpr std::size_t kMaxQuarantined = 1024;
  /**
   * Number of incarnations recorded for each suspect. When they are exhausted,
   * a new crash replaces one that was cleared; if none was cleared, further
   * crashes add no information.
   */
  static constexpr std::size_t kMaxIncarnations = 8;

  /**
   * Records a crash that this instance observed or that was reported to it
   * `aAge` after it happened. Records of one crash should come with the deepest
   * suspects first, which account for it.
   */
  Change Note(const CrashRecord& aEnding, Instant aNow, Duration aAge = {});
  /**
   * Records that a request that names the suspect completed successfully.
   * Returns the crash records that this has cleared, to be sent to the peers;
   * empty if it was not suspected.
   */
  std::vector<CrashRecord> NoteServed(const Suspect& aSuspect, Instant aNow);
  /**
   * Returns whether a request that names the segment completed successfully at
   * or after `aSince`, as far as `ServedSegments` reaches back.
   */
  bool WasServedSince(const Suspect& aSuspect, Instant aSince) const;

  bool IsQuarantined(const Suspect& aSuspect) const
  {
    return m_held.contains(aSuspect);
  }
  /**
   * Returns whether the suspect is quarantined but may be innocent, so that one
   * run at a time over all instances may test it.
   */
  bool IsDoubted(const Suspect& aSuspect, Instant aNow) const;
  /**
   * Returns how long the suspect stays quarantined from `aNow` on, or how long
   * until its quarantine is doubted, whichever applies. Returns `kDoubtedAfter`
   * if it is doubted already and 0 if the suspect is not quarantined.
   */
  Duration QuarantineTimeLeft(const Suspect& aSuspect, Instant aNow) const;
  /**
   * Returns the number of incarnations whose crashes count against the suspect.
   */
  std::size_t Ends(const Suspect& aSuspect) const;
  /** Returns whether no crash is recorded. */
  bool IsEmpty() const { return m_suspects.empty(); }
  /** Returns the quarantined suspects; valid until the next change. */
  const std::set<Suspect>& Held() const { return m_held; }
  /** Returns the number of suspects that are not quarantined. */
  std::size_t Suspected() const;

  /**
   * Removes expired suspects. Returns those of them that were quarantined until
   * now.
   */
  std::vector<Suspect> Tick(Instant aNow);

  /**
   * Returns at most `aMost` crash records, for an instance that starts or that
   * was cut off, or for the store. Suspects with the most recorded incarnations
   * come first, then those with the latest crash.
   */
  std::vector<ReportedCrash> Snapshot(Instant aNow, std::size_t aMost) const;
  /**
   * Returns a value that is the same for two instances that quarantine the same
   * suspects; 0 if none is quarantined.
   */
  std::uint64_t Fingerprint() const { return m_fingerprint; }

private:
  struct Incarnation
  {
    bool m_cleared = false;
    Instant m_crashedAt;
  };
  struct Evidence
  {
    std::map<std::uint64_t, Incarnation>
      m_incarnations; ///< Incarnations by `IncarnationHash`.
    /**
     * Times of the first and the last crash that counted against the suspect,
     * also of incarnations beyond `kMaxIncarnations`.
     */
    Instant m_firstCrash;
    Instant m_lastCrash;
    Depth m_depth = 0; ///< The greatest of all its records.
  };
  using Suspects = std::map<Suspect, Evidence>;

  static std::size_t EndsOf(const Evidence& aEvidence);
  /**
   * Returns whether all crashes that count against the suspect may have had one
   * common cause.
   */
  static bool MayHaveCommonCause(const Evidence& aEvidence)
  {
    return aEvidence.m_lastCrash - aEvidence.m_firstCrash < kCommonCauseWindow;
  }
  static void NoteCrashTime(Evidence& aEvidence, Instant aEndedAt);
  /** Returns whether a crash was added that counts. */
  static bool AddCrash(Evidence& aEvidence,
                       const CrashRecord& aEnding,
                       Instant aEndedAt);
  /** Returns whether a crash no longer counts. */
  static bool Clear(Evidence& aEvidence,
                    const CrashRecord& aEnding,
                    Instant aEndedAt);
  /**
   * Removes the oldest incarnation whose crash was cleared. Returns false if
   * there is none.
   */
  static bool ForgetCleared(Evidence& aEvidence);
  /** Returns how long after its last crash the suspect stays recorded. */
  static Duration KeptFor(const Evidence& aEvidence);
  /** Returns how long after its last crash the quarantine is doubted;
   * `kQuarantineTime` if never. */
  static Duration DoubtedAfter(const Suspect& aSuspect,
                               const Evidence& aEvidence);
  void MakeRoom();
  /**
   * Evicts the suspects whose last crashes are the oldest: one that is
   * quarantined if `aHeld`, else an eighth of those that are not.
   */
  void ForgetOldest(bool aHeld);
  /** Must be called when the crashes that count against the suspect have
   * changed: decides anew which suspects are quarantined. */
  void Review(const Suspect& aSuspect);
  void Hold(const Suspect& aSuspect);

  Suspects m_suspects;
  /** Suspects with crashes enough for a quarantine. */
  std::set<Suspect> m_candidates;
  std::set<Suspect> m_held;
  std::uint64_t m_fingerprint = 0;
  ServedSegments m_served;
};

} // namespace ridgeferry::quarantine
