#include "ridgeferry/quarantine/BrokenRuns.h"

#include <algorithm>

namespace ridgeferry::quarantine {

namespace {

bool
IsSameIncarnation(const UpstreamIncarnation& aLeft,
                  const UpstreamIncarnation& aRight)
{
  return aLeft.m_id == aRight.m_id &&
         Compare(aLeft.m_born, aRight.m_born) == IncarnationOrder::Same;
}

} // namespace

void
BrokenRuns::NoteBroken(std::span<const NamedSuspect> aSuspects,
                       const UpstreamIncarnation& aUpstream,
                       Instant aNow)
{
  for (const NamedSuspect& named : aSuspects) {
    if (m_runs.size() < kMaxTracked) {
      m_runs.push_back({ named.m_suspect, named.m_depth, aUpstream, aNow });
    }
  }
}

std::map<Suspect, BrokenSuspect>
BrokenRuns::NoteEnded(const UpstreamIncarnation& aUpstream)
{
  std::map<Suspect, BrokenSuspect> suspects;
  std::erase_if(m_runs, [&](const Run& aRun) {
    const bool same = IsSameIncarnation(aRun.m_upstream, aUpstream);
    if (same) {
      suspects.emplace(aRun.m_suspect,
                       BrokenSuspect{ aRun.m_depth, aRun.m_at });
    }
    return same;
  });
  return suspects;
}

void
BrokenRuns::NoteServed(const Suspect& aSuspect)
{
  std::erase_if(m_runs,
                [&](const Run& aRun) { return aRun.m_suspect == aSuspect; });
}

void
BrokenRuns::NoteAlive(std::string_view aUpstream, Instant aSince)
{
  std::erase_if(m_runs, [&](const Run& aRun) {
    return aRun.m_upstream.m_id == aUpstream && aRun.m_at <= aSince;
  });
}

std::size_t
BrokenRuns::Unresolved(const Suspect& aSuspect) const
{
  std::set<std::string_view> upstreams;
  for (const Run& run : m_runs) {
    if (run.m_suspect == aSuspect) {
      upstreams.insert(run.m_upstream.m_id);
    }
  }
  return upstreams.size();
}

std::vector<UpstreamIncarnation>
BrokenRuns::UnresolvedIncarnations(std::string_view aUpstream) const
{
  std::vector<UpstreamIncarnation> out;
  for (const Run& run : m_runs) {
    const bool listed = std::any_of(
      out.begin(), out.end(), [&run](const UpstreamIncarnation& aIncarnation) {
        return aIncarnation == run.m_upstream;
      });
    if (run.m_upstream.m_id == aUpstream && !listed) {
      out.push_back(run.m_upstream);
    }
  }
  return out;
}

std::set<std::string>
BrokenRuns::Upstreams() const
{
  std::set<std::string> out;
  for (const Run& run : m_runs) {
    out.insert(run.m_upstream.m_id);
  }
  return out;
}

void
BrokenRuns::Tick(Instant aNow)
{
  std::erase_if(m_runs, [aNow](const Run& aRun) {
    return aNow - aRun.m_at >= kUnresolvedFor;
  });
}

} // namespace ridgeferry::quarantine
