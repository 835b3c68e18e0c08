#include "ReachService.h"

#include <algorithm>

namespace ridgeferry::entry {

namespace {

/** Interval at which reach is checked, and connections are tried while there is
 * none. Far below the seconds in which callers must be served again. */
constexpr Duration kTick{ 100 };
/** A connection to an upstream comes about within milliseconds; the opening
 * packet of one that was lost is sent again after a second. */
constexpr Duration kProbeTimeout{ 250 };

} // namespace

ReachService::ReachService(EntryNode& aNode)
  : m_node(aNode)
{
}

void
ReachService::Start()
{
  m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
}

bool
ReachService::IsUnreachable(std::string_view aService) const
{
  const auto found = m_services.find(aService);
  return found != m_services.end() && found->second.m_state.IsUnreachable();
}

bool
ReachService::AllowTrial(std::string_view aService, bool aMayRepeat)
{
  const auto found = m_services.find(aService);
  return found != m_services.end() &&
         found->second.m_state.AllowTrial(aMayRepeat, m_node.Now());
}

std::vector<std::uint32_t>
ReachService::Unreachable() const
{
  std::vector<std::uint32_t> out;
  for (const auto& [service, reach] : m_services) {
    if (reach.m_state.IsUnreachable()) {
      out.push_back(relay::Fleet::ShortHash(service));
    }
  }
  return out;
}

void
ReachService::Tick()
{
  if (m_node.m_routes == nullptr) {
    return;
  }
  bool anyChanged = false;
  for (const relay::Service& service : m_node.m_routes->Config().m_services) {
    Reach& reach = m_services[service.m_name];
    const bool isResponsive =
      m_node.m_fleet.IsAnyResponsive(service.m_name, m_node.Now());
    if (reach.m_state.NoteResponsive(isResponsive, m_node.Now())) {
      anyChanged = true;
      LogChange(service.m_name, reach);
    }
    if (reach.m_state.IsUnreachable()) {
      Probe(service.m_name, reach);
    } else {
      reach.m_probe.reset();
    }
  }
  std::erase_if(m_services, [this](const auto& aEntry) {
    return m_node.m_routes->FindService(aEntry.first) == nullptr;
  });
  if (anyChanged) {
    NoteGauge();
    m_changed.emit();
  }
}

void
ReachService::Probe(const std::string& aService, Reach& aReach)
{
  if (aReach.m_probe != nullptr) {
    return;
  }
  const auto members = m_node.m_fleet.MembersOf(aService);
  if (members.empty()) {
    return;
  }
  const relay::Member* member = members[++aReach.m_turn % members.size()];
  const auto address = net::Address::Parse(member->m_address);
  if (!address) {
    return;
  }
  aReach.m_probe = std::make_unique<net::ConnectProbe>(
    *m_node.m_loop,
    *address,
    kProbeTimeout,
    [this, aService](net::Reach aResult) {
      // Deferred, since handling the result destroys the probe, whose functions
      // are still on the stack.
      m_node.m_loop->Defer(
        [this, aService, aResult] { TakeProbe(aService, aResult); });
    });
}

void
ReachService::TakeProbe(const std::string& aService, net::Reach aResult)
{
  const auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return;
  }
  found->second.m_probe.reset();
  if (aResult == net::Reach::Taken && found->second.m_state.IsUnreachable()) {
    found->second.m_state.NoteConnected(m_node.Now());
    m_node.m_fleet.EndEjections(aService);
  }
}

void
ReachService::LogChange(const std::string& aService, const Reach& aReach)
{
  const bool isUnreachable = aReach.m_state.IsUnreachable();
  const auto listed =
    static_cast<std::int64_t>(m_node.m_fleet.MembersOf(aService).size());
  m_node.m_log->Write(
    isUnreachable ? observe::LogLevel::Warning : observe::LogLevel::Info,
    isUnreachable ? "service-unreachable" : "service-reached-again",
    { { "service", aService }, { "listed", listed } });
}

void
ReachService::NoteGauge()
{
  const auto count =
    std::count_if(m_services.begin(), m_services.end(), [](const auto& aEntry) {
      return aEntry.second.m_state.IsUnreachable();
    });
  m_node.m_metrics.Set("services_unreachable", static_cast<double>(count));
}

} // namespace ridgeferry::entry
