#include "ridgeferry/net/ConnectProbe.h"

#include "Connect.h"

#include <event2/bufferevent.h>

namespace ridgeferry::net {

struct ConnectProbe::Impl
{
  bufferevent* m_events = nullptr;
  bool m_refused = false;
  sigc::slot<void(Reach)> m_done;
  Watch m_timer;

  ~Impl() { bufferevent_free(m_events); }

  void Finish(Reach aReach)
  {
    m_timer = {};
    bufferevent_setcb(m_events, nullptr, nullptr, nullptr, nullptr);
    // A copy: the callback may destroy the probe.
    const sigc::slot<void(Reach)> done = m_done;
    done(aReach);
  }

  void OnEvent(short aEvents)
  {
    if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
      Finish(Reach::Taken);
    } else {
      Finish(m_refused || WasRefused(aEvents) ? Reach::Refused
                                              : Reach::Unknown);
    }
  }
};

ConnectProbe::ConnectProbe(EventLoop& aLoop,
                           const Address& aAddress,
                           Duration aTimeout,
                           sigc::slot<void(Reach)> aDone)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->m_events =
    bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  m_impl->m_done = std::move(aDone);
  m_impl->m_timer = aLoop.After(
    aTimeout, [impl = m_impl.get()] { impl->Finish(Reach::Unknown); });
  bufferevent_setcb(
    m_impl->m_events,
    nullptr,
    nullptr,
    [](bufferevent*, short aEvents, void* aContext) {
      static_cast<Impl*>(aContext)->OnEvent(aEvents);
    },
    m_impl.get());
  m_impl->m_refused = BeginConnect(m_impl->m_events, aAddress);
}

ConnectProbe::~ConnectProbe() = default;

} // namespace ridgeferry::net
