#include "ridgeferry/net/EventLoop.h"

#include "ridgeferry/net/EarlySignals.h"

#include <algorithm>
#include <ctime>
#include <event2/event.h>
#include <set>
#include <utility>

namespace ridgeferry::net {

struct TimerSet
{
  std::set<Watch::Impl*> m_timers;
};

struct Watch::Impl
{
  event* m_event = nullptr;
  sigc::slot<void()> m_slot;
  bool m_repeats = false;
  Instant m_dueAt;                    ///< Of a timer.
  std::shared_ptr<TimerSet> m_timers; ///< Null: it is no timer.

  void LeaveTimers()
  {
    if (m_timers != nullptr) {
      m_timers->m_timers.erase(this);
    }
  }

  ~Impl()
  {
    LeaveTimers();
    if (m_event != nullptr) {
      event_free(m_event);
    }
  }
  Impl() = default;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
};

namespace {

void
CallSlot(evutil_socket_t, short, void* aContext)
{
  auto* watch = static_cast<Watch::Impl*>(aContext);
  if (!watch->m_repeats) {
    watch->LeaveTimers();
  }
  // A copy: the callback may destroy its own watch.
  const sigc::slot<void()> slot = watch->m_slot;
  slot();
}

timeval
ToTimeval(Duration aDuration)
{
  constexpr std::int64_t kMsPerSecond = 1000;
  timeval out{};
  out.tv_sec = aDuration.count() / kMsPerSecond;
  out.tv_usec = (aDuration.count() % kMsPerSecond) * kMsPerSecond;
  return out;
}

} // namespace

Watch::Watch(std::unique_ptr<Impl> aImpl)
  : m_impl(std::move(aImpl))
{
}

Watch::Watch() = default;
Watch::~Watch() = default;
Watch::Watch(Watch&& aOther) noexcept = default;

Watch&
Watch::operator=(Watch&& aOther) noexcept
{
  m_impl = std::move(aOther.m_impl);
  return *this;
}

Clocks
SystemClocks()
{
  const auto read = [](clockid_t aClock) {
    timespec now{};
    clock_gettime(aClock, &now);
    return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
  };
  return { [read] { return read(CLOCK_BOOTTIME); },
           [read] { return read(CLOCK_MONOTONIC); } };
}

namespace {

/** Of the calling thread; 0 if the system does not tell. */
Duration
ProcessorTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(
    std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

std::unique_ptr<EventLoop>
EventLoop::Make(Clocks aClocks)
{
  event_base* base = event_base_new();
  if (base == nullptr) {
    return nullptr;
  }
  return std::unique_ptr<EventLoop>(new EventLoop(base, std::move(aClocks)));
}

EventLoop::EventLoop(event_base* aBase, Clocks aClocks)
  : m_base(aBase)
  , m_clocks(std::move(aClocks))
  , m_timers(std::make_shared<TimerSet>())
  , m_suspended(Suspended())
  , m_lookedAt(Now())
{
  m_deferEvent = evtimer_new(
    m_base,
    [](evutil_socket_t, short, void* aContext) {
      static_cast<EventLoop*>(aContext)->RunDeferred();
    },
    this);
  m_look = Every(kLookEvery, [this] { Look(); });
}

EventLoop::~EventLoop()
{
  m_look = {};
  event_free(m_deferEvent);
  event_base_free(m_base);
}

void
EventLoop::Run()
{
  m_lookedAt = Now();
  m_processorTime = ProcessorTime();
  event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void
EventLoop::Stop()
{
  event_base_loopbreak(m_base);
}

Instant
EventLoop::Now() const
{
  return m_clocks.m_all();
}

Duration
EventLoop::Suspended() const
{
  return m_clocks.m_all() - m_clocks.m_awake();
}

void
EventLoop::Look()
{
  const Instant now = Now();
  const Duration since = now - std::exchange(m_lookedAt, now);
  const Duration worked = ProcessorTime();
  const Duration busy = worked - std::exchange(m_processorTime, worked);
  const Duration suspended = Suspended();
  const Duration risen = suspended - std::exchange(m_suspended, suspended);
  if (risen >= kSuspended) {
    MakeUpForSuspension(now);
  }
  if (since >= kStall) {
    m_stalled.emit({ since, std::max(risen, Duration{}), busy });
  }
}

void
EventLoop::MakeUpForSuspension(Instant aNow)
{
  // The system's timers have stood still meanwhile.
  for (Watch::Impl* timer : m_timers->m_timers) {
    const Duration left = timer->m_dueAt - aNow;
    if (left <= Duration{}) {
      event_active(timer->m_event, EV_TIMEOUT, 0);
    } else if (!timer->m_repeats) {
      const timeval delay = ToTimeval(left);
      event_add(timer->m_event, &delay);
    }
  }
}

WallTime
EventLoop::WallNow()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::system_clock::now());
}

Watch
EventLoop::AddTimer(Duration aDelay, bool aRepeats, sigc::slot<void()> aSlot)
{
  auto impl = std::make_unique<Watch::Impl>();
  impl->m_slot = std::move(aSlot);
  impl->m_repeats = aRepeats;
  impl->m_dueAt = Now() + aDelay;
  impl->m_timers = m_timers;
  m_timers->m_timers.insert(impl.get());
  const auto flags = static_cast<short>(aRepeats ? EV_PERSIST : 0);
  impl->m_event = event_new(m_base, -1, flags, &CallSlot, impl.get());
  const timeval delay = ToTimeval(aDelay);
  event_add(impl->m_event, &delay);
  return Watch(std::move(impl));
}

Watch
EventLoop::After(Duration aDelay, sigc::slot<void()> aSlot)
{
  return AddTimer(aDelay, false, std::move(aSlot));
}

Watch
EventLoop::Every(Duration aInterval, sigc::slot<void()> aSlot)
{
  return AddTimer(aInterval, true, std::move(aSlot));
}

Watch
EventLoop::OnSignal(int aSignal, sigc::slot<void()> aSlot)
{
  auto impl = std::make_unique<Watch::Impl>();
  impl->m_slot = std::move(aSlot);
  impl->m_event = evsignal_new(m_base, aSignal, &CallSlot, impl.get());
  event_add(impl->m_event, nullptr);
  if (TakeEarlySignal(aSignal)) {
    event_active(impl->m_event, EV_SIGNAL, 1);
  }
  return Watch(std::move(impl));
}

void
EventLoop::Defer(sigc::slot<void()> aSlot)
{
  m_deferred.push_back(std::move(aSlot));
  const timeval now{};
  event_add(m_deferEvent, &now);
}

void
EventLoop::RunDeferred()
{
  // What is deferred meanwhile waits for the next turn.
  std::vector<sigc::slot<void()>> slots;
  slots.swap(m_deferred);
  for (const sigc::slot<void()>& slot : slots) {
    slot();
  }
}

} // namespace ridgeferry::net
