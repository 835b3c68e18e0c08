#pragma once

#include <cstddef>
#include <cstdint>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::relay {

/** Bytes of answers that the callers of one instance have not read yet, of all
 * calls together. Not thread-safe. */
class UnreadBytes
{
public:
  std::size_t Total() const { return m_total; }

private:
  friend class BackPressure;
  std::size_t m_total = 0;
};

/** How an instance goes on with an answer that is on its way. */
enum class Reading : std::uint8_t
{
  On,      ///< Reads from the upstream.
  Paused,  ///< Waits until the caller has read more.
  GivenUp, ///< The caller does not read; its answer ends here.
};

/**
 * Decides for one call whether the instance reads on from the upstream or waits
 * for the caller. An answer is held up to a bound for each call, and up to a
 * lower one while all calls together hold much, so that callers which do not
 * read cost no other caller its answer. A caller that reads nothing for
 * `kLongestStall` is given up: the upstream holds its side of the answer all
 * the while.
 *
 * Pure, not thread-safe.
 */
class BackPressure
{
public:
  /** Bytes of one answer above which reading pauses, and below which it goes
   * on. The lower one keeps the caller's connection busy until more is read. */
  static constexpr std::size_t kPauseAbove = std::size_t{ 64 } * 1024;
  static constexpr std::size_t kResumeBelow = std::size_t{ 16 } * 1024;
  /** Bytes of all answers above which each may hold only `kLeastShare`. */
  static constexpr std::size_t kMuchInAll = std::size_t{ 8 } * 1024 * 1024;
  static constexpr std::size_t kLeastShare = std::size_t{ 4 } * 1024;
  /** Longest time in which a caller reads nothing while its answer waits.
   * Longer than a connection takes to send a lost packet again three times. */
  static constexpr Duration kLongestStall{ 2000 };

  /** `aAll` must outlive this object. */
  explicit BackPressure(UnreadBytes& aAll)
    : m_all(aAll)
  {
  }
  ~BackPressure();
  BackPressure(const BackPressure&) = delete;
  BackPressure& operator=(const BackPressure&) = delete;

  /**
   * Records how many bytes the caller has not read yet, and returns how to go
   * on. Must be called after bytes were passed on, and while the answer is
   * paused whenever the caller may have read, several times within
   * `kLongestStall` at least.
   */
  Reading Note(std::size_t aUnread, Instant aNow);
  bool IsPaused() const { return m_isPaused; }

private:
  UnreadBytes& m_all;
  std::size_t m_unread = 0;
  bool m_isPaused = false;
  Instant m_readAt; ///< When the caller last read, while paused.
};

} // namespace ridgeferry::relay
