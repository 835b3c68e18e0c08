#include "ridgeferry/relay/TableFollower.h"

#include <algorithm>
#include <set>

namespace ridgeferry::relay {

std::vector<FollowAction>
TableFollower::Handle(const FollowEvent& aEvent, Instant aNow)
{
  Actions actions;
  std::visit([&](const auto& aTyped) { On(aTyped, aNow, actions); }, aEvent);
  return actions;
}

void
TableFollower::Ask(Actions& aActions)
{
  m_asking = true;
  m_resting = false;
  if (m_needsTable) {
    aActions.emplace_back(ReadTable{});
  } else {
    aActions.emplace_back(
      ReadChanges{ m_version, m_onDuty ? kDutyWait : Duration{} });
  }
}

void
TableFollower::GoOn(Actions& aActions)
{
  if (m_onDuty || m_needsTable) {
    Ask(aActions);
    return;
  }
  m_resting = true;
  aActions.emplace_back(RetryLater{ kLongestRest });
}

void
TableFollower::NoteVersions(std::span<const FollowedRow> aRows)
{
  for (const FollowedRow& row : aRows) {
    // The answer's own version is no lower than that of any row in it.
    const std::uint64_t version =
      row.m_version == 0 ? m_version : row.m_version;
    m_changedVersion = std::max(m_changedVersion, version);
  }
}

void
TableFollower::AskAnew(Actions& aActions)
{
  m_behindSince.reset();
  aActions.emplace_back(DropRead{});
  Ask(aActions);
}

void
TableFollower::NoteAnswer(Instant aNow, Actions& aActions)
{
  m_asking = false;
  m_behindSince.reset();
  m_retry = kFirstRetry;
  if (m_grace.NoteAnswer(aNow)) {
    aActions.emplace_back(StoreBack{});
  }
}

void
TableFollower::On(const FollowBegan&, Instant, Actions& aActions)
{
  Ask(aActions);
}

void
TableFollower::On(const TableRead& aEvent, Instant aNow, Actions& aActions)
{
  NoteAnswer(aNow, aActions);
  if (m_hasRead && aEvent.m_version < m_version) {
    // An answer from before what was already told: ask again a little later.
    aActions.emplace_back(RetryLater{ kFirstRetry });
    return;
  }
  ApplyRows apply{ {}, m_grace.Until(aNow) };
  m_mayHaveLapsed = m_mayHaveLapsed || apply.m_lapsesUntil.has_value();
  std::set<std::string> present;
  for (const FollowedRow& row : aEvent.m_rows) {
    present.insert(row.m_key);
    const auto known = m_rows.find(row.m_key);
    if (known == m_rows.end() || known->second != row.m_value) {
      apply.m_rows.push_back(row);
    }
  }
  for (const auto& [key, value] : m_rows) {
    if (!present.contains(key)) {
      apply.m_rows.push_back({ key, {}, true });
    }
  }
  m_rows.clear();
  for (const FollowedRow& row : aEvent.m_rows) {
    m_rows[row.m_key] = row.m_value;
  }
  m_hasRead = true;
  m_needsTable = false;
  m_version = aEvent.m_version;
  NoteVersions(aEvent.m_rows);
  aActions.emplace_back(std::move(apply));
  GoOn(aActions);
}

void
TableFollower::On(const ChangesRead& aEvent, Instant aNow, Actions& aActions)
{
  NoteAnswer(aNow, aActions);
  const bool isNew = aEvent.m_version >= m_version && !aEvent.m_rows.empty();
  if (aEvent.m_version >= m_version) {
    m_version = aEvent.m_version;
    for (const FollowedRow& row : aEvent.m_rows) {
      if (row.m_removed) {
        m_rows.erase(row.m_key);
      } else {
        m_rows[row.m_key] = row.m_value;
      }
    }
  }
  if (!isNew) {
    GoOn(aActions);
    return;
  }
  NoteVersions(aEvent.m_rows);
  const ApplyRows apply{ aEvent.m_rows, m_grace.Until(aNow) };
  m_mayHaveLapsed = m_mayHaveLapsed || apply.m_lapsesUntil.has_value();
  aActions.emplace_back(apply);
  if (m_onDuty) {
    aActions.emplace_back(RetryLater{ kSettle });
  } else {
    GoOn(aActions);
  }
}

void
TableFollower::On(const HistoryGone&, Instant aNow, Actions& aActions)
{
  NoteAnswer(aNow, aActions);
  m_needsTable = true;
  Ask(aActions);
}

void
TableFollower::On(const ReadFailed& aEvent, Instant, Actions& aActions)
{
  m_asking = false;
  if (!m_grace.IsLost()) {
    aActions.emplace_back(StoreLost{ aEvent.m_cause });
  }
  m_grace.NoteFailure();
  aActions.emplace_back(RetryLater{ m_retry });
  m_retry = std::min(m_retry * 2, kLongestRetry);
}

void
TableFollower::On(const RetryDue&, Instant, Actions& aActions)
{
  // A timer of a rest that has ended otherwise may still come.
  if (!m_asking) {
    Ask(aActions);
  }
}

void
TableFollower::On(const PeerIsAhead& aEvent, Instant aNow, Actions& aActions)
{
  // Once for each version: what the store does not tell now it will not tell.
  const bool isNew =
    aEvent.m_version > m_version && aEvent.m_version > m_askedAnewFor;
  // A whole read takes its time, the longer the more instances make one.
  if ((!m_asking && !m_resting) || m_needsTable || !isNew) {
    return;
  }
  if (!m_behindSince) {
    m_behindSince = aNow;
    if (m_resting) {
      aActions.emplace_back(RetryLater{ kRestPatience });
    }
  } else if (m_asking && aNow - *m_behindSince >= kBehindPatience) {
    m_askedAnewFor = aEvent.m_version;
    AskAnew(aActions);
  }
}

void
TableFollower::On(const PeerLostStore&, Instant aNow, Actions&)
{
  // What is removed after this may only have lapsed, as after an own failure.
  m_grace.NotePeerLost(aNow);
}

void
TableFollower::On(const PeerReadsSteadily& aEvent,
                  Instant aNow,
                  Actions& aActions)
{
  m_grace.NotePeerSteady(aNow);
  // What is back by that version must have been read here too.
  if (m_mayHaveLapsed && aEvent.m_version <= m_changedVersion) {
    m_mayHaveLapsed = false;
    aActions.emplace_back(EndLapses{});
  }
}

void
TableFollower::On(const DutyChanged& aEvent, Instant, Actions& aActions)
{
  m_onDuty = aEvent.m_onDuty;
  if (m_onDuty && m_resting) {
    Ask(aActions);
  }
}

} // namespace ridgeferry::relay
