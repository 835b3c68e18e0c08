#pragma once

#include <cstddef>
#include <cstdint>
#include <ridgeferry/streams/StreamKey.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::streams {

/** Another instance that may hold records of origins. */
struct Holder
{
  std::uint64_t m_hash = 0; ///< Of its name.
  std::string_view m_dataCentre;
  std::string_view m_address;
  /** It takes no new records, but has those that it was told. */
  bool m_isLeaving = false;
};

/**
 * Who holds the record of a stream, chosen by rendezvous hashing of its key, so
 * that any instance finds them without asking. Whoever began the stream tells
 * `kNear` instances of its own data centre, so that one may be lost, and
 * `kFar` of another one, so that the data centre may.
 */
inline constexpr std::size_t kNear = 2;
inline constexpr std::size_t kFar = 1;

/**
 * Returns the addresses of the instances to tell of a stream that began in
 * `aDataCentre`. `aOthers` are the live instances but this one. Thread-safe.
 */
std::vector<std::string>
HoldersToTell(const StreamKey& aKey,
              std::string_view aDataCentre,
              std::span<const Holder> aOthers);

/**
 * Returns the addresses of the instances that may have been told of a stream,
 * wherever it began. It is one more in each data centre than are told: whoever
 * told them may rank among the first itself, or an instance may have started
 * since. Thread-safe.
 */
std::vector<std::string>
HoldersToAsk(const StreamKey& aKey, std::span<const Holder> aOthers);

} // namespace ridgeferry::streams
