#include "ridgeferry/config/Replica.h"

#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::config {

std::vector<ReplicaAction>
Replica::Handle(const ReplicaEvent& aEvent, Instant aNow)
{
  Actions actions;
  std::visit(
    Overloaded{ [&](const RevisionSeen& aSeen) { OnRevisionSeen(aSeen); },
                [&](const ChangesArrived& aArrived) {
                  m_fetchStarted.reset();
                  OnChanges(aArrived, actions);
                },
                [&](const SnapshotArrived& aSnapshot) {
                  m_fetchStarted.reset();
                  OnSnapshot(aSnapshot, actions);
                },
                [&](const FetchFailed&) {
                  m_fetchStarted.reset();
                  // The next fetch goes to the table, which holds every
                  // accepted change. The peer may have gone.
                  m_source.clear();
                },
                [](const ReplicaTick&) {} },
    aEvent);
  // After a failed fetch the replica waits for the next tick, so that during an
  // outage of the table it polls at the rate of the ticks and not in a tight
  // loop.
  if (!std::holds_alternative<FetchFailed>(aEvent)) {
    FetchIfBehind(aNow, actions);
  }
  return actions;
}

void
Replica::OnRevisionSeen(const RevisionSeen& aSeen)
{
  if (aSeen.m_revision <= m_revision || aSeen.m_revision < m_highestSeen) {
    return;
  }
  m_highestSeen = aSeen.m_revision;
  m_source = aSeen.m_peer;
}

void
Replica::OnChanges(const ChangesArrived& aArrived, Actions& aActions)
{
  for (const Change& change : aArrived.m_changes) {
    if (change.m_revision > m_revision) {
      m_pending.insert_or_assign(change.m_revision, change);
    }
  }
  ApplyPending(aActions);
}

void
Replica::OnSnapshot(const SnapshotArrived& aSnapshot, Actions& aActions)
{
  if (aSnapshot.m_revision <= m_revision) {
    return; // An old snapshot must never revert the configuration.
  }
  std::vector<declared::Edit> edits;
  edits.reserve(aSnapshot.m_objects.size());
  for (const auto& [key, text] : aSnapshot.m_objects) {
    edits.emplace_back(declared::PutObject{ key, text });
  }
  declared::Catalog fresh;
  if (const auto applied = fresh.Apply(edits); !applied) {
    aActions.emplace_back(ApplyFailed{ aSnapshot.m_revision, applied.error() });
    return;
  }
  m_catalog = std::move(fresh);
  m_revision = aSnapshot.m_revision;
  m_highestSeen = std::max(m_highestSeen, m_revision);
  aActions.emplace_back(RevisionApplied{ m_revision });
  ApplyPending(aActions);
}

void
Replica::ApplyPending(Actions& aActions)
{
  m_pending.erase(m_pending.begin(), m_pending.upper_bound(m_revision));
  while (!m_pending.empty() && m_pending.begin()->first == m_revision + 1) {
    const Change& change = m_pending.begin()->second;
    if (const auto applied = m_catalog.Apply(change.m_edits); !applied) {
      aActions.emplace_back(ApplyFailed{ change.m_revision, applied.error() });
      return;
    }
    m_revision = change.m_revision;
    m_highestSeen = std::max(m_highestSeen, m_revision);
    m_pending.erase(m_pending.begin());
    aActions.emplace_back(RevisionApplied{ m_revision });
  }
}

void
Replica::FetchIfBehind(Instant aNow, Actions& aActions)
{
  const bool waiting = m_fetchStarted && aNow - *m_fetchStarted < kFetchTimeout;
  if (m_revision >= m_highestSeen || waiting) {
    return;
  }
  m_fetchStarted = aNow;
  aActions.emplace_back(FetchChanges{ m_revision, m_source });
}

} // namespace ridgeferry::config
