#pragma once

#include <cstddef>
#include <map>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/base/UpstreamLife.h>
#include <ridgeferry/quarantine/CallDigest.h>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ridgeferry::quarantine {

/**
 * Runs of this instance that broke off, until it is known whether their
 * upstream has ended or only the connection. An upstream has ended when nobody
 * listens at its address, when its list entry goes or when a later life of it
 * is listed; it lives when it answers something that was begun after the break.
 * What shows neither within `kUnresolvedFor` is forgotten. Decisions only; not
 * thread-safe.
 */
class BrokenRuns
{
public:
  /** The list drops an upstream that says nothing after 3.6 s and tells of it
   * within another second. */
  static constexpr Duration kUnresolvedFor{ 6000 };
  /** Bound of what is kept; more than the runs of some upstreams that end at
   * once. Further ones accuse nobody. */
  static constexpr std::size_t kMost = 4096;

  void NoteBroken(const CallDigest& aCall,
                  const UpstreamLife& aUpstream,
                  Instant aNow);
  /** This life has ended: the calls that it ran, each once, and when they broke
   * off first. */
  std::map<CallDigest, Instant> NoteEnded(const UpstreamLife& aUpstream);
  /** The call ran well elsewhere: no end is held against it. */
  void NoteServed(const CallDigest& aCall);
  /** It has answered what was begun at `aSince`. */
  void NoteAlive(std::string_view aUpstream, Instant aSince);
  /** Lives of which it is not known yet whether they ended under the call. */
  std::size_t Unresolved(const CallDigest& aCall) const;
  /** Lives of an upstream of which it is not known yet whether they ended. */
  std::vector<UpstreamLife> LivesOf(std::string_view aUpstream) const;
  /** Ids of upstreams of which that is not known yet. */
  std::set<std::string> Upstreams() const;
  bool IsEmpty() const { return m_runs.empty(); }
  void Tick(Instant aNow);
  /** This instance stood still: what broke meanwhile tells nothing. */
  void ForgetAll() { m_runs.clear(); }

private:
  struct Run
  {
    CallDigest m_call;
    UpstreamLife m_upstream;
    Instant m_at;
  };

  std::vector<Run> m_runs; ///< By the time of the break.
};

} // namespace ridgeferry::quarantine
