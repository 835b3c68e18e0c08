#pragma once

#include <cstdint>
#include <ridgeferry/base/Time.h>
#include <unordered_map>

namespace ridgeferry::relay {

/** A prefix segment that an engine was sent to prefill or to use. */
struct CachedSegment
{
  std::uint32_t m_segment = 0; ///< `PrefixSegment::m_key`.
  std::uint32_t m_member = 0;  ///< `Fleet::ShortHash` of the engine's id.
  bool operator==(const CachedSegment&) const = default;
};

/**
 * Tracks which engines have which prefix segments in their KV cache, from the
 * prefills of all instances.
 *
 * It addresses loads with few large shared prefixes on engines that prefill
 * slowly. There, a prompt that goes to an engine without its prefix takes
 * several times the prefill work, and at peak load no capacity is left for
 * that. Prefix affinity by hash alone would send the prompt elsewhere as soon
 * as the affinity target is busy, and would not remember where it went.
 *
 * Engines evict the least recently used entries, so what was used lately is
 * still cached. This class only makes decisions and does no I/O. It is not
 * thread-safe.
 */
class PrefixCacheIndex
{
public:
  /**
   * How long a segment counts as cached after its last use. Current engines
   * cache 470,000 tokens and prefill up to 60,000 a second. If a third of these
   * are new, the cache is replaced in about 20 s.
   */
  static constexpr Duration kLifetime{ 20'000 };

  /**
   * The same for decode engines. Every call brings its whole prompt there, so
   * the cache is replaced in about 4 s.
   */
  static constexpr Duration kDecodeLifetime{ 4000 };

  void Note(const CachedSegment& aPart, Instant aNow);
  /**
   * Returns whether the segment was used at the engine less than `aLife` ago.
   * `aLife` must be `kLifetime` or `kDecodeLifetime`.
   */
  bool IsCached(const CachedSegment& aPart, Duration aLife, Instant aNow) const;

  /** Removes all segments of an engine that restarted with an empty cache. */
  void ForgetEngine(std::uint32_t aMember);

private:
  void Forget(Instant aNow);

  std::unordered_map<std::uint64_t, Instant> m_usedAt;
  Instant m_forgotten;
};

} // namespace ridgeferry::relay
