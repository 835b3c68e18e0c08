#pragma once

#include "EntryNode.h"
#include "PeerSocket.h"

#include <map>
#include <ridgeferry/relay/CallLease.h>
#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::entry {

/** Sends the renewals of the calls that this instance has passed on, and ends
 * the runs whose leases have expired. Not thread-safe. */
class CallLeaseService
{
public:
  /** Precondition: the arguments outlive this object. */
  CallLeaseService(EntryNode& aNode, PeerSocket& aSocket);

  void Start();

  /** Returns the lease of a call that is sent now to the instance at
   * `aAddress`, and renews it until `EndAwait`. */
  relay::CallLease Await(const std::string& aAddress);
  /** The call is not waited for any more. Has no effect if it is unknown. */
  void EndAwait(relay::PassedOnCallId aId) { m_awaited.End(aId); }
  /** Returns for how long the other instance may still run the call if it gets
   * no further renewal; 0 if it may not, or the call is unknown. */
  Duration MayRunFor(relay::PassedOnCallId aId) const;

  /** Another instance has passed a call on. `aExpired` is called, once, when
   * its lease has expired, and not after `Drop`. */
  void Hold(const relay::CallLease& aLease, const sigc::slot<void()>& aExpired);
  /** The call has ended. Has no effect if it is unknown. */
  void Drop(relay::PassedOnCallId aId);

private:
  void Renew();
  void Look();

  EntryNode& m_node;
  PeerSocket& m_socket;
  relay::AwaitedCalls m_awaited;
  relay::HeldLeases m_held;
  std::map<relay::PassedOnCallId, sigc::slot<void()>> m_expired;
  net::Watch m_renewTick; ///< Pending while calls are awaited.
  net::Watch m_lookTick;  ///< Pending while leases are held.
};

} // namespace ridgeferry::entry
