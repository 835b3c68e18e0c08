#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>

namespace ridgeferry::admission {

/** How an upstream answered a call. */
struct Answer
{
  Instant m_sentAt;
  Duration m_took{}; ///< Until the first byte; at least so long if it is cut.
  /** False if the upstream turned the call away, or its caller got nothing in
   * time. */
  bool m_isServed = false;
  /** Time within which callers of its route want the first byte. */
  Duration m_aim{};
  /** Time after which its caller gives up. */
  Duration m_deadline{};
};

/** What an answer changed in the limit. */
enum class LimitStep : std::uint8_t
{
  None,
  Began, ///< There was no limit before.
  Lowered,
  Raised,
  Ended, ///< There is room for all calls again.
};

/**
 * Finds how many calls one instance may have under way at a service, from how
 * long the answers take (adaptive concurrency limit, additive increase and
 * multiplicative decrease).
 *
 * An upstream may queue without bound, and then answers every call too late.
 * While no more calls are under way than are answered in time, the queue stays
 * short whoever else sends to it. There is no limit until answers are late, so
 * a service with enough room is never limited.
 *
 * Pure, not thread-safe.
 */
class ConcurrencyLimit
{
public:
  /** Least time over which answers are counted before the limit changes. */
  static constexpr Duration kWindow{ 200 };
  /** Least answers in a window; the window lasts until they are there. */
  static constexpr int kLeastAnswers = 10;
  /** So many out of time end it before. */
  static constexpr int kLeastOutOfTime = 4;
  /** Share of answers out of time above which the limit falls. One upstream of
   * several that stalls for a moment is no lack of room. */
  static constexpr double kOverShare = 0.2;
  static constexpr double kDecrease = 0.85;
  /** Lowest part of the calls under way to which a limit falls at once: the
   * answers of one window may say too little. */
  static constexpr double kMostDecrease = 0.4;
  /** By how much the limit rises after a window: a part of it, at most so many
   * calls. */
  static constexpr double kIncrease = 0.1;
  static constexpr double kMostIncrease = 1;
  /** Part of the aim above which an answer is out of time: the rest is for what
   * stands between the answers counted and the next ones. */
  static constexpr double kMostOfAim = 0.8;
  /** Part of the aim that the answers should take while the limit is used. It
   * rises only while most take less. */
  static constexpr double kWantedOfAim = 0.6;
  /** Part of the limit that must have been used for it to rise. */
  static constexpr double kNearLimit = 0.8;
  /** Lowest limit; below 1, each call is admitted with that probability. */
  static constexpr double kLeast = 0.1;
  /** Time without an answer out of time, and without the limit being used,
   * after which the limit ends. */
  static constexpr Duration kCalm{ 5000 };
  /** Answers that take less than this many times the shortest known time are in
   * time: their upstreams are slow, not short of room. */
  static constexpr double kQueued = 2;
  /** By how much the shortest known time grows in a second, so that a service
   * that has become slower is not limited for ever. */
  static constexpr double kShortestGrowth = 0.02;

  /** Records an answer. `aInFlight` is the number of calls under way, this one
   * included. */
  LimitStep NoteAnswer(const Answer& aAnswer,
                       std::size_t aInFlight,
                       Instant aNow);
  /** Returns how many calls may be under way; std::nullopt if there is no
   * limit. */
  std::optional<double> Value() const { return m_limit; }
  /** Returns the answers a second that were served in the last window; 0 if
   * there was none. */
  double ServedPerSecond() const { return m_servedPerSecond; }

private:
  enum class Timing
  {
    Early, ///< There may be room for more.
    InTime,
    OutOfTime,
  };

  Timing TimingOf(const Answer& aAnswer, Instant aNow);
  LimitStep CloseWindow(Instant aNow);
  LimitStep Lower(Instant aNow);
  LimitStep Raise(Instant aNow);

  std::optional<double> m_limit;
  /** Answers to calls sent before show the limit before. */
  std::optional<Instant> m_loweredAt;
  double m_shortestMs = 0; ///< 0 if unknown.
  Instant m_shortestAt;
  double m_servedPerSecond = 0;
  // Of the present window:
  std::optional<Instant> m_since;
  int m_answers = 0;
  int m_served = 0;
  int m_outOfTime = 0;
  int m_early = 0;
  double m_aimMs = 0; ///< Sum over its answers.
  double m_peak = 0;  ///< Most calls under way.
};

} // namespace ridgeferry::admission
