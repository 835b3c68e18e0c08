#pragma once

#include <memory>
#include <ridgeferry/base/Time.h>
#include <sigc++/sigc++.h>
#include <vector>

struct event;
struct event_base;

namespace ridgeferry::net {

class EventLoop;
struct TimerSet;

/** A time in which the loop made no turn. */
struct LoopStall
{
  Duration m_for{};
  Duration m_suspended{}; ///< Share of it in which the machine was suspended.
  /** Share of it in which the loop's thread had a processor: near to all of it
   * if a callback computed for that long. */
  Duration m_busy{};
};

/** The machine's clocks: both run steadily, from any beginning. */
struct Clocks
{
  /** Counts all time, also that in which the machine was suspended. */
  sigc::slot<Instant()> m_all;
  /** Stands still while the machine is suspended, as the system's timers do. */
  sigc::slot<Instant()> m_awake;
};

/** Those of the system. Thread-safe. */
Clocks
SystemClocks();

/** A pending timer or signal watch; destroying it cancels it. */
class Watch
{
public:
  Watch();
  ~Watch();
  Watch(Watch&& aOther) noexcept;
  Watch& operator=(Watch&& aOther) noexcept;
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  struct Impl;
  explicit Watch(std::unique_ptr<Impl> aImpl);

private:
  std::unique_ptr<Impl> m_impl;
};

/**
 * The process's one event loop, on one thread. Everything of the I/O packages
 * runs in its callbacks; none of it is thread-safe. Timers that came due while
 * the machine was suspended fire within `kLookEvery` of its return.
 */
class EventLoop
{
public:
  /** How often the two clocks are compared. */
  static constexpr Duration kLookEvery{ 100 };
  /** They differ by less where the machine was not suspended. */
  static constexpr Duration kSuspended{ 20 };
  /** Shorter pauses between two turns are no stall. */
  static constexpr Duration kStall{ 300 };

  /** Null if the system refuses. */
  static std::unique_ptr<EventLoop> Make(Clocks aClocks = SystemClocks());
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Runs until `Stop`. */
  void Run();
  /** Ends `Run` after the current callback. */
  void Stop();

  /** Time in which the process was paused or the machine suspended counts:
   * leases and ages rely on it. */
  Instant Now() const;
  static WallTime WallNow();

  /** Calls once after a delay. */
  [[nodiscard]] Watch After(Duration aDelay, sigc::slot<void()> aSlot);
  /** Calls again and again; the first time after one interval. */
  [[nodiscard]] Watch Every(Duration aInterval, sigc::slot<void()> aSlot);
  [[nodiscard]] Watch OnSignal(int aSignal, sigc::slot<void()> aSlot);
  /** Calls once from the loop, after the current callback has returned. */
  void Defer(sigc::slot<void()> aSlot);

  /** The loop runs again after a stall: a callback that did not return, a
   * process that was not scheduled or paused, a machine that was suspended. */
  sigc::signal<void(const LoopStall&)>& SignalStalled() { return m_stalled; }

  event_base* Base() const { return m_base; }

private:
  EventLoop(event_base* aBase, Clocks aClocks);
  Watch AddTimer(Duration aDelay, bool aRepeats, sigc::slot<void()> aSlot);
  void RunDeferred();
  /** Time that the machine has been suspended, from any beginning. */
  Duration Suspended() const;
  void Look();
  /** Lets the timers that came due in a suspension fire. */
  void MakeUpForSuspension(Instant aNow);

  event_base* m_base;
  Clocks m_clocks;
  /** Timers that are pending, by identity. */
  std::shared_ptr<TimerSet> m_timers;
  Duration m_suspended{}; ///< When it was last looked at.
  Instant m_lookedAt;
  Duration m_processorTime{}; ///< Of the thread, when it was last looked at.
  sigc::signal<void(const LoopStall&)> m_stalled;
  Watch m_look;
  event* m_deferEvent = nullptr;
  std::vector<sigc::slot<void()>> m_deferred;
};

} // namespace ridgeferry::net
