#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/streams/StreamKey.h>
#include <ridgeferry/streams/StreamOrigin.h>
#include <unordered_map>
#include <vector>

namespace ridgeferry::streams {

/** What an instance knows of a stream's origin. */
struct OriginRecord
{
  StreamKey m_key;
  StreamOrigin m_origin;
  Duration m_keepFor{}; ///< For how long the record is still to be kept.

  bool operator==(const OriginRecord&) const = default;
};

/**
 * The origins of streams that began here or that other instances told this one.
 * A record lapses after the time for which it was put. Pure, not thread-safe.
 */
class OriginTable
{
public:
  /** Most records that are kept, some 10 MB. A further one is not taken; its
   * stream is then unknown here. */
  static constexpr std::size_t kMostRecords = 100'000;

  /** What is known of a stream. */
  struct Known
  {
    StreamOrigin m_origin;
    /** Different origins were put under this key, so that none may be used. */
    bool m_isAmbiguous = false;
  };

  /** Returns false if the table is full. */
  bool Put(const OriginRecord& aRecord, Instant aNow);
  /** Returns std::nullopt if the stream is not known. */
  std::optional<Known> Find(const StreamKey& aKey, Instant aNow) const;
  /** Returns the records that another instance may use. */
  std::vector<OriginRecord> Records(Instant aNow) const;
  /** Drops the records that have lapsed. */
  void Expire(Instant aNow);
  std::size_t Size() const { return m_entries.size(); }

private:
  struct Entry
  {
    Known m_known;
    Instant m_until;
  };

  std::unordered_map<std::uint64_t, Entry> m_entries; ///< By key.
  /** Keys by the time at which their records may lapse. */
  std::multimap<Instant, std::uint64_t> m_lapses;
};

} // namespace ridgeferry::streams
