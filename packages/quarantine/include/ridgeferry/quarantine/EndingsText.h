#pragma once

#include <ridgeferry/base/Time.h>
#include <ridgeferry/quarantine/Quarantine.h>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::quarantine {

/**
 * Endings as JSON, for peers and for the store; times are wall-clock ones, so
 * that they outlast all processes. Thread-safe.
 */
std::string
FormatEndings(std::span<const ToldEnding> aEndings, WallTime aNow);

/** Error: what is wrong with the text. Thread-safe. */
tl::expected<std::vector<ToldEnding>, std::string>
ParseEndings(std::string_view aText, WallTime aNow);

} // namespace ridgeferry::quarantine
