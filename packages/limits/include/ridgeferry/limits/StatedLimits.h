#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <unordered_map>
#include <vector>

namespace ridgeferry::limits {

/** Hash of an upstream's id, by which instances speak of it to each other. */
using UpstreamHash = std::uint32_t;

/** What an answer says about the requests a second that its upstream accepts
 * from all instances together. */
struct LimitStatement
{
  /** std::nullopt if the answer states no limit. */
  std::optional<double> m_perSecond;
  Instant m_at; ///< When the answer arrived, on this instance's clock.
};

/** Which instance the answer with a statement came to. */
enum class StatedTo : std::uint8_t
{
  ThisInstance,
  APeer,
};

/** The latest statement of an upstream to an instance, as it tells the others.
 */
struct LimitReport
{
  UpstreamHash m_upstream = 0;
  std::optional<double> m_perSecond; ///< See `LimitStatement`.
  Duration m_age{};                  ///< Time since an answer stated it.
  bool operator==(const LimitReport&) const = default;
};

/** What a statement changed in what was known of its upstream. */
enum class LimitChange : std::uint8_t
{
  None,
  Named,   ///< The upstream had no limit before.
  Changed, ///< The limit differs by a tenth or more from the one last reported.
  Ended,   ///< The upstream states no limit any more.
};

/**
 * The limits that upstreams state in their answers, to whichever instance. A
 * pure state machine; not thread-safe.
 */
class StatedLimits
{
public:
  /** A limit of which no answer has spoken for this time has ended. Limits so
   * low that answers are rarer count some answers in place of it. */
  static constexpr Duration kSilence{ 5000 };
  static constexpr double kSilentAnswers = 3;
  /** Upper bound of that time. */
  static constexpr Duration kMaxSilence{ 20'000 };
  /** After the end of a limit the accepted rate doubles once in this time, so
   * that not all instances return to the upstream at once. */
  static constexpr Duration kDoubling{ 500 };
  /** Time after which nothing is left of a limit that has ended. */
  static constexpr Duration kReturn{ 3000 };

  /** Records what an answer of an upstream states. A statement is ignored if it
   * is older than the known one, or so old that nothing is left of its limit.
   */
  LimitChange Note(UpstreamHash aUpstream,
                   const LimitStatement& aStatement,
                   StatedTo aTo,
                   Instant aNow);
  /** Forgets an upstream, whose later incarnation has stated nothing yet. */
  void Forget(UpstreamHash aUpstream);
  /** Forgets the limits of which nothing is left. */
  void Tick(Instant aNow);
  /** Returns the requests a second that the upstream accepts; std::nullopt if
   * it has no limit. */
  std::optional<double> AcceptedRate(UpstreamHash aUpstream,
                                     Instant aNow) const;
  /**
   * Returns the latest statements to this instance of all upstreams that have a
   * limit, or whose limit ended a short time ago. What peers told is not told
   * on: its age does not include the time that messages take, so each
   * instance that told it on would report it as newer than it is.
   */
  std::vector<LimitReport> Reports(Instant aNow) const;
  bool IsEmpty() const { return m_entries.empty(); }

private:
  struct Entry
  {
    LimitStatement m_latest; ///< To any instance.
    /** The latest statement to this instance; std::nullopt if there is none. */
    std::optional<LimitStatement> m_own = {};
    /** When an answer first stated no limit any more. */
    Instant m_endedAt;
    double m_limit = 0;    ///< The latest limit stated, also if it has ended.
    double m_reported = 0; ///< The limit at the last change reported.
  };

  /** Returns when the limit ended; std::nullopt while it holds. */
  static std::optional<Instant> EndOf(const Entry& aEntry, Instant aNow);
  /** Returns whether the limit ended so long ago that nothing is left of it. */
  static bool IsOver(const Entry& aEntry, Instant aNow);
  static bool IsOver(const LimitStatement& aStatement, Instant aNow);

  std::unordered_map<UpstreamHash, Entry> m_entries;
};

} // namespace ridgeferry::limits
