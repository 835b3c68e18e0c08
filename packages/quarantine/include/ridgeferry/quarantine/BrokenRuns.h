#pragma once

#include <cstddef>
#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamIncarnation.h>
#include <ridgeferry/quarantine/CallDigest.h>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::quarantine {

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
   * Maximum number of runs tracked. It is more than the runs of several
   * upstreams that crash at the same time. Further broken runs are not
   * recorded, so their calls are not suspected.
   */
  static constexpr std::size_t kMaxRuns = 4096;

  void NoteBroken(const CallDigest& aCall,
                  const UpstreamIncarnation& aUpstream,
                  Instant aNow);
  /**
   * Records that this incarnation of the upstream crashed. Returns each call
   * that broke on it once, with the time of its first break, and stops tracking
   * these runs.
   */
  std::map<CallDigest, Instant> NoteEnded(const UpstreamIncarnation& aUpstream);
  /**
   * Records that the call completed successfully elsewhere, so that no crash
   * counts against it for the runs tracked so far.
   */
  void NoteServed(const CallDigest& aCall);
  /**
   * Records that the upstream has answered a request that was sent at `aSince`.
   */
  void NoteAlive(std::string_view aUpstream, Instant aSince);
  /**
   * Returns the number of upstreams on which the call broke and of which it is
   * not known yet whether they crashed.
   */
  std::size_t Unresolved(const CallDigest& aCall) const;
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
    CallDigest m_call;
    UpstreamIncarnation m_upstream;
    Instant m_at;
  };

  std::vector<Run> m_runs; ///< Runs in the order in which they broke.
};

} // namespace ridgeferry::quarantine
