#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ridgeferry {

/** 64-bit hash (XXH3), the same in every process. Thread-safe. */
std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

/**
 * Weight of `aMember` for `aKey` in rendezvous hashing: the member with the
 * highest weight owns the key. Thread-safe.
 */
std::uint64_t
RendezvousWeight(std::uint64_t aKey, std::uint64_t aMember);

} // namespace ridgeferry
