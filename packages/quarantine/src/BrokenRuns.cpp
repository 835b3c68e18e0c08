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
BrokenRuns::NoteBroken(const CallDigest& aCall,
                       const UpstreamIncarnation& aUpstream,
                       Instant aNow)
{
  if (m_runs.size() < kMaxRuns) {
    m_runs.push_back({ aCall, aUpstream, aNow });
  }
}

std::map<CallDigest, Instant>
BrokenRuns::NoteEnded(const UpstreamIncarnation& aUpstream)
{
  std::map<CallDigest, Instant> calls;
  std::erase_if(m_runs, [&](const Run& aRun) {
    const bool same = IsSameIncarnation(aRun.m_upstream, aUpstream);
    if (same) {
      calls.emplace(aRun.m_call, aRun.m_at);
    }
    return same;
  });
  return calls;
}

void
BrokenRuns::NoteServed(const CallDigest& aCall)
{
  std::erase_if(m_runs, [&](const Run& aRun) { return aRun.m_call == aCall; });
}

void
BrokenRuns::NoteAlive(std::string_view aUpstream, Instant aSince)
{
  std::erase_if(m_runs, [&](const Run& aRun) {
    return aRun.m_upstream.m_id == aUpstream && aRun.m_at <= aSince;
  });
}

std::size_t
BrokenRuns::Unresolved(const CallDigest& aCall) const
{
  std::set<std::string_view> upstreams;
  for (const Run& run : m_runs) {
    if (run.m_call == aCall) {
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
