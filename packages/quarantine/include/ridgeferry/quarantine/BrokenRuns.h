#pragma once

#include <cstddef>
#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <ridgeferry/quarantine/Suspect.h>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::quarantine {

/** A suspect named by a run whose connection broke. */
struct BrokenSuspect
{
  Depth m_depth = kCallDepth;
  Instant m_at; ///< When the first of its runs on the upstream broke.
};

/**
 * Tracks runs of calls whose connection broke, until it is known whether the
 * upstream crashed or only the connection failed. An upstream has crashed when
 * nobody listens at its address, when its entry in the platform's list is
 * removed, or when a later incarnation of it is listed. An upstream is alive
 * when it answers a request that was sent after the break. A run for which
 * neither is known within `kUnresolvedFor` is removed. Decisions only; not
 * thread-safe.
 */
class BrokenRuns
{
public:
  /**
   * The platform's list removes an upstream that has sent nothing for 3.6 s and
   * reports the removal within another second.
   */
  static constexpr Duration kUnresolvedFor{ 6000 };
  /**
   * Maximum number of suspects tracked, each once for each run that names it.
   * It is more than the runs of several upstreams that crash at the same time
   * name. What further broken runs name is not suspected.
   */
  static constexpr std::size_t kMaxTracked = 16384;

  /** Records that a run that names these suspects broke. */
  void NoteBroken(std::span<const NamedSuspect> aSuspects,
                  const UpstreamIncarnation& aUpstream,
                  Instant aNow);
  /**
   * Records that this incarnation of the upstream crashed. Returns each suspect
   * whose runs broke on it once, and stops tracking these runs.
   */
  std::map<Suspect, BrokenSuspect> NoteEnded(
    const UpstreamIncarnation& aUpstream);
  /**
   * Records that a run that names the suspect completed successfully elsewhere,
   * so that no crash counts against it for the runs tracked so far.
   */
  void NoteServed(const Suspect& aSuspect);
  /**
   * Records that the upstream has answered a request that was sent at `aSince`.
   */
  void NoteAlive(std::string_view aUpstream, Instant aSince);
  /**
   * Returns the number of upstreams on which runs of the suspect broke and of
   * which it is not known yet whether they crashed.
   */
  std::size_t Unresolved(const Suspect& aSuspect) const;
  /**
   * Returns the incarnations of the upstream of which it is not known yet
   * whether they crashed.
   */
  std::vector<UpstreamIncarnation> UnresolvedIncarnations(
    std::string_view aUpstream) const;
  /**
   * Returns the ids of upstreams of which it is not known yet whether they
   * crashed.
   */
  std::set<std::string> Upstreams() const;
  bool IsEmpty() const { return m_runs.empty(); }
  void Tick(Instant aNow);
  /**
   * Must be called after this process was suspended: runs that broke meanwhile
   * say nothing about their upstreams.
   */
  void ForgetAll() { m_runs.clear(); }

private:
  struct Run
  {
    Suspect m_suspect;
    Depth m_depth = kCallDepth;
    UpstreamIncarnation m_upstream;
    Instant m_at;
  };

  /** In the order in which they broke, one for each suspect of a run. */
  std::vector<Run> m_runs;
};

} // namespace ridgeferry::quarantine
