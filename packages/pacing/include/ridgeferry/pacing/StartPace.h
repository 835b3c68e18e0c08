#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <unordered_map>
#include <vector>

namespace ridgeferry::pacing {

/** Hash of an upstream's id, by which instances speak of it to each other. */
using UpstreamHash = std::uint32_t;

/** How an upstream that has just started or recovered answered a call. */
struct StartAnswer
{
  Instant m_sentAt;
  /** Whether it was served. */
  bool m_isServed = false;
  /** Time that it took, relative to answers of upstreams in service now; has no
   * meaning unless it was served. */
  double m_slowness = 1;
};

/** What an instance tells others of the pace of an upstream. */
struct PaceReport
{
  UpstreamHash m_upstream = 0;
  /** Rises with each change that any instance made. */
  std::uint32_t m_change = 0;
  int m_level = 0; ///< See `StartPace::kFullLevel`.
  Duration m_age{};
  bool operator==(const PaceReport&) const = default;
};

/**
 * Finds, from its answers, how much may be sent to an upstream that has just
 * started or recovered (slow start).
 *
 * Such an upstream gets a share of an even part of the calls. The share doubles
 * with a good answer, a round apart from the change before, and halves with a
 * slow one or a failure; at a whole part the start is over. Each instance draws
 * for each call whether the upstream may get it, so the share holds for all
 * together, however many they are, and no instance has to know which others
 * call it. What one instance learns it tells the others: with many instances
 * each sees too few answers by itself.
 *
 * Pure, not thread-safe.
 */
class StartPace
{
public:
  /** Level at which an upstream gets an even part; one less is half of it. At
   * level 0 one that answers eight times slower is under no more load than the
   * others, and is still asked often enough for its recovery to be seen. */
  static constexpr int kFullLevel = 3;
  /** A quarter of an even part: slow first answers then reach few callers, and
   * two good ones end the start. */
  static constexpr int kFirstLevel = 1;
  /** Least time between a change and the next rise: longer than heartbeats take
   * to tell all instances of a change. */
  static constexpr Duration kRound{ 400 };
  /** Relative time from which on an answer is slow. Upstreams of one service
   * may be nearly three times as fast as others for good. */
  static constexpr double kSlow = 3;
  /** Age up to which a report counts and is told. */
  static constexpr Duration kFresh{ 2000 };

  /** The upstream has started, or comes back after an ejection. Must not be
   * called for upstreams that this instance found in service as it started. */
  void Begin(UpstreamHash aUpstream, Instant aNow);
  /** Returns whether nothing is known of any upstream's start. */
  bool IsEmpty() const { return m_entries.empty(); }
  /** The upstream has ended. */
  void Forget(UpstreamHash aUpstream) { m_entries.erase(aUpstream); }
  /** Returns whether the upstream has started and does not get an even part
   * yet.
   */
  bool IsInStart(UpstreamHash aUpstream) const;
  /** Returns the number of upstreams that are in start. */
  std::size_t CountInStart() const;
  /** Returns the share of an even part, above 0 and at most 1. */
  double ShareOf(UpstreamHash aUpstream) const;
  /**
   * Returns whether a call may be placed at the upstream. `aUpstreams` is the
   * number of upstreams that may get the call, `aDraw` a random number, at
   * least 0 and below 1, drawn for this call and upstream. An upstream in start
   * that may get the call is to be preferred to the others, as its load says
   * little of it.
   */
  bool MayPlace(UpstreamHash aUpstream,
                std::size_t aUpstreams,
                double aDraw) const;
  /** Records an answer. Returns the new share if it has changed. Answers to
   * calls that were sent before the latest change raise nothing. */
  std::optional<double> NoteAnswer(UpstreamHash aUpstream,
                                   const StartAnswer& aAnswer,
                                   Instant aNow);
  /** Records what a peer told. Returns the new share if that has changed it. */
  std::optional<double> NotePeer(const PaceReport& aReport, Instant aNow);
  /** Returns what to tell other instances: the latest changes. */
  std::vector<PaceReport> Reports(Instant aNow) const;
  /** Raises the share of upstreams of which nothing was found for `kFresh`, and
   * forgets what is neither in start nor fresh. */
  void Tick(Instant aNow);

private:
  struct Entry
  {
    bool m_hasBegun = false; ///< Here; false: only a peer told of it.
    int m_level = kFirstLevel;
    std::uint32_t m_change = 0;
    Instant m_changedAt;
  };

  static void Change(Entry& aEntry, int aLevel, Instant aNow);
  static bool IsFresh(const Entry& aEntry, Instant aNow)
  {
    return aNow - aEntry.m_changedAt <= kFresh;
  }
  static double ShareAt(int aLevel);

  std::unordered_map<UpstreamHash, Entry> m_entries;
};

} // namespace ridgeferry::pacing
