#include "FaultyLink.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace ridgeferry::soak {

namespace {

constexpr int kBacklog = 256;

sockaddr_in
ToSystem(const net::Address& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_ip.c_str(), &out.sin_addr);
  return out;
}

/** Its close sends a reset in place of an ordinary end. */
void
MakeResetAtClose(int aSocket)
{
  const linger hard{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

} // namespace

/** One connection and its continuation to the target. */
struct FaultyLink::Pair
{
  struct Side
  {
    bufferevent* m_events = nullptr;
    bool m_ended = false; ///< No more bytes will come from it.
    bool m_told = false;  ///< The other side knows.
  };

  ~Pair()
  {
    bufferevent_free(m_caller.m_events);
    bufferevent_free(m_target.m_events);
  }

  FaultyLink* m_link = nullptr;
  Side m_caller;
  Side m_target;
  bool m_silent = false;
  net::Watch m_later; ///< Of mode `Delay`.
  bool m_isDelayed = false;
};

bool
FaultyLink::Listen(const net::Address& aAddress)
{
  const auto accepted =
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<FaultyLink*>(aSelf)->Accept(aSocket);
    };
  const sockaddr_in address = ToSystem(aAddress);
  m_listener =
    evconnlistener_new_bind(m_loop.Base(),
                            accepted,
                            this,
                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                            kBacklog,
                            reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address));
  return m_listener != nullptr;
}

std::unique_ptr<FaultyLink>
FaultyLink::Make(net::EventLoop& aLoop, net::Address aTarget)
{
  std::unique_ptr<FaultyLink> out(new FaultyLink(aLoop, std::move(aTarget)));
  if (!out->Listen({ "127.0.0.1", 0 })) {
    return nullptr;
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(evconnlistener_get_fd(out->m_listener),
              reinterpret_cast<sockaddr*>(&bound),
              &size);
  out->m_bound = { "127.0.0.1", ntohs(bound.sin_port) };
  return out;
}

FaultyLink::FaultyLink(net::EventLoop& aLoop, net::Address aTarget)
  : m_loop(aLoop)
  , m_target(std::move(aTarget))
{
}

FaultyLink::~FaultyLink()
{
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
  }
  for (const int filler : m_queued) {
    evutil_closesocket(filler);
  }
}

void
FaultyLink::Accept(int aSocket)
{
  if (m_mode == LinkMode::Refuse) {
    MakeResetAtClose(aSocket);
    evutil_closesocket(aSocket);
    return;
  }
  auto& pair = *m_pairs.emplace_back(std::make_unique<Pair>());
  pair.m_link = this;
  event_base* base = m_loop.Base();
  pair.m_caller.m_events =
    bufferevent_socket_new(base, aSocket, BEV_OPT_CLOSE_ON_FREE);
  pair.m_target.m_events =
    bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  const auto readable = [](bufferevent*, void* aPair) {
    auto* self = static_cast<Pair*>(aPair);
    self->m_link->Pump(*self);
  };
  const auto happened = [](bufferevent* aEvents, short aWhat, void* aPair) {
    auto* self = static_cast<Pair*>(aPair);
    if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
      return;
    }
    const bool isCaller = aEvents == self->m_caller.m_events;
    (isCaller ? self->m_caller : self->m_target).m_ended = true;
    self->m_link->Pump(*self);
  };
  const sockaddr_in target = ToSystem(m_target);
  for (bufferevent* events :
       { pair.m_caller.m_events, pair.m_target.m_events }) {
    bufferevent_setcb(events, readable, readable, happened, &pair);
  }
  bufferevent_socket_connect(pair.m_target.m_events,
                             reinterpret_cast<const sockaddr*>(&target),
                             sizeof(target));
  bufferevent_enable(pair.m_caller.m_events, EV_READ | EV_WRITE);
  bufferevent_enable(pair.m_target.m_events, EV_READ | EV_WRITE);
}

