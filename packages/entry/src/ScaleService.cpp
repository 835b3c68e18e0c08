#include "ScaleService.h"

#include <algorithm>

namespace ridgeferry::entry {

namespace {

constexpr Duration kTick{ 500 };
/** Shorter than the time for which the lease outlasts the authority. */
constexpr Duration kPlatformTimeout{ 600 };

std::string
NameOf(scaling::ScaleAnswer aAnswer)
{
  switch (aAnswer) {
    case scaling::ScaleAnswer::Accepted:
      return "accepted";
    case scaling::ScaleAnswer::NoneAvailable:
      return "none available";
    case scaling::ScaleAnswer::Failed:
      break;
  }
  return "failed";
}

std::vector<scaling::DataCentrePool>
PoolsOf(std::span<const relay::Member* const> aMembers)
{
  std::map<std::string_view, scaling::DataCentrePool> pools;
  for (const relay::Member* member : aMembers) {
    scaling::DataCentrePool& pool = pools[member->m_dataCentre];
    pool.m_dataCentre = member->m_dataCentre;
    if (!member->m_leaving) {
      ++(member->m_withdrawable ? pool.m_withdrawable : pool.m_regular);
    }
  }
  std::vector<scaling::DataCentrePool> out;
  out.reserve(pools.size());
  for (auto& [name, pool] : pools) {
    out.push_back(std::move(pool));
  }
  return out;
}

} // namespace

ScaleService::ScaleService(EntryNode& aNode, OrderLease& aLease)
  : m_node(aNode)
  , m_lease(aLease)
{
}

void
ScaleService::Start()
{
  if (!m_node.m_settings.m_duties.m_address.empty()) {
    m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
  }
}

void
ScaleService::Tick()
{
  if (m_node.m_routes == nullptr || !m_lease.HasAuthority()) {
    m_planners.clear(); // Another instance may order in the meantime.
    return;
  }
  // While the list cannot be trusted, an order would replace upstreams that may
  // still be running.
  if (m_node.m_fleet.HasMemberInGracePeriod()) {
    return;
  }
  for (const relay::Service& service : m_node.m_routes->Config().m_services) {
    if (service.m_scaling) {
      Plan(service);
    }
  }
}

void
ScaleService::Plan(const relay::Service& aService)
{
  const relay::ScalingTraits& traits = *aService.m_scaling;
  const scaling::ScaleTerms terms{
    traits.m_least, traits.m_most, traits.m_bootTime, traits.m_withdrawablePrice
  };
  const std::vector<scaling::DataCentrePool> pools =
    PoolsOf(m_node.m_fleet.MembersOf(aService.m_name));
  const double needed = m_node.m_fleet.UpstreamsNeeded(aService);
  scaling::ScalePlanner& planner = m_planners[aService.m_name];
  for (const scaling::ScaleOrder& order :
       planner.Plan(terms, pools, needed, m_node.Now())) {
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "scale-order",
      { { "service", aService.m_name },
        { "hall", order.m_dataCentre },
        { "withdrawable", order.m_kind == scaling::Kind::Withdrawable },
        { "desired", order.m_desired },
        { "needed", needed },
        { "heldNeed", planner.HeldNeed() },
        { "fencing", static_cast<std::int64_t>(m_lease.Fencing()) } });
    Send(aService.m_name, order);
  }
}

void
ScaleService::Send(const std::string& aService,
                   const scaling::ScaleOrder& aOrder)
{
  net::HttpRequest request =
    m_node.m_dialect.m_writeScaleOrder({ m_node.m_settings.m_duties.m_address,
                                         m_node.m_settings.m_instance,
                                         m_lease.Fencing(),
                                         aService,
                                         aOrder });
  // A fresh connection avoids an order that waits on an unresponsive connection
  // and goes out later.
  request.m_fresh = true;
  request.m_timeout = kPlatformTimeout;
  request.m_connectTimeout = kPlatformTimeout;
  net::HttpCallbacks callbacks;
  callbacks.m_done =
    [this, aService, aOrder](const net::HttpResponse& aResponse) {
      const scaling::ScaleAnswer answer =
        m_node.m_dialect.m_readScaleAnswer(aResponse);
      m_node.m_metrics.Count(
        observe::WithLabel("scale_orders_total", "answer", NameOf(answer)));
      m_node.m_log->Write(observe::LogLevel::Info,
                          "scale-answered",
                          { { "service", aService },
                            { "hall", aOrder.m_dataCentre },
                            { "desired", aOrder.m_desired },
                            { "answer", NameOf(answer) } });
      if (const auto planner = m_planners.find(aService);
          planner != m_planners.end()) {
        planner->second.NoteAnswer(aOrder, answer, m_node.Now());
      }
    };
  m_node.m_http->Send(request, std::move(callbacks));
}

} // namespace ridgeferry::entry
