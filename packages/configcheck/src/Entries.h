#pragma once

#include <ridgeferry/keys/Organisations.h>
#include <ridgeferry/relay/Routes.h>
#include <span>
#include <string>

namespace ridgeferry::configcheck {

/** Host of a route as `relay::RouteTable` looks it up. */
std::string
HostOf(const relay::Route& aRoute);

/** What names a route: its host and its path prefix. */
std::string
KeyOf(const relay::Route& aRoute);
const std::string&
KeyOf(const relay::Service& aService);
const std::string&
KeyOf(const keys::Organisation& aOrganisation);

/** Returns the organisations that are declared. The configuration must outlive
 * the result. */
std::span<const keys::Organisation>
OrganisationsOf(const relay::RouteConfig& aConfig);

/** How an entry is named to operators. */
std::string
EntryOf(const relay::Route& aRoute);
std::string
EntryOf(const relay::Service& aService);
std::string
EntryOf(const keys::Organisation& aOrganisation);

} // namespace ridgeferry::configcheck
