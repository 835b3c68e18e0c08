#include "OrderLease.h"

#include <algorithm>

namespace ridgeferry::entry {

namespace {

/** One lease covers the engines of all data centres, because a plan considers
 * them together. */
constexpr const char* kScope = "engines";
constexpr Duration kTick{ 50 };
/** Number of instances that try to acquire a free lease. To limit the load on
 * the store, every other instance reads the rows of the lease's table only once
 * after its start and once after each new generation of the store. */
constexpr std::size_t kContenders = 2;
/** A process younger than this does not try to acquire the lease: it has not
 * yet received heartbeats from other instances, so when hundreds start at once,
 * each would count itself among the contenders. The value is twice the longest
 * time between two heartbeats of a peer in the same data centre. */
constexpr Duration kMinAgeToContend{ 500 };

authority::LeaseTimes
TimesFor(Duration aTurn)
{
  // The holder stops sending orders `m_margin` before the term of its lease
  // ends, and a successor acquires the lease only `m_margin` after that end. So
  // at least 1.4 * `aTurn` lies between the orders of two holders.
  authority::LeaseTimes out;
  out.m_term = aTurn * 5 / 3;
  out.m_margin = aTurn * 7 / 10;
  out.m_renewEvery = aTurn / 3;
  out.m_pollEvery = aTurn / 3;
  // Instances that do not try to acquire the lease read it once (see
  // `kContenders`) and do not poll it: with hundreds of instances, their polls
  // would be most of the requests that the store receives.
  out.m_idlePollFactor = 0;
  return out;
}

} // namespace

OrderLease::OrderLease(EntryNode& aNode,
                       StoreGenerations& aGenerations,
                       Peers& aPeers)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_calls(aNode, aGenerations, "a call for the lease")
  , m_peers(aPeers)
  , m_lease(
      kScope,
      aNode.m_settings.m_instance + "/" +
        std::to_string(net::EventLoop::WallNow().time_since_epoch().count()),
      TimesFor(aNode.m_settings.m_orderTurn))
{
}

void
OrderLease::Start()
{
  m_began = m_node.Now();
  m_generations.SignalNewGeneration().connect(
    [this](StoreGeneration aGeneration) {
      Handle(authority::LeaseGeneration{ aGeneration });
    });
  m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
}

bool
OrderLease::IsNeeded() const
{
  if (m_node.m_routes == nullptr) {
    return false;
  }
  const auto& services = m_node.m_routes->Config().m_services;
  return !m_node.m_settings.m_duties.m_address.empty() ||
         std::any_of(services.begin(),
                     services.end(),
                     [](const relay::Service& aService) {
                       return aService.m_engine.has_value();
                     });
}

bool
OrderLease::HasAuthority() const
{
  return !m_node.m_stop.HasBegun() && m_lease.HasAuthority(m_node.Now());
}

bool
OrderLease::Contends() const
{
  return !m_node.m_stop.HasBegun() && m_peers.HasListed() &&
         m_node.Now() - m_began >= kMinAgeToContend &&
         m_peers.Rank(kScope) < kContenders;
}

void
OrderLease::Tick()
{
  if (IsNeeded()) {
    Handle(authority::LeaseTick{ Contends() });
  }
}

void
OrderLease::Handle(const authority::LeaseEvent& aEvent)
{
  for (const authority::LeaseAction& action :
       m_lease.Handle(aEvent, m_node.Now())) {
    std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
  }
}

void
OrderLease::Do(const authority::ReadLease&)
{
  StoreRead read;
  read.m_table = m_node.m_dialect.m_leaseTable;
  m_calls.Read(read,
               [this](const StoreAnswer& aAnswer, StoreGeneration aGeneration) {
                 authority::LeaseRead event;
                 if (const auto* page = std::get_if<StorePage>(&aAnswer)) {
                   event = TakeRows(*page);
                 }
                 event.m_generation = aGeneration;
                 Handle(event);
               });
}

authority::LeaseRead
OrderLease::TakeRows(const StorePage& aPage)
{
  authority::LeaseRead out;
  out.m_lease = { table::ReadStatus::Ok,
                  { authority::LeaseKey(kScope), 0, {} } };
  out.m_fence = { table::ReadStatus::Ok,
                  { authority::FenceKey(kScope), 0, {} } };
  for (const relay::FollowedRow& row : aPage.m_rows) {
    bool isOfLease = false;
    for (table::ReadResult* wanted : { &out.m_lease, &out.m_fence }) {
      if (row.m_key == wanted->m_row.m_key) {
        wanted->m_row.m_version = row.m_version;
        wanted->m_row.m_value = row.m_value;
        isOfLease = true;
      }
    }
    if (!isOfLease) {
      m_row.emit(row);
    }
  }
  return out;
}

void
OrderLease::Do(const authority::WriteLease& aAction)
{
  m_calls.Commit(
    { m_node.m_dialect.m_leaseTable, aAction.m_transaction },
    [this, attempt = aAction.m_attempt](table::CommitResult aResult) {
      Handle(authority::LeaseWritten{ attempt, aResult });
    });
}

void
OrderLease::Do(const authority::AuthorityGained& aAction)
{
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "lease-gained",
    { { "scope", std::string(kScope) },
      { "fencing", static_cast<std::int64_t>(aAction.m_fencing) } });
}

void
OrderLease::Do(const authority::AuthorityLost&)
{
  m_node.m_log->Write(observe::LogLevel::Info,
                      "lease-lost",
                      { { "scope", std::string(kScope) } });
}

} // namespace ridgeferry::entry
