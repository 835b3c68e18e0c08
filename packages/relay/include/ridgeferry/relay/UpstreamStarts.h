#pragma once

#include <cstdint>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/pacing/StartPace.h>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::relay {

/** Why the share of an upstream in start changed. */
enum class PaceCause : std::uint8_t
{
  Started,   ///< It was listed anew, or its incarnation changed.
  Recovered, ///< It was ejected, and gets calls again afterwards.
  Answered,  ///< It answered in time.
  Slow,      ///< It answered slowly.
  Failed,    ///< It did not serve a call.
  Told       ///< Another instance found it.
};

std::string_view
NameOf(PaceCause aCause);

/** A change of the share that an upstream gets, for the log. */
struct PaceChange
{
  std::string m_upstream;
  double m_share = 1; ///< Of an even part of the calls; 1: the start is over.
  PaceCause m_cause = PaceCause::Answered;
};

/**
 * Slow start of upstreams: those of all services that have just started or
 * recovered are in start, and each gets a share of calls that
 * `pacing::StartPace` finds from its answers. All others are in service. Off by
 * default: no upstream is then in start. Pure, not thread-safe.
 */
class UpstreamStarts
{
public:
  /** Changes that are kept for `TakeChanges`; further ones are dropped. */
  static constexpr std::size_t kMostChanges = 256;

  void SetEnabled(bool aIsEnabled);
  bool IsEnabled() const { return m_isEnabled; }
  /** Returns whether no upstream is in start. */
  bool IsEmpty() const { return m_pace.IsEmpty(); }
  std::size_t CountInStart() const { return m_pace.CountInStart(); }
  bool IsInStart(pacing::UpstreamHash aUpstream) const
  {
    return m_pace.IsInStart(aUpstream);
  }
  /**
   * Returns whether a call goes to an upstream in start. `aUpstreams` is the
   * number of upstreams that could get the call in its place, itself included;
   * `aRandom` a random number of the call.
   */
  bool IsDrawn(pacing::UpstreamHash aUpstream,
               std::size_t aUpstreams,
               std::uint64_t aRandom) const;

  /** An upstream was listed that this instance had not known. It is in start
   * only if another of its service has served a call here: otherwise no other
   * one is known to take its calls. */
  void NoteStarted(std::string_view aId,
                   std::string_view aService,
                   Instant aNow);
  /** The upstream is ejected; afterwards it is in start. */
  void NoteEjected(std::string_view aId, Instant aNow);
  /** An upstream of the service has served a call of this instance. */
  void NoteServed(std::string_view aService);
  /** Returns whether that ended the upstream's start. */
  bool NoteAnswer(std::string_view aId,
                  const pacing::StartAnswer& aAnswer,
                  Instant aNow);
  /** `aId`: of the upstream that the report is about. Returns whether that
   * ended its start. */
  bool NotePeer(std::string_view aId,
                const pacing::PaceReport& aReport,
                Instant aNow);
  /** The upstream is gone, or another incarnation has taken its place. */
  void Forget(std::string_view aId);
  void Tick(Instant aNow) { m_pace.Tick(aNow); }

  /** Returns what to tell other instances, by upstream. */
  std::vector<pacing::PaceReport> Reports(Instant aNow) const;
  /** Returns the changes since the last call. */
  std::vector<PaceChange> TakeChanges();

private:
  void Begin(std::string_view aId, PaceCause aCause, Instant aNow);
  /** Returns whether the start is over. */
  bool Keep(std::string_view aId,
            std::optional<double> aShare,
            PaceCause aCause);

  bool m_isEnabled = false;
  pacing::StartPace m_pace;
  /** Services of which an upstream has served a call of this instance. */
  std::set<std::string, std::less<>> m_serving;
  std::vector<PaceChange> m_changes;
};

} // namespace ridgeferry::relay
