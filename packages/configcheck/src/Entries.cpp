#include "Entries.h"

#include <algorithm>
#include <cctype>

namespace ridgeferry::configcheck {

std::string
HostOf(const relay::Route& aRoute)
{
  std::string out = aRoute.m_host.substr(0, aRoute.m_host.find(':'));
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char aSign) {
    return static_cast<char>(std::tolower(aSign));
  });
  return out;
}

std::string
KeyOf(const relay::Route& aRoute)
{
  return HostOf(aRoute) + aRoute.m_pathPrefix;
}

const std::string&
KeyOf(const relay::Service& aService)
{
  return aService.m_name;
}

const std::string&
KeyOf(const keys::Organisation& aOrganisation)
{
  return aOrganisation.m_name;
}

std::span<const keys::Organisation>
OrganisationsOf(const relay::RouteConfig& aConfig)
{
  if (!aConfig.m_organisations) {
    return {};
  }
  return *aConfig.m_organisations;
}

std::string
EntryOf(const relay::Route& aRoute)
{
  return "route " + KeyOf(aRoute);
}

std::string
EntryOf(const relay::Service& aService)
{
  return "service " + aService.m_name;
}

std::string
EntryOf(const keys::Organisation& aOrganisation)
{
  return "organisation " + aOrganisation.m_name;
}

} // namespace ridgeferry::configcheck