bool
FaultyLink::Passes(const Pair& aPair, bool aToTarget) const
{
  if (aPair.m_silent || m_mode == LinkMode::Hold) {
    return false;
  }
  return m_mode != (aToTarget ? LinkMode::HoldRequests : LinkMode::HoldAnswers);
}

void
FaultyLink::Pump(Pair& aPair)
{
  if (m_mode == LinkMode::Delay) {
    if (std::exchange(aPair.m_isDelayed, true)) {
      return;
    }
    aPair.m_later = m_loop.After(kDelay, [this, pair = &aPair] {
      pair->m_isDelayed = false;
      PumpSide(*pair, true);
      PumpSide(*pair, false);
    });
    return;
  }
  PumpSide(aPair, true);
  PumpSide(aPair, false);
}

void
FaultyLink::PumpSide(Pair& aPair, bool aToTarget)
{
  Pair::Side& from = aToTarget ? aPair.m_caller : aPair.m_target;
  Pair::Side& to = aToTarget ? aPair.m_target : aPair.m_caller;
  if (!Passes(aPair, aToTarget) || from.m_told) {
    return;
  }
  bufferevent_write_buffer(to.m_events, bufferevent_get_input(from.m_events));
  const bool flushed =
    evbuffer_get_length(bufferevent_get_output(to.m_events)) == 0;
  if (!from.m_ended || !flushed) {
    return;
  }
  from.m_told = true;
  if (to.m_ended) {
    Remove(aPair, false);
    return;
  }
  // The end of one side is passed on as the end of the whole connection: none
  // of the parties here goes on sending after it has closed.
  shutdown(bufferevent_getfd(to.m_events), SHUT_RDWR);
}

void
FaultyLink::Remove(Pair& aPair, bool aReset)
{
  const auto found =
    std::find_if(m_pairs.begin(), m_pairs.end(), [&](const auto& aItem) {
      return aItem.get() == &aPair;
    });
  if (found == m_pairs.end()) {
    return;
  }
  for (bufferevent* events :
       { aPair.m_caller.m_events, aPair.m_target.m_events }) {
    bufferevent_disable(events, EV_READ | EV_WRITE);
    if (aReset && bufferevent_getfd(events) >= 0) {
      MakeResetAtClose(bufferevent_getfd(events));
    }
  }
  aPair.m_later = {};
  m_ended.splice(m_ended.end(), m_pairs, found);
  if (m_ended.size() == 1) {
    m_loop.Defer([this] { m_ended.clear(); });
  }
}

void
FaultyLink::FillQueue()
{
  constexpr int kMoreThanFit = 4;
  evconnlistener_disable(m_listener);
  listen(evconnlistener_get_fd(m_listener), 0);
  const sockaddr_in address = ToSystem(m_bound);
  for (int i = 0; i < kMoreThanFit; ++i) {
    const int filler =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    (void)connect(
      filler, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    m_queued.push_back(filler);
  }
}

void
FaultyLink::SetMode(LinkMode aMode)
{
  m_mode = aMode;
  for (const int socket : std::exchange(m_queued, {})) {
    evutil_closesocket(socket);
  }
  if (aMode == LinkMode::Stall) {
    FillQueue();
  } else if (m_listener != nullptr) {
    listen(evconnlistener_get_fd(m_listener), kBacklog);
    evconnlistener_enable(m_listener);
  }
  const bool isClosed = aMode == LinkMode::Close;
  if (isClosed && m_listener != nullptr) {
    evconnlistener_free(std::exchange(m_listener, nullptr));
  } else if (!isClosed && m_listener == nullptr) {
    Listen(m_bound);
  }
  std::vector<Pair*> pairs;
  for (const auto& pair : m_pairs) {
    pairs.push_back(pair.get());
  }
  for (Pair* pair : pairs) {
    Pump(*pair);
  }
}

void
FaultyLink::ResetOpen()
{
  while (!m_pairs.empty()) {
    Remove(*m_pairs.front(), true);
  }
}

void
FaultyLink::SilenceOpen()
{
  for (const auto& pair : m_pairs) {
    pair->m_silent = true;
  }
}

} // namespace ridgeferry::soak
