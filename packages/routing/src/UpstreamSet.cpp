#include "ridgeferry/routing/UpstreamSet.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>

namespace ridgeferry::routing {

namespace {

bool
ServesPhase(declared::Role aRole, Phase aPhase)
{
  switch (aPhase) {
    case Phase::Whole:
      return aRole == declared::Role::Mixed;
    case Phase::Prefill:
      return aRole != declared::Role::Decode;
    case Phase::Decode:
      return aRole != declared::Role::Prefill;
  }
  return false;
}

/** Returns whether both reports name the same loaded model, version and
 * adapter. */
bool
SameLoad(const EngineReport& aLeft, const EngineReport& aRight)
{
  return aLeft.m_model == aRight.m_model &&
         aLeft.m_version == aRight.m_version &&
         aLeft.m_adapter == aRight.m_adapter;
}

} // namespace

void
UpstreamSet::SetListed(std::span<const ListedUpstream> aListed)
{
  std::vector<Upstream> next;
  next.reserve(aListed.size());
  std::map<std::string, UpstreamIndex, std::less<>> byId;
  for (const ListedUpstream& listed : aListed) {
    Upstream upstream;
    if (const Upstream* known = FindMutable(listed.m_id)) {
      upstream = *known;
    }
    upstream.m_listed = listed;
    upstream.m_hash = Hash64(listed.m_id);
    // An upstream that was announced to be leaving stays so, because the list
    // may be out of date and still contain it as live.
    upstream.m_leaving = upstream.m_leaving || listed.m_leaving;
    byId[listed.m_id] = static_cast<UpstreamIndex>(next.size());
    next.push_back(std::move(upstream));
  }
  for (Upstream& known : m_items) {
    const bool gone = !byId.contains(known.m_listed.m_id);
    if (gone && known.m_ownInFlight > 0) {
      known.m_leaving = true;
      byId[known.m_listed.m_id] = static_cast<UpstreamIndex>(next.size());
      next.push_back(std::move(known));
    }
  }
  m_items = std::move(next);
  m_byId = std::move(byId);
  DiscardPools();
}

void
UpstreamSet::SetReport(std::string_view aId,
                       const EngineReport& aReport,
                       Instant aNow)
{
  Upstream* upstream = FindMutable(aId);
  if (upstream == nullptr) {
    return;
  }
  const bool sameLoad =
    upstream->m_report && SameLoad(*upstream->m_report, aReport);
  if (upstream->m_report && upstream->m_report->m_bootId != aReport.m_bootId) {
    upstream->m_backOffUntil.reset(); // It was meant by an earlier process.
  }
  upstream->m_report = aReport;
  upstream->m_reportedAt = aNow;
  upstream->m_sentSinceReport = 0;
  if (!sameLoad) {
    DiscardPools();
  }
}

void
UpstreamSet::SetLoad(std::string_view aId, std::int64_t aRunning, Instant aNow)
{
  Upstream* upstream = FindMutable(aId);
  if (upstream == nullptr || !upstream->m_report) {
    return;
  }
  upstream->m_report->m_running = aRunning;
  upstream->m_reportedAt = aNow;
  upstream->m_sentSinceReport = 0;
}

void
UpstreamSet::MarkLeaving(std::string_view aId)
{
  if (Upstream* upstream = FindMutable(aId)) {
    upstream->m_leaving = true;
  }
}

void
UpstreamSet::DiscardPools()
{
  m_pools.clear();
}

std::optional<UpstreamIndex>
UpstreamSet::Find(std::string_view aId) const
{
  const auto it = m_byId.find(aId);
  return it == m_byId.end() ? std::nullopt : std::optional(it->second);
}

Upstream*
UpstreamSet::FindMutable(std::string_view aId)
{
  const auto index = Find(aId);
  return index ? &m_items[*index] : nullptr;
}

bool
UpstreamSet::Belongs(const Upstream& aUpstream, const PoolSpec& aSpec) const
{
  const ListedUpstream& listed = aUpstream.m_listed;
  if (listed.m_kind != aSpec.m_kind ||
      !aSpec.m_ownSelector.Matches(listed.m_labels) ||
      !aSpec.m_routeSelector.Matches(listed.m_labels)) {
    return false;
  }
  if (aSpec.m_kind == UpstreamKind::Service) {
    return true;
  }
  return aUpstream.m_report && aUpstream.m_report->m_model == aSpec.m_model &&
         aUpstream.m_report->m_version == aSpec.m_version &&
         aUpstream.m_report->m_adapter == aSpec.m_adapter;
}

std::span<const UpstreamIndex>
UpstreamSet::Pool(const PoolSpec& aSpec)
{
  const auto it = m_pools.find(aSpec.m_key);
  if (it != m_pools.end()) {
    return it->second;
  }
  std::vector<UpstreamIndex> members;
  for (UpstreamIndex i = 0; i < m_items.size(); ++i) {
    if (Belongs(m_items[i], aSpec)) {
      members.push_back(i);
    }
  }
  return m_pools.emplace(aSpec.m_key, std::move(members)).first->second;
}

bool
UpstreamSet::MayServe(UpstreamIndex aIndex, Phase aPhase, Instant aNow) const
{
  const Upstream& upstream = m_items[aIndex];
  if (upstream.m_leaving) {
    return false;
  }
  if (upstream.m_ejectedUntil && aNow < *upstream.m_ejectedUntil) {
    return false;
  }
  if (upstream.m_backOffUntil && aNow < *upstream.m_backOffUntil) {
    return false;
  }
  if (upstream.m_listed.m_kind == UpstreamKind::Service) {
    return aPhase == Phase::Whole;
  }
  return upstream.m_report && !upstream.m_report->m_draining &&
         !upstream.m_report->m_changing &&
         ServesPhase(upstream.m_report->m_role, aPhase);
}

std::int64_t
UpstreamSet::Slots(UpstreamIndex aIndex) const
{
  const Upstream& upstream = m_items[aIndex];
  return upstream.m_report ? upstream.m_report->m_slots : kServiceSlots;
}

std::int64_t
UpstreamSet::EstimatedLoad(UpstreamIndex aIndex) const
{
  const Upstream& upstream = m_items[aIndex];
  const std::int64_t reported =
    upstream.m_report ? upstream.m_report->m_running : 0;
  return std::max(upstream.m_ownInFlight,
                  reported + upstream.m_sentSinceReport);
}

void
UpstreamSet::NoteSent(std::string_view aId)
{
  if (Upstream* upstream = FindMutable(aId)) {
    ++upstream->m_ownInFlight;
    ++upstream->m_sentSinceReport;
  }
}

void
UpstreamSet::NoteEnded(std::string_view aId, bool aFailed, Instant aNow)
{
  Upstream* upstream = FindMutable(aId);
  if (upstream == nullptr) {
    return;
  }
  upstream->m_ownInFlight =
    std::max<std::int64_t>(0, upstream->m_ownInFlight - 1);
  upstream->m_sentSinceReport =
    std::max<std::int64_t>(0, upstream->m_sentSinceReport - 1);
  if (!aFailed) {
    upstream->m_failuresInRow = 0;
    upstream->m_ejectedUntil.reset();
    return;
  }
  if (++upstream->m_failuresInRow >= kFailuresToEject) {
    upstream->m_ejectedUntil = aNow + kEjectionTime;
  }
}

bool
UpstreamSet::NoteBackOff(std::string_view aId, Duration aFor, Instant aNow)
{
  Upstream* upstream = FindMutable(aId);
  if (upstream == nullptr) {
    return false;
  }
  const std::optional<Instant> before = upstream->m_backOffUntil;
  const Instant until = aNow + std::min(aFor, kMaxBackOff);
  upstream->m_backOffUntil = std::max(before.value_or(until), until);
  return !before || *before <= aNow;
}

std::optional<Instant>
UpstreamSet::BackOffEnd(std::span<const UpstreamIndex> aUpstreams,
                        Instant aNow) const
{
  std::optional<Instant> soonest;
  for (const UpstreamIndex index : aUpstreams) {
    const Upstream& upstream = m_items[index];
    if (upstream.m_leaving) {
      continue;
    }
    if (!upstream.m_backOffUntil || *upstream.m_backOffUntil <= aNow) {
      return std::nullopt;
    }
    const Instant end = *upstream.m_backOffUntil;
    soonest = std::min(soonest.value_or(end), end);
  }
  return soonest;
}

} // namespace ridgeferry::routing
