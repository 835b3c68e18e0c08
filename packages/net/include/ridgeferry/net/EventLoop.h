#pragma once

#include <memory>
#include <ridgeferry/base/Time.h>
#include <sigc++/sigc++.h>
#include <vector>

struct event;
struct event_base;

namespace ridgeferry::net {

class EventLoop;

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
 * runs in its callbacks; none of it is thread-safe.
 */
class EventLoop
{
public:
  /** Null if the system refuses. */
  static std::unique_ptr<EventLoop> Make();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Runs until `Stop`. */
  void Run();
  /** Ends `Run` after the current callback. */
  void Stop();

  Instant Now() const;
  static WallTime WallNow();

  /** Calls once after a delay. */
  [[nodiscard]] Watch After(Duration aDelay, sigc::slot<void()> aSlot);
  /** Calls again and again; the first time after one interval. */
  [[nodiscard]] Watch Every(Duration aInterval, sigc::slot<void()> aSlot);
  [[nodiscard]] Watch OnSignal(int aSignal, sigc::slot<void()> aSlot);
  /** Calls once from the loop, after the current callback has returned. */
  void Defer(sigc::slot<void()> aSlot);

  event_base* Base() const { return m_base; }

private:
  explicit EventLoop(event_base* aBase);
  Watch AddTimer(Duration aDelay, bool aRepeats, sigc::slot<void()> aSlot);
  void RunDeferred();

  event_base* m_base;
  event* m_deferEvent = nullptr;
  std::vector<sigc::slot<void()>> m_deferred;
};

} // namespace ridgeferry::net
