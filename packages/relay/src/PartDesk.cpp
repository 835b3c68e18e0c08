#include "ridgeferry/relay/PartDesk.h"

namespace ridgeferry::relay {

std::vector<DeskAction>
PartDesk::Handle(const DeskEvent& aEvent, Instant aNow)
{
  Actions actions;
  std::visit([&](const auto& aTyped) { On(aTyped, aNow, actions); }, aEvent);
  return actions;
}

void
PartDesk::GoTo(Change& aChange, Step aStep, Instant aNow, Actions& aActions)
{
  aChange.m_step = aStep;
  aChange.m_since = aNow;
  aActions.emplace_back(TellNews{});
}

bool
PartDesk::IsOver(const Change& aChange, Instant aNow)
{
  const Duration age = aNow - aChange.m_since;
  return (aChange.m_step == Step::Done && age >= kNewsLife) ||
         (aChange.m_step == Step::Paused && age >= kPause);
}

void
PartDesk::On(const DeskTick& aEvent, Instant aNow, Actions& aActions)
{
  m_mayOrder = aEvent.m_mayOrder;
  for (auto& [engine, change] : m_changes) {
    Advance(engine, change, aEvent.m_mayOrder, aNow, aActions);
  }
  const std::size_t over = std::erase_if(
    m_changes, [aNow](const auto& aItem) { return IsOver(aItem.second, aNow); });
  if (over > 0) {
    aActions.emplace_back(TellNews{});
  }
}

void
PartDesk::Advance(const std::string& aEngine,
                  Change& aChange,
                  bool aMayOrder,
                  Instant aNow,
                  Actions& aActions)
{
  const Duration age = aNow - aChange.m_since;
  const auto ask = [&] {
    aChange.m_asked = aNow;
    aActions.emplace_back(AskReport{ aEngine });
  };
  switch (aChange.m_step) {
    case Step::Announced:
      if (!aMayOrder) {
        GoTo(aChange, Step::Paused, aNow, aActions);
      } else if (age >= kAnnounce) {
        GoTo(aChange, Step::Asking, aNow, aActions);
        ask();
      }
      return;
    case Step::Doubtful:
      if (age >= kOrderAgain && aMayOrder) {
        GoTo(aChange, Step::Announced, aNow, aActions);
        return;
      }
      [[fallthrough]];
    case Step::Watching:
      if (age >= kLongest) {
        GoTo(aChange, Step::Paused, aNow, aActions);
      } else if (aNow - aChange.m_asked >= kAskEvery) {
        ask();
      }
      return;
    case Step::Asking:
    case Step::Ordering:
    case Step::Done:
    case Step::Paused:
      return; // An answer or time ends them.
  }
}

void
PartDesk::On(const ChangesWanted& aEvent, Instant aNow, Actions& aActions)
{
  if (!m_mayOrder) {
    return;
  }
  for (const PartChange& wanted : aEvent.m_changes) {
    const auto known = m_changes.find(wanted.m_engine);
    if (known != m_changes.end() && known->second.m_step != Step::Done) {
      continue;
    }
    Change& change = m_changes[wanted.m_engine];
    change.m_to = wanted.m_to;
    GoTo(change, Step::Announced, aNow, aActions);
  }
}

void
PartDesk::On(const ReportCame& aEvent, Instant aNow, Actions& aActions)
{
  const auto found = m_changes.find(aEvent.m_engine);
  if (found == m_changes.end()) {
    return;
  }
  Change& change = found->second;
  const auto& report = aEvent.m_report;
  if (change.m_step == Step::Asking) {
    if (!report || !m_mayOrder) {
      GoTo(change, Step::Paused, aNow, aActions);
    } else if (report->m_changing) {
      GoTo(change, Step::Watching, aNow, aActions);
    } else if (report->m_part == change.m_to) {
      GoTo(change, Step::Done, aNow, aActions);
    } else {
      GoTo(change, Step::Ordering, aNow, aActions);
      aActions.emplace_back(
        SendPartOrder{ aEvent.m_engine, change.m_to, report->m_ordersTaken });
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
      GoTo(change, Step::Watching, aNow, aActions);
    }
  } else if (report->m_part == change.m_to) {
    GoTo(change, Step::Done, aNow, aActions);
  }
}

void
PartDesk::On(const OrderAnswered& aEvent, Instant aNow, Actions& aActions)
{
  const auto found = m_changes.find(aEvent.m_engine);
  if (found == m_changes.end() || found->second.m_step != Step::Ordering) {
    return;
  }
  switch (aEvent.m_answer) {
    case OrderAnswer::Taken:
      GoTo(found->second, Step::Watching, aNow, aActions);
      return;
    case OrderAnswer::Refused:
      GoTo(found->second, Step::Paused, aNow, aActions);
      return;
    case OrderAnswer::Lost:
      GoTo(found->second, Step::Doubtful, aNow, aActions);
      return;
  }
}

void
PartDesk::On(const EngineGone& aEvent, Instant, Actions& aActions)
{
  if (m_changes.erase(aEvent.m_engine) > 0) {
    aActions.emplace_back(TellNews{});
  }
}

std::vector<PartNews>
PartDesk::News() const
{
  std::vector<PartNews> out;
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
        break; // As the list says.
    }
  }
  return out;
}

std::optional<Part>
PartDesk::TargetOf(const std::string& aEngine) const
{
  const auto found = m_changes.find(aEngine);
  if (found == m_changes.end() || found->second.m_step == Step::Paused ||
      found->second.m_step == Step::Done) {
    return std::nullopt;
  }
  return found->second.m_to;
}

bool
PartDesk::IsLeftAlone(const std::string& aEngine) const
{
  const auto found = m_changes.find(aEngine);
  return found != m_changes.end() && found->second.m_step == Step::Paused;
}

} // namespace ridgeferry::relay
