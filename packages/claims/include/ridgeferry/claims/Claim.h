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
  Open,   ///< Claimed: the call may run or have run.
  NotRun, ///< The call was given up before it ran: it may be claimed anew.
  Ran,    ///< The call ran; its answer is recorded.
};

/** A whole answer of an upstream, as kept for a caller's retry. */
struct RecordedAnswer
{
  int m_status = 0;
  std::string m_contentType;
  std::string m_body;
  bool m_truncated = false; ///< Too long to keep: the body is empty.
  bool operator==(const RecordedAnswer&) const = default;
};

/** The row of one call that may not be repeated: one a team and key. */
struct ClaimRow
{
  std::string m_claim; ///< Id of the attempt that claimed it, unique for ever.
  std::uint64_t m_fingerprint = 0; ///< Hash of the call: path and body.
  ClaimState m_state = ClaimState::Open;
  RecordedAnswer m_answer;
  bool operator==(const ClaimRow&) const = default;
};

/** Longest body kept for a retry, in bytes. */
inline constexpr std::size_t kMaxRecordedBody = std::size_t{ 16 } * 1024;

std::string
ClaimKey(std::string_view aTeam, std::string_view aKey);
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
/** The call ended: its only run, or the giving up of it. */
struct CallEnded
{
  Outcome m_outcome = Outcome::MayHaveRun;
  RecordedAnswer m_answer; ///< For `Ran`.
};
/** The wait that `RecordLater` asked for is over. */
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
/** The call may be sent now: this action comes at most once. */
struct RunCall
{};
/** An earlier attempt ran: this is its answer. */
struct ReplayAnswer
{
  RecordedAnswer m_answer;
};
/** An earlier attempt of the same key may be running or have run. */
struct OpenElsewhere
{};
/** The key was used before with another call. */
struct KeyReused
{};
/**
 * The table could not be asked. This attempt was not sent; of earlier ones
 * with the same key nothing is known.
 */
struct StoreUnavailable
{};
/** `CallEnded` is settled: this outcome may be told to the caller. */
struct ClaimSettled
{
  Outcome m_outcome = Outcome::MayHaveRun;
};
/**
 * The end could not be recorded yet: `RecordDue` is wanted after this wait.
 * The outcome may be told to the caller meanwhile.
 */
struct RecordLater
{
  Duration m_wait{};
  Outcome m_outcome = Outcome::MayHaveRun;
};
/** Nothing to do. */
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
 * One attempt at a call that may not be repeated: claims its key in the table
 * before the call may be sent, and records how it ended.
 *
 * Invariants: `RunCall` comes at most once, and only after the row was seen to
 * name this attempt; of all attempts with one key at most one is open at a
 * time; `NotRun` is settled only after the row says so, so that whoever
 * retries may run the call. An end that is known is recorded again and again
 * while the table is away: an open row would tell each retry "may have run"
 * for ever. A pure state machine; not thread-safe.
 */
class Claim
{
public:
  /** Reads and writes tried before the table counts as unavailable. */
  static constexpr int kMaxTries = 4;
  /** First wait before an end is recorded again; it doubles. A quarter of a
   * second: most lost answers of the table are single ones. */
  static constexpr Duration kFirstRecordWait{ 250 };
  /** Longest such wait: a retry of the caller, who is told to come back after
   * five seconds, should find the record. */
  static constexpr Duration kLongestRecordWait{ 4000 };
  /** Rounds of recording before an end is given up: a quarter of an hour,
   * beyond the longest outage of the table that is planned for (ten minutes).
   */
  static constexpr int kMaxRecordRounds = 230;

  /** `aId` must be unique for ever. */
  Claim(std::string_view aTeam,
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
    Waiting, ///< To record again.
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
  ClaimRow m_row;               ///< What this attempt writes.
  table::Version m_version = 0; ///< Of the row as last seen.
  Step m_step = Step::Claiming;
  int m_tries = 0;
  int m_recordRounds = 0;
  Duration m_recordWait = kFirstRecordWait;
};

} // namespace ridgeferry::claims
