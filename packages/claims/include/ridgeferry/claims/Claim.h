#pragma once

#include <cstdint>
#include <ridgeferry/base/Outcome.h>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/table/Table.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace ridgeferry::claims {

enum class ClaimState
{
  Open, ///< The key is claimed: the call may be running or may have run.
  /** The call was given up before it ran: the key may be claimed again. */
  NotRun,
  Ran, ///< The call ran, and the row holds its answer.
};

/** A complete answer of an upstream, as recorded for a retry by the caller. */
struct RecordedAnswer
{
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
  /** The body was longer than `kMaxRecordedBody` and was left out. */
  bool m_truncated = false;
  bool operator==(const RecordedAnswer&) const = default;
};

/**
 * The table row of one call that must not run twice. There is one row for each
 * organisation and idempotency key.
 */
struct ClaimRow
{
  /** Id of the attempt that claimed the key. It is never used again. */
  std::string m_claim;
  /** Hash of the path and the body of the call. */
  std::uint64_t m_fingerprint = 0;
  ClaimState m_state = ClaimState::Open;
  RecordedAnswer m_answer;
  bool operator==(const ClaimRow&) const = default;
};

/**
 * Maximum size, in bytes, of an answer body that is recorded in the claim row,
 * so that a caller who retries gets the same answer. A longer body is left out;
 * see `RecordedAnswer::m_truncated`.
 */
inline constexpr std::size_t kMaxRecordedBody = std::size_t{ 16 } * 1024;

std::string
ClaimKey(std::string_view aOrganisation, std::string_view aKey);
std::string
EncodeClaim(const ClaimRow& aRow);
tl::expected<ClaimRow, std::string>
DecodeClaim(std::string_view aValue);

/** Answer to `ReadClaim`. */
struct ClaimRead
{
  table::ReadResult m_result;
};
/** Answer to `WriteClaim`. */
struct ClaimWritten
{
  table::CommitResult m_result = table::CommitResult::Unknown;
};
/**
 * The call has ended: either its only run did, or it was given up before it
 * ran.
 */
struct CallEnded
{
  Outcome m_outcome = Outcome::MayHaveRun;
  /** Answer of the upstream; used only if the outcome is `Ran`. */
  RecordedAnswer m_answer;
};
/** The wait that `RecordLater` requested is over. */
struct RecordDue
{};
using ClaimEvent = std::variant<ClaimRead, ClaimWritten, CallEnded, RecordDue>;

struct ReadClaim
{
  std::string m_key;
};
struct WriteClaim
{
  table::Transaction m_transaction;
};
/** The call may be sent now. A claim returns this action at most once. */
struct RunCall
{};
/**
 * An earlier attempt with the same key ran the call; this is the recorded
 * answer.
 */
struct ReplayAnswer
{
  RecordedAnswer m_answer;
};
/**
 * An earlier attempt with the same key may be running the call or may have run
 * it.
 */
struct OpenElsewhere
{};
/** The key was used before with a different call. */
struct KeyReused
{};
/**
 * The table could not be reached. This attempt was not sent; whether earlier
 * attempts with the same key ran is not known.
 */
struct StoreUnavailable
{};
/**
 * The end of the call is settled: this outcome may be reported to the caller.
 */
struct ClaimSettled
{
  Outcome m_outcome = Outcome::MayHaveRun;
};
/**
 * The end of the call could not be recorded yet. The owner must send
 * `RecordDue` after this wait and may report the outcome to the caller before
 * that.
 */
struct RecordLater
{
  Duration m_wait{};
  Outcome m_outcome = Outcome::MayHaveRun;
};
/** The event requires no action. */
struct NoClaimAction
{};
using ClaimAction = std::variant<ReadClaim,
                                 WriteClaim,
                                 RunCall,
                                 ReplayAnswer,
                                 OpenElsewhere,
                                 KeyReused,
                                 StoreUnavailable,
                                 ClaimSettled,
                                 RecordLater,
                                 NoClaimAction>;

/**
 * One attempt at a call that must not run twice. It claims the key of the call
 * in the table before the call may be sent, and records how the call ended.
 *
 * Invariants: `RunCall` is returned at most once, and only after the row was
 * seen to name this attempt. Of all attempts with one key, at most one is open
 * at a time. `NotRun` is settled only after the row says so, so that whoever
 * retries may run the call. A known end is recorded again and again while the
 * table is unavailable, because an open row would answer every retry with "may
 * have run" for ever. A pure state machine; not thread-safe.
 */
class Claim
{
public:
  /** Number of reads after which the table counts as unavailable. */
  static constexpr int kMaxTries = 4;
  /**
   * First wait before an end is recorded again; each further wait is twice as
   * long. It is a quarter of a second because most lost answers of the table
   * are isolated.
   */
  static constexpr Duration kFirstRecordWait{ 250 };
  /**
   * Maximum wait before an end is recorded again. A caller is told to retry
   * after five seconds; it should find the record by then.
   */
  static constexpr Duration kLongestRecordWait{ 4000 };
  /**
   * Number of rounds of recording after which the claim gives up. They last a
   * quarter of an hour, which is longer than the longest outage of the table
   * that is planned for (ten minutes).
   */
  static constexpr int kMaxRecordRounds = 230;

  /** `aId` must never be used for another attempt. */
  Claim(std::string_view aOrganisation,
        std::string_view aKey,
        std::string aId,
        std::uint64_t aFingerprint);

  ClaimAction Start();
  ClaimAction Handle(const ClaimEvent& aEvent);

private:
  enum class Step
  {
    Claiming,
    Running,
    Recording,
    Waiting, ///< Waits until the end is to be recorded again.
    Done,
  };

  ClaimAction OnRead(const ClaimRead& aRead);
  ClaimAction OnReadWhileClaiming(const ClaimRow& aRow);
  ClaimAction OnReadWhileRecording(const ClaimRow& aRow);
  ClaimAction OnWritten(const ClaimWritten& aWritten);
  ClaimAction OnEnded(const CallEnded& aEnded);
  ClaimAction OnRecordDue();
  ClaimAction Write();
  ClaimAction Read();
  ClaimAction GiveUp();
  ClaimAction RecordAgain();
  Outcome KnownOutcome() const;
  ClaimAction Run();
  ClaimAction Finish(Outcome aOutcome);

  std::string m_key;
  ClaimRow m_row;               ///< Row that this attempt writes.
  table::Version m_version = 0; ///< Version of the row as last read or written.
  Step m_step = Step::Claiming;
  int m_tries = 0;
  int m_recordRounds = 0;
  Duration m_recordWait = kFirstRecordWait;
};

} // namespace ridgeferry::claims
