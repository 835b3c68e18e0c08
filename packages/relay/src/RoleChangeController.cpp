#include "ridgeferry/relay/RoleChangeController.h"

#include <algorithm>

namespace ridgeferry::relay {

std::vector<RoleChangeAction>
RoleChangeController::Handle(const RoleChangeEvent& aEvent, Instant aNow)
{
  Actions actions;
  m_roleUpdatesChanged = false;
  std::visit([&](const auto& aTyped) { On(aTyped, aNow, actions); }, aEvent);
  if (m_roleUpdatesChanged) {
    actions.emplace_back(AnnounceRoleUpdates{});
  }
  return actions;
}

void
RoleChangeController::GoTo(Change& aChange, Step aStep, Instant aNow)
{
  aChange.m_step = aStep;
  aChange.m_since = aNow;
  m_roleUpdatesChanged = true;
}

bool
RoleChangeController::IsOver(const Change& aChange, Instant aNow)
{
  const Duration age = aNow - aChange.m_since;
  return (aChange.m_step == Step::Done && age >= kRoleUpdateLifetime) ||
         (aChange.m_step == Step::Paused && age >= kPause);
}

void
RoleChangeController::On(const RoleChangeTick& aEvent,
                         Instant aNow,
                         Actions& aActions)
{
  m_mayOrder = aEvent.m_mayOrder;
  std::vector<std::pair<Instant, const std::string*>> due;
  for (auto& [engine, change] : m_changes) {
    Advance(change, aNow);
    if (IsToBeAsked(change, aNow)) {
      due.emplace_back(change.m_asked, &engine);
    }
  }
  std::sort(due.begin(), due.end());
  due.resize(std::min(due.size(), kMostAsksATick));
  for (const auto& [asked, engine] : due) {
    Ask(*engine, aNow, aActions);
  }
  const std::size_t over = std::erase_if(m_changes, [aNow](const auto& aItem) {
    return IsOver(aItem.second, aNow);
  });
  m_roleUpdatesChanged = m_roleUpdatesChanged || over > 0;
}

void
RoleChangeController::Ask(const std::string& aEngine,
                          Instant aNow,
                          Actions& aActions)
{
  Change& change = m_changes.at(aEngine);
  if (change.m_step == Step::Announced) {
    GoTo(change, Step::Asking, aNow);
  }
  change.m_asked = aNow;
  aActions.emplace_back(AskReport{ aEngine });
}

bool
RoleChangeController::IsToBeAsked(const Change& aChange, Instant aNow)
{
  switch (aChange.m_step) {
    case Step::Announced:
      return aNow - aChange.m_since >= kAnnounce;
    case Step::Doubtful:
    case Step::Watching:
      return aNow - aChange.m_asked >= kAskEvery;
    case Step::Asking:
    case Step::Ordering:
    case Step::Done:
    case Step::Paused:
      break; // These steps end with an answer or after some time.
  }
  return false;
}

void
RoleChangeController::Advance(Change& aChange, Instant aNow)
{
  const Duration age = aNow - aChange.m_since;
  const bool ordered =
    aChange.m_step == Step::Doubtful || aChange.m_step == Step::Watching;
  const bool barred = aChange.m_step == Step::Announced && !m_mayOrder;
  if (barred || (ordered && age >= kLongest)) {
    GoTo(aChange, Step::Paused, aNow);
  } else if (aChange.m_step == Step::Doubtful && age >= kOrderAgain &&
             m_mayOrder) {
    GoTo(aChange, Step::Announced, aNow);
  }
}

void
RoleChangeController::On(const ChangesWanted& aEvent, Instant aNow, Actions&)
{
  if (!m_mayOrder) {
    return;
  }
  for (const EngineRoleChange& wanted : aEvent.m_changes) {
    const auto known = m_changes.find(wanted.m_engine);
    if (known != m_changes.end() && known->second.m_step != Step::Done) {
      continue;
    }
    Change& change = m_changes[wanted.m_engine];
    change.m_to = wanted.m_to;
    change.m_born.reset();
    GoTo(change, Step::Announced, aNow);
  }
}

void
RoleChangeController::On(const ReportCame& aEvent,
                         Instant aNow,
                         Actions& aActions)
{
  const auto found = m_changes.find(aEvent.m_engine);
  if (found == m_changes.end()) {
    return;
  }
  Change& change = found->second;
  const auto& report = aEvent.m_report;
  if (report && !change.m_born) {
    change.m_born = report->m_born;
  }
  if (report &&
      Compare(change.m_born, report->m_born) != IncarnationOrder::Same) {
    m_changes.erase(found);
    m_roleUpdatesChanged = true;
    return;
  }
  if (change.m_step == Step::Asking) {
    if (!report || !m_mayOrder) {
      GoTo(change, Step::Paused, aNow);
    } else if (report->m_changing) {
      GoTo(change, Step::Watching, aNow);
    } else if (report->m_role == change.m_to) {
      GoTo(change, Step::Done, aNow);
    } else {
      GoTo(change, Step::Ordering, aNow);
      aActions.emplace_back(
        SendRoleOrder{ aEvent.m_engine, change.m_to, report->m_ordersTaken });
    }
    return;
  }
  const bool awaits =
    change.m_step == Step::Watching || change.m_step == Step::Doubtful;
  if (!awaits || !report) {
    return;
  }
  if (report->m_changing) {
    if (change.m_step == Step::Doubtful) {
      GoTo(change, Step::Watching, aNow);
    }
  } else if (report->m_role == change.m_to) {
    GoTo(change, Step::Done, aNow);
  }
}

void
RoleChangeController::On(const OrderAnswered& aEvent, Instant aNow, Actions&)
{
  const auto found = m_changes.find(aEvent.m_engine);
  if (found == m_changes.end() || found->second.m_step != Step::Ordering) {
    return;
  }
  switch (aEvent.m_answer) {
    case OrderAnswer::Taken:
      GoTo(found->second, Step::Watching, aNow);
      return;
    case OrderAnswer::Refused:
      GoTo(found->second, Step::Paused, aNow);
      return;
    case OrderAnswer::Lost:
      GoTo(found->second, Step::Doubtful, aNow);
      return;
  }
}

void
RoleChangeController::On(const EngineGone& aEvent, Instant, Actions&)
{
  m_roleUpdatesChanged = m_changes.erase(aEvent.m_engine) > 0;
}

std::vector<RoleUpdate>
RoleChangeController::RoleUpdates() const
{
  std::vector<RoleUpdate> out;
  for (const auto& [engine, change] : m_changes) {
    switch (change.m_step) {
      case Step::Announced:
      case Step::Asking:
      case Step::Ordering:
      case Step::Watching:
        out.push_back({ engine, std::nullopt });
        break;
      case Step::Done:
        out.push_back({ engine, change.m_to });
        break;
      case Step::Doubtful:
      case Step::Paused:
        break; // The role in the list of members applies.
    }
  }
  return out;
}

std::optional<UpstreamRole>
RoleChangeController::TargetOf(const std::string& aEngine) const
{
  const auto found = m_changes.find(aEngine);
  if (found == m_changes.end() || found->second.m_step == Step::Paused ||
      found->second.m_step == Step::Done) {
    return std::nullopt;
  }
  return found->second.m_to;
}

bool
RoleChangeController::IsLeftAlone(const std::string& aEngine) const
{
  const auto found = m_changes.find(aEngine);
  return found != m_changes.end() && found->second.m_step == Step::Paused;
}

} // namespace ridgeferry::relay
