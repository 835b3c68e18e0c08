#include "CallLeaseService.h"

namespace ridgeferry::entry {

CallLeaseService::CallLeaseService(EntryNode& aNode, PeerSocket& aSocket)
  : m_node(aNode)
  , m_socket(aSocket)
{
}

void
CallLeaseService::Start()
{
  m_socket.SignalRenewal().connect(
    [this](std::span<const relay::PassedOnCallId> aCalls) {
      m_held.Renew(aCalls, m_node.Now());
    });
}

relay::CallLease
CallLeaseService::Await(const std::string& aAddress)
{
  if (m_awaited.IsEmpty()) {
    m_renewTick =
      m_node.m_loop->Every(relay::CallLease::kRenewEvery, [this] { Renew(); });
  }
  const relay::CallLease lease{ m_node.m_random() };
  m_awaited.Begin(lease.m_id, aAddress, m_node.Now());
  return lease;
}

Duration
CallLeaseService::MayRunFor(relay::PassedOnCallId aId) const
{
  const auto until = m_awaited.MayRunUntil(aId);
  return until ? std::max(Duration{}, *until - m_node.Now()) : Duration{};
}

void
CallLeaseService::Renew()
{
  for (const relay::LeaseRenewal& renewal : m_awaited.TakeDue(m_node.Now())) {
    m_socket.Send(renewal);
  }
  if (m_awaited.IsEmpty()) {
    m_renewTick = {};
  }
}

void
CallLeaseService::Hold(const relay::CallLease& aLease,
                       const sigc::slot<void()>& aExpired)
{
  if (m_held.IsEmpty()) {
    m_lookTick =
      m_node.m_loop->Every(relay::HeldLeases::kLookEvery, [this] { Look(); });
  }
  m_held.Grant(aLease, m_node.Now());
  m_expired.insert_or_assign(aLease.m_id, aExpired);
}

void
CallLeaseService::Drop(relay::PassedOnCallId aId)
{
  m_held.Drop(aId);
  m_expired.erase(aId);
}

void
CallLeaseService::Look()
{
  for (const relay::PassedOnCallId id : m_held.TakeExpired(m_node.Now())) {
    const auto found = m_expired.find(id);
    const sigc::slot<void()> expired = std::move(found->second);
    m_expired.erase(found);
    m_node.m_metrics.Count("call_leases_expired_total");
    expired();
  }
  if (m_held.IsEmpty()) {
    m_lookTick = {};
  }
}

} // namespace ridgeferry::entry
