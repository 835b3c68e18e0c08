#include "ridgeferry/config/Committer.h"

#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::config {

Committer::Committer(Change aChange, Revision aBase)
  : m_change(std::move(aChange))
  , m_base(aBase)
{
  m_change.m_revision = m_base + 1;
}

CommitAction
Committer::Start()
{
  return ReadHead{};
}

CommitAction
Committer::Handle(const CommitEvent& aEvent)
{
  return std::visit(
    Overloaded{
      [&](const HeadRead& aRead) { return OnHead(aRead); },
      [&](const CommitAnswered& aAnswer) { return OnAnswer(aAnswer); },
      [&](const ChangeRowRead& aRead) { return OnChangeRow(aRead); } },
    aEvent);
}

CommitAction
Committer::OnHead(const HeadRead& aRead)
{
  if (aRead.m_result.m_status != table::ReadStatus::Ok) {
    return SubmitDone{ SubmitResult::Unavailable, 0 };
  }
  const auto head = DecodeHead(aRead.m_result.m_row.m_value);
  if (!head) {
    return SubmitDone{ SubmitResult::Unavailable, 0 };
  }
  if (head->m_revision != m_base) {
    return SubmitDone{ SubmitResult::Stale, head->m_revision };
  }
  table::Transaction write;
  write.m_conditions = {
    { std::string(kHeadKey), aRead.m_result.m_row.m_version },
    { ChangeKey(m_change.m_revision), 0 },
  };
  write.m_puts = {
    { std::string(kHeadKey),
      EncodeHead({ m_change.m_revision, m_change.m_id }) },
    { ChangeKey(m_change.m_revision), EncodeChange(m_change) },
  };
  return WriteChange{ std::move(write) };
}

CommitAction
Committer::OnAnswer(const CommitAnswered& aAnswer)
{
  switch (aAnswer.m_result) {
    case table::CommitResult::Committed:
      return SubmitDone{ SubmitResult::Accepted, m_change.m_revision };
    case table::CommitResult::Conflict:
      return SubmitDone{ SubmitResult::Stale, 0 };
    case table::CommitResult::NotWritten:
      return SubmitDone{ SubmitResult::Unavailable, 0 };
    case table::CommitResult::Unknown:
      return ReadChangeRow{ ChangeKey(m_change.m_revision) };
  }
  return SubmitDone{ SubmitResult::Unknown, 0 };
}

CommitAction
Committer::OnChangeRow(const ChangeRowRead& aRead)
{
  const table::ReadResult& result = aRead.m_result;
  if (result.m_status == table::ReadStatus::Ok && result.m_row.m_version != 0) {
    const auto found = DecodeChange(result.m_row.m_value);
    if (found && found->m_id == m_change.m_id) {
      return SubmitDone{ SubmitResult::Accepted, m_change.m_revision };
    }
    // Another change was committed as this revision, so this change can never
    // commit.
    return SubmitDone{ SubmitResult::Stale, 0 };
  }
  // The row is unreadable or does not exist yet. A missing row proves nothing,
  // because the write may still be on its way.
  if (++m_settleReads >= kMaxSettleReads) {
    return SubmitDone{ SubmitResult::Unknown, 0 };
  }
  return ReadChangeRow{ ChangeKey(m_change.m_revision) };
}

} // namespace ridgeferry::config
