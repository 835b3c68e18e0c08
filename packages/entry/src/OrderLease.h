#pragma once

#include "EntryNode.h"
#include "Peers.h"
#include "StoreCalls.h"

#include <ridgeferry/authority/Lease.h>
#include <sigc++/sigc++.h>

namespace ridgeferry::entry {

/** Holds the lease of the whole deployment, which permits one instance at a
 * time to send orders to engines and calls of singleton duties to the platform.
 * One fencing number covers them all. Not thread-safe. */
class OrderLease
{
public:
  /** The arguments must outlive this object. */
  OrderLease(EntryNode& aNode, StoreGenerations& aGenerations, Peers& aPeers);

  void Start();
  /** Returns whether this instance may send an order now. Must be called right
   * before each order. */
  bool HasAuthority() const;
  authority::FencingNumber Fencing() const { return m_lease.Fencing(); }
  /** Returns whether this instance is one of the few that acquire the lease
   * when it is free. */
  bool Contends() const;
  /** Emitted with each row of the lease's table that is not of the lease. */
  sigc::signal<void(const relay::FollowedRow&)>& SignalRow() { return m_row; }

private:
  void Tick();
  /** Whether there is anything that needs the lease. */
  bool IsNeeded() const;
  void Handle(const authority::LeaseEvent& aEvent);
  void Do(const authority::ReadLease& aAction);
  void Do(const authority::WriteLease& aAction);
  void Do(const authority::AuthorityGained& aAction);
  void Do(const authority::AuthorityLost& aAction);
  authority::LeaseRead TakeRows(const StorePage& aPage);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  StoreCalls m_calls;
  Peers& m_peers;
  authority::Lease m_lease;
  Instant m_began;
  sigc::signal<void(const relay::FollowedRow&)> m_row;
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
