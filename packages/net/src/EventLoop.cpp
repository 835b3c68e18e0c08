#include "ridgeferry/net/EventLoop.h"

#include <event2/event.h>

namespace ridgeferry::net {

struct Watch::Impl
{
  event* m_event = nullptr;
  sigc::slot<void()> m_slot;

  ~Impl()
  {
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
  // A copy: the callback may destroy its own watch.
  const sigc::slot<void()> slot = static_cast<Watch::Impl*>(aContext)->m_slot;
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

std::unique_ptr<EventLoop>
EventLoop::Make()
{
  event_base* base = event_base_new();
  if (base == nullptr) {
    return nullptr;
  }
  return std::unique_ptr<EventLoop>(new EventLoop(base));
}

EventLoop::EventLoop(event_base* aBase)
  : m_base(aBase)
{
  m_deferEvent = evtimer_new(
    m_base,
    [](evutil_socket_t, short, void* aContext) {
      static_cast<EventLoop*>(aContext)->RunDeferred();
    },
    this);
}

EventLoop::~EventLoop()
{
  event_free(m_deferEvent);
  event_base_free(m_base);
}

void
EventLoop::Run()
{
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
  // CLOCK_MONOTONIC: a pause of the process is visible in it, which the lease
  // relies on.
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
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
