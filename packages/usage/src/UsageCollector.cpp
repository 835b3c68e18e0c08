#include "ridgeferry/usage/UsageCollector.h"

#include <algorithm>

namespace ridgeferry::usage {

void
UsageCollector::Take(const ProcessId& aProcess,
                     const CountsByWindow& aWindows,
                     WallTime aAsOf)
{
  Known& known = m_processes[aProcess];
  if (aAsOf < known.m_asOf) {
    return; // An answer that was overtaken by a later one.
  }
  known.m_asOf = aAsOf;
  for (const auto& [window, counts] : aWindows) {
    known.m_windows[window] = counts;
  }
  DropOldWindows(known.m_windows);
  if (!known.m_windows.empty()) {
    ForgetOld(known.m_windows.rbegin()->first);
  }
}

void
UsageCollector::ForgetOld(WindowIndex aLatest)
{
  std::erase_if(m_processes, [aLatest](const auto& aEntry) {
    const CountsByWindow& windows = aEntry.second.m_windows;
    return !windows.empty() &&
           windows.rbegin()->first + static_cast<WindowIndex>(kKeptWindows) <
             aLatest;
  });
}

Counts
UsageCollector::SumOf(WindowIndex aWindow) const
{
  Counts out;
  for (const auto& [process, known] : m_processes) {
    const auto found = known.m_windows.find(aWindow);
    if (found == known.m_windows.end()) {
      continue;
    }
    for (const auto& [organisation, count] : found->second) {
      out[organisation] += count;
    }
  }
  return out;
}

bool
UsageCollector::HasReportedSince(const ProcessId& aProcess,
                                 WallTime aMoment) const
{
  const auto found = m_processes.find(aProcess);
  return found != m_processes.end() && found->second.m_asOf >= aMoment;
}

std::optional<WindowIndex>
UsageCollector::FirstWindow() const
{
  std::optional<WindowIndex> out;
  for (const auto& [process, known] : m_processes) {
    if (!known.m_windows.empty()) {
      const WindowIndex first = known.m_windows.begin()->first;
      out = std::min(out.value_or(first), first);
    }
  }
  return out;
}

} // namespace ridgeferry::usage
