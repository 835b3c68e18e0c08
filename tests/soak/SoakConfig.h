#pragma once

#include <cstdint>
#include <string>

namespace ridgeferry::soak {

/** The whole configuration of one version, as operators write it; a route of
 * its own tells which version is in force. */
std::string
ConfigText(std::uint64_t aVersion);

} // namespace ridgeferry::soak
