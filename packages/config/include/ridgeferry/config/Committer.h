#pragma once

#include <ridgeferry/base/Time.h>
#include <ridgeferry/config/Change.h>
#include <ridgeferry/table/Table.h>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace ridgeferry::config {

/** How a submitted change ended. */
enum class SubmitResult
{
  Accepted,
  Stale, ///< Another change was committed first; nothing was written.
  /** The change was certainly not written: the table could not be reached. */
  Unavailable,
  /** The change may have been written: the caller can look for its id later. */
  Unknown,
};

struct HeadRead
{
  table::ReadResult m_result;
};
struct CommitAnswered
{
  table::CommitResult m_result = table::CommitResult::Unknown;
};
/** Answer to `ReadChangeRow`. */
struct ChangeRowRead
{
  table::ReadResult m_result;
};
using CommitEvent = std::variant<HeadRead, CommitAnswered, ChangeRowRead>;

struct ReadHead
{};
struct WriteChange
{
  table::Transaction m_transaction;
};
/**
 * Reads the row of the change's revision, because the answer to `WriteChange`
 * was lost. The id in the row shows which change was committed as this
 * revision.
 */
struct ReadChangeRow
{
  std::string m_key;
};
struct SubmitDone
{
  SubmitResult m_result = SubmitResult::Unknown;
  /**
   * Revision of this change if it was accepted; the revision in the head row if
   * the change was found stale before the write; else 0.
   */
  Revision m_revision = 0;
};
using CommitAction =
  std::variant<ReadHead, WriteChange, ReadChangeRow, SubmitDone>;

/**
 * Commits one change to the table. It reads the head row (see `Head`), and
 * writes the change row and the new head row in one transaction. If the answer
 * is lost, it reads the change row again to find the result and never writes
 * again. If another change is committed first, the submission ends as `Stale`,
 * and the caller must check its change against the newer configuration before
 * it submits again. A pure state machine for one submission; not thread-safe.
 */
class Committer
{
public:
  /**
   * Number of reads of the change row without a result after which the
   * submission ends as `Unknown`.
   */
  static constexpr int kMaxSettleReads = 5;

  /**
   * `aChange` must have been checked against revision `aBase`. It is written
   * only as the direct successor of that revision.
   */
  Committer(Change aChange, Revision aBase);

  CommitAction Start();
  CommitAction Handle(const CommitEvent& aEvent);

private:
  CommitAction OnHead(const HeadRead& aRead);
  CommitAction OnAnswer(const CommitAnswered& aAnswer);
  CommitAction OnChangeRow(const ChangeRowRead& aRead);

  Change m_change;
  Revision m_base;
  int m_settleReads = 0;
};

} // namespace ridgeferry::config
