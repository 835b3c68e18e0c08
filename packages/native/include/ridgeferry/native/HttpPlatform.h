#pragma once

#include <memory>
#include <ridgeferry/native/InstanceList.h>
#include <ridgeferry/native/ObjectStore.h>
#include <ridgeferry/native/TableService.h>
#include <ridgeferry/net/HttpClient.h>
#include <string>

namespace ridgeferry::native {

/** Time after which a call to the platform counts as lost. */
inline constexpr Duration kPlatformTimeout{ 1500 };

/**
 * The platform's services over HTTP with JSON, as docs/PLATFORM.md gives them.
 * Another wire form is another set of these three. Precondition: the client
 * outlives the adapter.
 */
std::unique_ptr<TableService>
MakeHttpTable(net::HttpClient& aClient, std::string aAddress);
std::unique_ptr<ObjectStore>
MakeHttpObjectStore(net::HttpClient& aClient, std::string aAddress);
std::unique_ptr<InstanceList>
MakeHttpInstanceList(net::HttpClient& aClient, std::string aAddress);

} // namespace ridgeferry::native
