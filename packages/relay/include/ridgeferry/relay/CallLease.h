#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::relay {

/** Names a call that one instance has passed on to another. Drawn at random, a
 * new one for each time that a call is passed on. */
using PassedOnCallId = std::uint64_t;

/** The lease under which an instance runs a call for another one: it stops the
 * run if no renewal has arrived for the term. The other one renews it while it
 * waits for the answer, and lets nobody else go on with the call before the
 * lease has ended. */
struct CallLease
{
  /** Five renewals are sent in a term, so that a few lost ones end no run. */
  static constexpr Duration kTerm{ 500 };
  static constexpr Duration kRenewEvery{ 100 };

  PassedOnCallId m_id = 0;
  Duration m_term = kTerm;

  bool operator==(const CallLease&) const = default;
};

/** The calls that one instance waits for at another one. */
struct LeaseRenewal
{
  std::string m_address; ///< IP:PORT of the instance that runs them.
  std::vector<PassedOnCallId> m_calls;
};

/** The calls that this instance has passed on and waits for. A pure state
 * machine; not thread-safe. */
class AwaitedCalls
{
public:
  /** Most calls in one renewal, at eight bytes each, so that its datagram fits
   * into one network packet. */
  static constexpr std::size_t kMostCalls = 100;

  /** The call is sent now to the instance at `aAddress`. Precondition: `aId` is
   * no call of this object. */
  void Begin(PassedOnCallId aId, std::string aAddress, Instant aNow);
  /** The call is not waited for any more. Has no effect if it is unknown. */
  void End(PassedOnCallId aId) { m_calls.erase(aId); }
  bool IsEmpty() const { return m_calls.empty(); }

  /** Returns the renewals that are to be sent now, and counts them as sent. */
  std::vector<LeaseRenewal> TakeDue(Instant aNow);
  /** Returns until when the other instance may run the call if it gets no
   * further renewal; std::nullopt if the call is unknown. */
  std::optional<Instant> MayRunUntil(PassedOnCallId aId) const;

private:
  struct Call
  {
    std::string m_address;
    Instant m_renewedAt;
  };

  std::map<PassedOnCallId, Call> m_calls;
};

/** The leases under which this instance runs calls for others. A pure state
 * machine; not thread-safe. */
class HeldLeases
{
public:
  /** How often `TakeExpired` must be called while there are leases. */
  static constexpr Duration kLookEvery{ 50 };

  /** The call has arrived. */
  void Grant(const CallLease& aLease, Instant aNow);
  /** A renewal has arrived. Unknown calls have no effect. */
  void Renew(std::span<const PassedOnCallId> aCalls, Instant aNow);
  /** The call has ended. Has no effect if it is unknown. */
  void Drop(PassedOnCallId aId) { m_leases.erase(aId); }
  bool IsEmpty() const { return m_leases.empty(); }

  /** Returns the calls whose leases have expired, and forgets them. Returns
   * none if the process stood still since the look before: renewals that came
   * meanwhile are to be read first. Of late looks in a row only the first
   * returns none. */
  std::vector<PassedOnCallId> TakeExpired(Instant aNow);

private:
  struct Lease
  {
    Duration m_term{};
    Instant m_until;
  };

  std::map<PassedOnCallId, Lease> m_leases;
  Instant m_lookedAt;     ///< Of the latest look, or grant of the only lease.
  bool m_wasLate = false; ///< The latest look came late.
};

} // namespace ridgeferry::relay
