#pragma once

#include <map>
#include <ridgeferry/usage/UsageCounts.h>
#include <set>
#include <span>
#include <string>
#include <tuple>

namespace ridgeferry::usage {

/** One run of an instance's process; counts start at zero with each. */
struct ProcessId
{
  std::string m_instance;
  std::uint64_t m_incarnation = 0;

  bool operator<(const ProcessId& aOther) const
  {
    return std::tie(m_instance, m_incarnation) <
           std::tie(aOther.m_instance, aOther.m_incarnation);
  }
};

/**
 * Adds up the counts of all instances. What a process reported stays counted
 * after it has ended.
 *
 * Pure, not thread-safe.
 */
class UsageCollector
{
public:
  /**
   * Replaces what is known of a process. `aAsOf` is a moment of true time that
   * is not later than the one at which the counts were read.
   */
  void Take(const ProcessId& aProcess,
            const CountsByWindow& aWindows,
            WallTime aAsOf);
  /** Returns the sum over all processes. */
  Counts SumOf(WindowIndex aWindow) const;
  /** Returns whether the process reported its counts after `aMoment`. */
  bool HasReportedSince(const ProcessId& aProcess, WallTime aMoment) const;
  /** Returns the earliest window with counts; std::nullopt if there is none. */
  std::optional<WindowIndex> FirstWindow() const;

private:
  struct Known
  {
    CountsByWindow m_windows;
    WallTime m_asOf;
  };

  /** Forgets processes whose last counts are of no kept window any more. */
  void ForgetOld(WindowIndex aLatest);

  std::map<ProcessId, Known> m_processes;
};

} // namespace ridgeferry::usage
