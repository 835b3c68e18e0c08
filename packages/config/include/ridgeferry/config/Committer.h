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
  Stale,       ///< Another change came first; nothing was written.
  Unavailable, ///< Surely not written: the table could not be reached.
  Unknown,     ///< May have been written: ask later by the change's id.
};

struct HeadRead
{
  table::ReadResult m_result;
};
struct CommitAnswered
{
  table::CommitResult m_result = table::CommitResult::Unknown;
};
/** The answer to `ReadChangeRow`. */
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
/** Settles a lost answer: whose change holds that revision? */
struct ReadChangeRow
{
  std::string m_key;
};
struct SubmitDone
{
  SubmitResult m_result = SubmitResult::Unknown;
  Revision m_revision = 0; ///< Of this change, if accepted.
};
using CommitAction =
  std::variant<ReadHead, WriteChange, ReadChangeRow, SubmitDone>;

/**
 * Brings one change into the table: read the head, write the change row and
 * the new head in one transaction, and settle a lost answer by reading the
 * change row again, never by writing again. If somebody else's change comes
 * first the submission ends as `Stale`, and the caller checks its change
 * against the newer configuration before it submits anew.
 * A pure state machine for one submission; not thread-safe.
 */
class Committer
{
public:
  static constexpr int kMaxSettleReads = 5;

  /**
   * `aChange` was checked against the revision `aBase`; it is written only as
   * the direct successor of it.
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
