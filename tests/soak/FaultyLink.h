#pragma once

#include <list>
#include <memory>
#include <ridgeferry/net/Address.h>
#include <ridgeferry/net/EventLoop.h>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace ridgeferry::soak {

/** What becomes of bytes on a link. */
enum class LinkMode
{
  Pass,
  Delay,        ///< Everything comes later.
  Hold,         ///< Nothing passes until the link is whole again.
  HoldRequests, ///< Only towards the target nothing passes.
  HoldAnswers,  ///< Only back from the target nothing passes.
  Refuse,       ///< New connections are reset.
  Stall,        ///< New connections do not come about; open ones live on.
  Close,        ///< Nobody listens any more; open connections live on.
};

/**
 * A relay of TCP connections on the loopback address to one target, which can
 * be told to misbehave. Everything runs on the loop's thread.
 */
class FaultyLink
{
public:
  /** How much later things come in mode `Delay`. */
  static constexpr Duration kDelay{ 250 };

  /** Null if no port can be had. */
  static std::unique_ptr<FaultyLink> Make(net::EventLoop& aLoop,
                                          net::Address aTarget);
  ~FaultyLink();
  FaultyLink(const FaultyLink&) = delete;
  FaultyLink& operator=(const FaultyLink&) = delete;

  /** Where to connect to reach the target through this link. */
  const net::Address& Bound() const { return m_bound; }

  void SetMode(LinkMode aMode);
  /** Ends all open connections with a reset. */
  void ResetOpen();
  /** Nothing passes any more on the connections that are open now; new ones
   * work. */
  void SilenceOpen();

private:
  struct Pair;

  FaultyLink(net::EventLoop& aLoop, net::Address aTarget);
  /** False: the address cannot be had. */
  bool Listen(const net::Address& aAddress);
  /** Fills the queue of new connections, so that further ones hang. */
  void FillQueue();
  void Accept(int aSocket);
  void Pump(Pair& aPair);
  void PumpSide(Pair& aPair, bool aToTarget);
  bool Passes(const Pair& aPair, bool aToTarget) const;
  void Remove(Pair& aPair, bool aReset);

  net::EventLoop& m_loop;
  net::Address m_target;
  net::Address m_bound;
  evconnlistener* m_listener = nullptr;
  LinkMode m_mode = LinkMode::Pass;
  std::vector<int> m_queued; ///< Sockets that fill the queue in mode `Stall`.
  std::list<std::unique_ptr<Pair>> m_pairs;
  std::list<std::unique_ptr<Pair>> m_ended; ///< Freed outside of callbacks.
};

} // namespace ridgeferry::soak
