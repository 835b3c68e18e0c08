#include "ridgeferry/relay/Routes.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace ridgeferry::relay {

namespace {

std::string
LowerHost(std::string_view aHost)
{
  std::string out(aHost.substr(0, aHost.find(':')));
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char aSign) {
    return static_cast<char>(std::tolower(aSign));
  });
  return out;
}

/** Moves the organisations out of a configuration. */
keys::OrganisationDirectory
TakeOrganisations(RouteConfig& aConfig)
{
  auto declared = std::exchange(aConfig.m_organisations, std::nullopt);
  return declared ? keys::OrganisationDirectory(std::move(*declared),
                                                aConfig.m_hasUnknownKeys)
                  : keys::OrganisationDirectory();
}

} // namespace

RouteTable::RouteTable(RouteConfig aConfig)
  : m_config(std::move(aConfig))
  , m_organisations(TakeOrganisations(m_config))
{
  GatherPriorities();
  for (const Route& route : m_config.m_routes) {
    m_byHostAndPrefix[LowerHost(route.m_host) + route.m_pathPrefix] = &route;
  }
  for (const Route& route : m_config.m_routes) {
    NoteFirstByteTarget(route);
    NotePriority(route);
  }
  for (const Service& service : m_config.m_services) {
    m_byService[service.m_name] = &service;
  }
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const std::string host = LowerHost(aHost);
  std::size_t end = aPath.rfind('/');
  while (end != std::string_view::npos) {
    const auto found =
      m_byHostAndPrefix.find(host + std::string(aPath.substr(0, end + 1)));
    if (found != m_byHostAndPrefix.end()) {
      return found->second;
    }
    if (end == 0) {
      break;
    }
    end = aPath.rfind('/', end - 1);
  }
  return nullptr;
}

void
RouteTable::NoteFirstByteTarget(const Route& aRoute)
{
  if (!aRoute.m_stream || aRoute.m_firstByteTarget.count() == 0) {
    return;
  }
  for (const ServiceShare& share : aRoute.m_services) {
    const auto known =
      m_shortestTargets.try_emplace(share.m_service, aRoute.m_firstByteTarget)
        .first;
    known->second = std::min(known->second, aRoute.m_firstByteTarget);
  }
}

Duration
RouteTable::ShortestFirstByteTarget(std::string_view aService) const
{
  const auto found = m_shortestTargets.find(aService);
  return found == m_shortestTargets.end() ? Duration{} : found->second;
}

void
RouteTable::NotePriority(const Route& aRoute)
{
  for (const ServiceShare& share : aRoute.m_services) {
    const auto known =
      m_mostUrgent.try_emplace(share.m_service, aRoute.m_priority).first;
    known->second = std::min(known->second, aRoute.m_priority);
  }
}

int
RouteTable::MostUrgent(std::string_view aService) const
{
  const auto found = m_mostUrgent.find(aService);
  return found == m_mostUrgent.end() ? 0 : UrgencyOf(found->second);
}

void
RouteTable::GatherPriorities()
{
  std::set<int> all;
  for (const Route& route : m_config.m_routes) {
    all.insert(route.m_priority);
  }
  for (const keys::Organisation& organisation : m_organisations.All()) {
    if (organisation.m_priority) {
      all.insert(*organisation.m_priority);
    }
  }
  m_priorities.assign(all.begin(), all.end());
}

int
RouteTable::UrgencyOf(int aPriority) const
{
  if (m_priorities.empty() || m_priorities.back() <= kLeastUrgent) {
    return std::clamp(aPriority, 0, kLeastUrgent);
  }
  const auto at =
    std::lower_bound(m_priorities.begin(), m_priorities.end(), aPriority);
  const auto more = std::distance(m_priorities.begin(), at);
  const auto count = static_cast<std::ptrdiff_t>(m_priorities.size());
  // With few of them each has an urgency of its own.
  const auto scaled =
    count <= kLeastUrgent ? more : more * kLeastUrgent / count;
  return static_cast<int>(scaled);
}

const Service*
RouteTable::FindService(std::string_view aName) const
{
  const auto found = m_byService.find(aName);
  return found == m_byService.end() ? nullptr : found->second;
}

const std::string&
RouteTable::Draw(const Route& aRoute, double aDraw)
{
  const double total =
    std::accumulate(aRoute.m_services.begin(),
                    aRoute.m_services.end(),
                    0.0,
                    [](double aSum, const ServiceShare& aShare) {
                      return aSum + aShare.m_weight;
                    });
  double left = aDraw * total;
  for (const ServiceShare& share : aRoute.m_services) {
    left -= share.m_weight;
    if (left < 0) {
      return share.m_service;
    }
  }
  return aRoute.m_services.back().m_service;
}

} // namespace ridgeferry::relay
