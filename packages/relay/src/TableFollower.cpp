#include "ridgeferry/relay/TableFollower.h"

#include <algorithm>
#include <utility>

namespace ridgeferry::relay {

TableFollower::TableFollower(KeepsKnown aKeeps)
  : m_table(std::move(aKeeps))
{
}

std::vector<FollowAction>
TableFollower::Handle(const FollowEvent& aEvent, Instant aNow)
{
  Actions actions;
  std::visit([&](const auto& aTyped) { On(aTyped, aNow, actions); }, aEvent);
  return actions;
}

void
TableFollower::Ask(Instant aNow, Actions& aActions)
{
  const bool isHeld = m_isPoller && !m_grace.IsLost();
  Ask(aNow, isHeld ? kPollWait : Duration{}, aActions);
}

void
TableFollower::Ask(Instant aNow, Duration aWait, Actions& aActions)
{
  m_isReading = true;
  m_askedAt = aNow;
  m_isOnStandby = false;
  if (m_needsTable) {
    // An instance that already serves retries an unresponsive store sooner.
    const bool isProbe = m_hasRead && m_grace.IsLost();
    aActions.emplace_back(
      ReadTable{ isProbe ? kResponseMargin : kPageTimeout });
    return;
  }
  m_askedAfter = m_table.Position();
  aActions.emplace_back(
    ReadChanges{ m_askedAfter, aWait, aWait + kResponseMargin });
}

RetryLater
TableFollower::NextTry(Instant aNow) const
{
  if (!m_isDesignatedPoller && m_hasRead) {
    return { kMinStandbyRetry, kMaxStandbyRetry - kMinStandbyRetry };
  }
  const Duration taken = aNow - m_askedAt;
  return { std::max(Duration{}, m_retry - taken), {} };
}

void
TableFollower::AskAPeer(Duration aWithin, Actions& aActions)
{
  m_isAskingPeer = true;
  aActions.emplace_back(AskPeer{ PositionForPeers(), aWithin });
}

StorePosition
TableFollower::PositionForPeers() const
{
  return m_needsTable ? StorePosition{ m_generation, 0 } : m_table.Position();
}

bool
TableFollower::RaiseGeneration(StoreGeneration aGeneration, Instant aNow)
{
  if (aGeneration <= m_generation) {
    return false;
  }
  m_generation = aGeneration;
  m_needsTable = true;
  if (m_hasRead) {
    m_grace.NoteCopy(aNow);
  }
  return true;
}

void
TableFollower::FollowGeneration(Instant aNow, Actions& aActions)
{
  if (m_grace.IsLost()) {
    if (!m_isAskingPeer) {
      AskAPeer(kAskSpread, aActions); // The next read is already scheduled.
    }
    return;
  }
  // A read that is under way was sent to the previous generation and may have
  // been lost with it.
  if (std::exchange(m_isReading, false)) {
    aActions.emplace_back(CancelRead{});
  }
  if (m_isPoller) {
    Ask(aNow, aActions);
    return;
  }
  m_isOnStandby = false;
  m_behindSince = aNow;
  aActions.emplace_back(RetryLater{ kAskPeerTimeout });
  if (!m_isAskingPeer) {
    AskAPeer(kAskSpread, aActions);
  }
}

void
TableFollower::ScheduleNextRead(Instant aNow, Actions& aActions)
{
  if (m_isPoller || m_needsTable) {
    Ask(aNow, aActions);
    return;
  }
  m_isOnStandby = true;
  aActions.emplace_back(RetryLater{ kStandbyTimeout });
}

void
TableFollower::ReissueRead(Instant aNow, Actions& aActions)
{
  m_behindSince.reset();
  aActions.emplace_back(CancelRead{});
  // A change is known to exist, so a store that serves this instance answers at
  // once. A store that does not serve it is detected two seconds sooner than by
  // a read that the store may hold open.
  Ask(aNow, Duration{}, aActions);
  if (!m_isAskingPeer) {
    AskAPeer(kAskSpread, aActions);
  }
}

void
TableFollower::AskForTable(Instant aNow, Actions& aActions)
{
  if (m_isAskingPeer) {
    return;
  }
  if (!m_isReading) {
    // Reading the whole table from the store takes time, and the more instances
    // do so, the longer it takes. A peer answers sooner.
    AskAPeer({}, aActions);
    return;
  }
  if (!m_hasRead) {
    return;
  }
  // One case must not wait for the store: this instance already serves from the
  // rows it holds, and the store may be rejecting this instance alone.
  if (!m_behindSince) {
    m_behindSince = aNow;
  } else if (aNow - *m_behindSince >= kBehindTimeout) {
    AskAPeer(kAskSpread, aActions);
  }
}

void
TableFollower::NoteAnswer(Instant aNow, Actions& aActions)
{
  m_isReading = false;
  m_behindSince.reset();
  m_retry = kFirstRetry;
  if (m_grace.NoteAnswer(aNow)) {
    aActions.emplace_back(StoreBack{ aNow - m_lostAt });
  }
}

void
TableFollower::TakeTable(std::span<const FollowedRow> aRows,
                         StorePosition aPosition,
                         Instant aNow,
                         Actions& aActions)
{
  const StorePosition before = m_table.Position();
  const bool isCopy = m_hasRead && aPosition.m_generation > before.m_generation;
  m_hasRead = true;
  m_needsTable = false;
  m_reportedOldAnswer = false;
  ApplyRows rows{ m_table.Replace(aRows, aPosition), m_grace.Until(aNow) };
  if (isCopy) {
    rows.m_positionBeforeCopy = before;
  }
  aActions.emplace_back(std::move(rows));
}

void
TableFollower::RejectAnswer(StorePosition aPosition, Actions& aActions)
{
  if (!std::exchange(m_reportedOldAnswer, true)) {
    aActions.emplace_back(AnswerIsOld{ aPosition });
  }
}

void
TableFollower::TakeChanges(std::span<const FollowedRow> aRows,
                           StorePosition aPosition,
                           Instant aNow,
                           Actions& aActions)
{
  m_table.Apply(aRows, aPosition);
  if (!aRows.empty()) {
    aActions.emplace_back(
      ApplyRows{ { aRows.begin(), aRows.end() }, m_grace.Until(aNow) });
  }
}

void
TableFollower::On(const FollowStarted&, Instant, Actions& aActions)
{
  aActions.emplace_back(RetryLater{ kStartTimeout });
}

void
TableFollower::On(const PeersListed& aEvent, Instant aNow, Actions& aActions)
{
  if (!m_needsTable || m_isReading || m_isAskingPeer) {
    return;
  }
  if (aEvent.m_any) {
    AskAPeer({}, aActions);
  } else {
    Ask(aNow, aActions);
  }
}

void
TableFollower::On(const PeerAnswered& aEvent, Instant aNow, Actions& aActions)
{
  const TableSlice& slice = aEvent.m_slice;
  RaiseGeneration(slice.m_position.m_generation, aNow);
  const bool isNewer = slice.m_position > m_table.Position() &&
                       slice.m_position.m_generation >= m_generation;
  if (!m_isAskingPeer || !isNewer || (m_needsTable && !slice.m_whole)) {
    On(PeerFailed{}, aNow, aActions);
    return;
  }
  m_isAskingPeer = false;
  m_behindSince.reset();
  if (slice.m_whole) {
    TakeTable(slice.m_rows, slice.m_position, aNow, aActions);
  } else {
    TakeChanges(slice.m_rows, slice.m_position, aNow, aActions);
  }
  // While the reads of this instance fail, the next one is already scheduled.
  if (!m_isReading && !m_grace.IsLost()) {
    ScheduleNextRead(aNow, aActions);
  }
}

void
TableFollower::On(const PeerFailed&, Instant, Actions& aActions)
{
  if (!std::exchange(m_isAskingPeer, false) || m_isReading ||
      m_grace.IsLost()) {
    return;
  }
  if (!m_needsTable || m_hasRead) {
    if (m_behindSince) {
      // Peers are asked again and again until `kAskPeerTimeout` is over.
      AskAPeer(kAskSpread, aActions);
    }
  } else if (++m_startTries < kStartTries) {
    AskAPeer({}, aActions);
  }
}

void
TableFollower::On(const TableRead& aEvent, Instant aNow, Actions& aActions)
{
  NoteAnswer(aNow, aActions);
  RaiseGeneration(aEvent.m_position.m_generation, aNow);
  const bool isOld = aEvent.m_position.m_generation < m_generation ||
                     (m_hasRead && aEvent.m_position < m_table.Position());
  if (isOld) {
    // The answer is older than the table held here, or of an earlier generation
    // than one already seen. The store is asked again a little later.
    RejectAnswer(aEvent.m_position, aActions);
    aActions.emplace_back(RetryLater{ kFirstRetry });
    return;
  }
  TakeTable(aEvent.m_rows, aEvent.m_position, aNow, aActions);
  ScheduleNextRead(aNow, aActions);
}

void
TableFollower::On(const ChangesRead& aEvent, Instant aNow, Actions& aActions)
{
  NoteAnswer(aNow, aActions);
  const StorePosition told = aEvent.m_position;
  RaiseGeneration(told.m_generation, aNow);
  if (told.m_generation < m_generation) {
    RejectAnswer(told, aActions);
    aActions.emplace_back(RetryLater{ kFirstRetry });
    return;
  }
  // Changes after a version of another generation are incomplete. This also
  // holds if a peer has delivered the present generation since the changes were
  // requested.
  const bool hasGap = m_askedAfter.m_generation != told.m_generation;
  const bool isOld = m_needsTable || hasGap || told < m_table.Position();
  if (isOld || aEvent.m_rows.empty()) {
    if (!isOld) {
      TakeChanges({}, told, aNow, aActions);
    }
    ScheduleNextRead(aNow, aActions);
    return;
  }
  TakeChanges(aEvent.m_rows, told, aNow, aActions);
  if (m_isPoller) {
    aActions.emplace_back(RetryLater{ kSettle });
  } else {
    ScheduleNextRead(aNow, aActions);
  }
}

void
TableFollower::On(const HistoryLost& aEvent, Instant aNow, Actions& aActions)
{
  NoteAnswer(aNow, aActions);
  RaiseGeneration(aEvent.m_generation, aNow);
  m_needsTable = true;
  Ask(aNow, aActions);
}

void
TableFollower::On(const GenerationSeen& aEvent, Instant aNow, Actions& aActions)
{
  // Before the first read, a read of the whole table is due in any case.
  if (RaiseGeneration(aEvent.m_generation, aNow) && m_hasRead) {
    FollowGeneration(aNow, aActions);
  }
}

void
TableFollower::On(const ReadFailed& aEvent, Instant aNow, Actions& aActions)
{
  m_isReading = false;
  if (!m_grace.IsLost()) {
    m_lostAt = aNow;
    aActions.emplace_back(StoreLost{ aEvent.m_cause });
  }
  m_grace.NoteFailure(aNow);
  aActions.emplace_back(NextTry(aNow));
  m_retry = std::min(m_retry * 2, kLongestRetry);
}

void
TableFollower::On(const RetryDue&, Instant aNow, Actions& aActions)
{
  // A timer that was set for standby may still fire after standby has ended for
  // another reason.
  if (m_isReading) {
    return;
  }
  const bool mayWait = !m_hasRead && !m_isPoller && !m_grace.IsLost();
  if (mayWait && !std::exchange(m_startTimedOut, true)) {
    aActions.emplace_back(RetryLater{ kStartTimeout });
    return;
  }
  Ask(aNow, aActions);
}

void
TableFollower::On(const PeerIsAhead& aEvent, Instant aNow, Actions& aActions)
{
  const StorePosition told = aEvent.m_position;
  if (RaiseGeneration(told.m_generation, aNow) && m_hasRead) {
    FollowGeneration(aNow, aActions);
    return;
  }
  const bool isOld = told.m_generation < m_generation;
  if (isOld || told <= m_table.Position()) {
    return;
  }
  if (m_needsTable) {
    AskForTable(aNow, aActions);
    return;
  }
  if (std::exchange(m_isOnStandby, false)) {
    m_behindSince = aNow;
    aActions.emplace_back(RetryLater{ kAskPeerTimeout });
    AskAPeer(kAskSpread, aActions);
    return;
  }
  if (m_grace.IsLost()) {
    // That peer is served by the store, or was before this instance's outage.
    // It can pass on a change that the store may withhold from this instance
    // for long, whichever read is sent.
    if (!m_isAskingPeer) {
      AskAPeer(kAskSpread, aActions);
    }
    return;
  }
  if (!m_isReading) {
    return;
  }
  // A read is sent again only once for each version. If the store does not
  // return the change then, it will not do so later, but a peer may.
  if (told <= m_reissuedFor) {
    if (!m_isAskingPeer) {
      AskAPeer(kAskSpread, aActions);
    }
    return;
  }
  if (!m_behindSince) {
    m_behindSince = aNow;
  } else if (aNow - *m_behindSince >= kBehindTimeout) {
    m_reissuedFor = told;
    ReissueRead(aNow, aActions);
  }
}

void
TableFollower::On(const PeerLostStore&, Instant aNow, Actions&)
{
  // A row that is removed after this may only have expired, as after a failed
  // read of this instance.
  m_grace.NotePeerLost(aNow);
}

void
TableFollower::On(const PeerReadsSteadily&, Instant aNow, Actions&)
{
  m_grace.NotePeerSteady(aNow);
}

void
TableFollower::On(const PollingChanged& aEvent, Instant aNow, Actions& aActions)
{
  m_isPoller = aEvent.m_isPoller;
  m_isDesignatedPoller = aEvent.m_isDesignated;
  if (m_isPoller && m_isOnStandby) {
    Ask(aNow, aActions);
  }
}

} // namespace ridgeferry::relay
