#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <ridgeferry/quarantine/CallDigest.h>
#include <span>
#include <vector>

namespace ridgeferry::quarantine {

/** Records that an upstream crashed while it ran a call. */
struct CrashRecord
{
  CallDigest m_call;
  /** `IncarnationHash` of the incarnation of the upstream that crashed. */
  std::uint64_t m_incarnationHash = 0;
  /**
   * The call has completed successfully elsewhere, so this crash no longer
   * counts against it.
   */
  bool m_cleared = false;
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

/** How a crash record has changed the state of its call. */
enum class Change : std::uint8_t
{
  /**
   * There is no change to report: the record was known or is too old, or no
   * more incarnations are recorded for the call, or the clearing leaves other
   * crashes that count against the call.
   */
  None,
  /**
   * One more crash was recorded. The call was not quarantined by it: the
   * crashes are too few, or it was in quarantine already.
   */
  Suspected,
  Held,    ///< The call is quarantined from now on: it is sent to no upstream.
  Cleared, ///< The call is neither suspected nor quarantined any more.
};

/**
 * Records which calls upstreams ran when they crashed, and decides which calls
 * are quarantined, that is, are sent to no upstream any more.
 *
 * A call is quarantined once `kCrashesToQuarantine` distinct incarnations of
 * upstreams have crashed while they ran it and it has not completed
 * successfully since. The quarantine lasts for `kQuarantineTime` after the last
 * of these crashes. If all the crashes lie closer together than
 * `kCommonCauseWindow`, they may have a common cause other than the call, such
 * as a machine that the upstreams share. The quarantine is then doubted from
 * `kDoubtedAfter` after the last crash on, and a single run may test whether it
 * is justified.
 *
 * All calls that ran on an upstream that crashed are suspected alike. A run
 * that completes successfully clears its call, and a suspicion expires after
 * `kSuspicionTime`.
 *
 * Crash records merge: whatever the order and the number of copies in which
 * instances receive them, all instances come to quarantine the same calls,
 * because a crash that was cleared stays cleared. Decisions only; not
 * thread-safe.
 */
class Quarantine
{
public:
  /**
   * Number of crashes after which a call is quarantined. One crash may be
   * chance, and in two crashes the call may by coincidence have run at the same
   * time as the real cause. Each further crash would cost whatever else runs on
   * one more upstream.
   */
  static constexpr std::size_t kCrashesToQuarantine = 3;
  /**
   * From so many crashes on, a call is not retried within the same attempt of
   * its caller.
   */
  static constexpr std::size_t kCrashesToStopRetries = 2;
  /**
   * Crashes that lie closer together than this may have a common cause.
   * Upstreams that are lost together crash within milliseconds of each other,
   * and their crashes are noticed within some tens of milliseconds.
   */
  static constexpr Duration kCommonCauseWindow{ 100 };
  /**
   * Time after the last crash from which on a quarantine may be doubted. It is
   * long enough for all callers that sent the call at the same time to be
   * answered.
   */
  static constexpr Duration kDoubtedAfter{ 2000 };
  /** Lifetime of a suspicion. Callers that retry do so within minutes. */
  static constexpr Duration kSuspicionTime = std::chrono::minutes(10);
  /**
   * Duration of a quarantine. Each expiry costs `kCrashesToQuarantine`
   * upstreams if the cause still stands; operators need a day to find the
   * cause.
   */
  static constexpr Duration kQuarantineTime = std::chrono::hours(24);
  /**
   * Bounds on memory; each call takes some 200 bytes. The oldest suspected call
   * is evicted first; a quarantined call is evicted only in favour of another
   * quarantined one.
   */
  static constexpr std::size_t kMaxSuspected = 4096;
  static constexpr std::size_t kMaxQuarantined = 1024;
  /**
   * Number of incarnations recorded for each call. When they are exhausted, a
   * new crash replaces one that was cleared; if none was cleared, further
   * crashes add no information.
   */
  static constexpr std::size_t kMaxIncarnations = 8;

