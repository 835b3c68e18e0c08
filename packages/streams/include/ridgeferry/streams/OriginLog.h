#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/streams/OriginTable.h>
#include <vector>

namespace ridgeferry::streams {

/**
 * The streams that an instance has begun and that their callers may still take
 * up. Their origins are written to the store, so that they outlast the loss of
 * all instances; the class decides when.
 *
 * What was written may be missing from the store, and a stream that ends before
 * a write is due is never written. So a record that is there is true, and one
 * that is missing proves nothing.
 *
 * The class performs no input or output. Pure, not thread-safe.
 */
class OriginLog
{
public:
  /** Most records that are written at once, at some 20 bytes each: below the
   * 64 KB that a row of the store may hold. Older ones are left out. */
  static constexpr std::size_t kMostRecords = 2000;
  /** Age from which on a stream is to be in the store. */
  struct Age
  {
    Duration m_least;
    /** Least age for each live instance, so that the calls of all together do
     * not grow with the fleet. */
    Duration m_eachInstance;
  };
  /** While several software versions serve: few streams are broken off before,
   * and 25 writes a second are a sixth of what one partition of the store
   * takes.
   */
  static constexpr Age kAgeOfSeveral{ Duration{ 250 }, Duration{ 40 } };
  /** While one version serves: at most 7 writes a second, as calls cost. */
  static constexpr Age kAgeOfOne{ Duration{ 1000 }, Duration{ 150 } };
  /** From a write that failed to the next one. */
  static constexpr Duration kRetryAfter{ 1000 };

  /** What decides how soon a stream is written. */
  struct Terms
  {
    std::size_t m_instances = 1; ///< Live ones, including this one.
    /** Some service had several software versions within a stream's time. */
    bool m_hasSeveralVersions = false;
  };

  /** Returns the age from which on a stream is to be in the store, which is
   * also the least time between two writes. */
  static Duration WriteAfter(const Terms& aTerms);

  /** A stream began here, or goes on here. */
  void NoteBegan(const OriginRecord& aRecord, Instant aNow);
  /** Adds a record that an earlier process of this instance wrote. The next
   * write contains it as well. */
  void NoteEarlier(const OriginRecord& aRecord, Instant aNow);
  /** The caller has all of the stream and does not take it up. */
  void NoteWhole(const StreamKey& aKey);
  /** The store has come back from an older copy: nothing that was written is
   * known to be there. */
  void NoteNewGeneration();
  /**
   * Returns the records to write now; std::nullopt if no write is due, or one
   * is under way. `NoteWritten` must follow.
   */
  std::optional<std::vector<OriginRecord>> Due(Instant aNow,
                                               const Terms& aTerms);
  /** The write that `Due` asked for has ended; `aIsDone` is false if it failed
   * or if its outcome is not known. */
  void NoteWritten(bool aIsDone, Instant aNow);
  std::size_t Size() const { return m_entries.size(); }

private:
  struct Entry
  {
    StreamKey m_key;
    StreamOrigin m_origin;
    Instant m_began;
    Instant m_until;
    bool m_isWritten = false;
  };

  void Expire(Instant aNow);
  bool IsDue(Instant aNow, Duration aAfter) const;

  std::deque<Entry> m_entries; ///< Oldest first.
  std::optional<Instant> m_wroteAt;
  std::optional<Instant> m_notBefore; ///< After a failure.
  bool m_isWriting = false;
};

} // namespace ridgeferry::streams