  /**
   * Records a crash that this instance observed or that was reported to it
   * `aAge` after it happened.
   */
  Change Note(const CrashRecord& aEnding, Instant aNow, Duration aAge = {});
  /**
   * Records that the call completed successfully. Returns its crash records
   * that this has cleared, to be sent to the peers; empty if the call was not
   * suspected.
   */
  std::vector<CrashRecord> NoteServed(const CallDigest& aCall);

  bool IsQuarantined(const CallDigest& aCall) const;
  /**
   * Returns whether the call is quarantined but its crashes may have had a
   * common cause, so that one run at a time over all instances may test it.
   */
  bool IsDoubted(const CallDigest& aCall, Instant aNow) const;
  /**
   * Returns how long the call stays quarantined from `aNow` on, or how long
   * until its quarantine is doubted, whichever applies. Returns `kDoubtedAfter`
   * if it is doubted already and 0 if the call is not quarantined.
   */
  Duration QuarantineTimeLeft(const CallDigest& aCall, Instant aNow) const;
  /**
   * Returns the number of incarnations whose crashes count against the call.
   */
  std::size_t Ends(const CallDigest& aCall) const;
  /** Returns whether no call is recorded. */
  bool IsEmpty() const { return m_calls.empty(); }
  std::size_t Held() const;
  std::size_t Suspected() const;

  /**
   * Removes expired calls. Returns those of them that were quarantined until
   * now.
   */
  std::vector<CallDigest> Tick(Instant aNow);

  /**
   * Returns at most `aMost` crash records, for an instance that starts or that
   * was cut off, or for the store. Calls with the most recorded incarnations
   * come first, then those with the latest crash.
   */
  std::vector<ReportedCrash> Snapshot(Instant aNow, std::size_t aMost) const;
  /**
   * Returns a value that is the same for two instances that quarantine the same
   * calls; 0 if no call is quarantined.
   */
  std::uint64_t Fingerprint() const;

private:
  struct Incarnation
  {
    bool m_cleared = false;
    Instant m_crashedAt;
  };
  struct Call
  {
    std::map<std::uint64_t, Incarnation>
      m_incarnations; ///< Incarnations by `IncarnationHash`.
    /**
     * Times of the first and the last crash that counted against the call, also
     * of incarnations beyond `kMaxIncarnations`.
     */
    Instant m_firstCrash;
    Instant m_lastCrash;
  };
  using Calls = std::map<CallDigest, Call>;

  static std::size_t EndsOf(const Call& aCall);
  static bool IsQuarantined(const Call& aCall)
  {
    return EndsOf(aCall) >= kCrashesToQuarantine;
  }
  /**
   * Returns whether all crashes that count against the call may have had one
   * common cause.
   */
  static bool MayHaveCommonCause(const Call& aCall)
  {
    return aCall.m_lastCrash - aCall.m_firstCrash < kCommonCauseWindow;
  }
  static void NoteCrashTime(Call& aCall, Instant aEndedAt);
  static Change AddCrash(Call& aCall,
                         std::uint64_t aIncarnation,
                         Instant aEndedAt);
  static Change Clear(Call& aCall,
                      std::uint64_t aIncarnation,
                      Instant aEndedAt);
  /**
   * Removes the oldest incarnation whose crash was cleared. Returns false if
   * there is none.
   */
  static bool ForgetCleared(Call& aCall);
  /** Returns how long after its last crash the call stays recorded. */
  static Duration KeptFor(const Call& aCall);
  void MakeRoom();
  /**
   * Evicts the call whose last crash is the oldest, among the quarantined calls
   * if `aHeld`, else among those that are not quarantined.
   */
  void ForgetOldest(bool aHeld);

  Calls m_calls;
};

} // namespace ridgeferry::quarantine
