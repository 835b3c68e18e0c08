#include "UpstreamWatch.h"

#include <ridgeferry/base/Hash.h>

namespace ridgeferry::daemon {

namespace {

/** Instances that poll an engine: one may be lost without a gap. */
constexpr std::size_t kObservers = 2;

std::uint32_t
Hash32(std::string_view aText)
{
  return static_cast<std::uint32_t>(Hash64(aText));
}

/** Hash of all that matters of a status but the load. */
std::uint32_t
StateHash(const upstream::EngineStatus& aStatus)
{
  const routing::EngineReport& report = aStatus.m_report;
  std::uint64_t hash = Hash64(report.m_bootId);
  hash = Hash64(report.m_model, hash);
  hash = Hash64(report.m_version, hash);
  hash = Hash64(report.m_adapter, hash);
  const std::uint64_t flags = (report.m_draining ? 1U : 0U) |
                              (report.m_changing ? 2U : 0U) |
                              (aStatus.m_leaving ? 4U : 0U) |
                              (static_cast<std::uint64_t>(report.m_role) << 3U);
  hash = RendezvousWeight(hash, flags + 1);
  hash = RendezvousWeight(hash, static_cast<std::uint64_t>(report.m_slots) + 1);
  return static_cast<std::uint32_t>(hash);
}

routing::ListedUpstream
ToUpstream(const native::ListedMember& aMember)
{
  routing::ListedUpstream out;
  out.m_id = aMember.m_id;
  out.m_kind = aMember.m_kind == native::ListedKind::Service
                 ? routing::UpstreamKind::Service
                 : routing::UpstreamKind::Engine;
  out.m_dataCentre = aMember.m_dataCentre;
  out.m_address = aMember.m_address;
  out.m_labels = aMember.m_labels;
  out.m_leaving = aMember.m_leaving;
  return out;
}

} // namespace

UpstreamWatch::UpstreamWatch(Node& aNode,
                             const membership::Roster& aRoster,
                             routing::UpstreamSet& aUpstreams,
                             upstream::EngineClient& aEngines)
  : m_node(aNode)
  , m_roster(aRoster)
  , m_upstreams(aUpstreams)
  , m_engines(aEngines)
{
}

void
UpstreamWatch::Start()
{
  m_listTimer = m_node.m_loop->Every(m_node.m_settings.m_poll.m_list,
                                     [this] { PollList(); });
  m_statusTimer = m_node.m_loop->Every(m_node.m_settings.m_poll.m_status,
                                       [this] { PollStatus(); });
  PollList();
}

void
UpstreamWatch::MarkLeaving(const std::string& aUpstream)
{
  m_upstreams.MarkLeaving(aUpstream);
}

void
UpstreamWatch::PollList()
{
  if (m_listAsked) {
    return;
  }
  m_listAsked = true;
  m_node.m_list->Get(
    m_node.m_settings.m_dataCentre,
    [this](std::optional<std::vector<native::ListedMember>> aMembers) {
      m_listAsked = false;
      if (!aMembers) {
        m_node.m_metrics.Count("list_read_failures_total");
        return;
      }
      OnList(std::move(*aMembers));
    });
}

void
UpstreamWatch::OnList(std::vector<native::ListedMember> aMembers)
{
  std::vector<routing::ListedUpstream> upstreams;
  std::vector<std::string> leaving;
  for (const native::ListedMember& member : aMembers) {
    if (member.m_kind == native::ListedKind::Instance) {
      continue;
    }
    upstreams.push_back(ToUpstream(member));
    if (member.m_leaving) {
      leaving.push_back(member.m_id);
    }
  }
  const bool first = m_upstreams.All().empty() && !upstreams.empty();
  m_upstreams.SetListed(upstreams);
  m_byHash.clear();
  for (const routing::ListedUpstream& upstream : upstreams) {
    m_byHash[Hash32(upstream.m_id)] = upstream.m_id;
  }
  m_listed.emit(aMembers);
  for (const std::string& id : leaving) {
    m_leaving.emit(id);
  }
  if (first) {
    PollStatus();
  }
}

bool
UpstreamWatch::Observes(const std::string& aEngine) const
{
  const bool planned = m_plannerInterest && m_plannerInterest(aEngine);
  return planned || m_roster.Rank(aEngine) < kObservers;
}

void
UpstreamWatch::PollStatus()
{
  const Instant now = m_node.Now();
  // Whoever observes an engine is heard every heartbeat; two missed ones and a
  // poll later this process looks for itself.
  const Duration longestSilence =
    2 * m_roster.HeartbeatInterval() + m_node.m_settings.m_poll.m_status;
  for (const routing::Upstream& upstream : m_upstreams.All()) {
    if (upstream.m_listed.m_kind != routing::UpstreamKind::Engine) {
      continue;
    }
    const bool silent =
      !upstream.m_report || now - upstream.m_reportedAt >= longestSilence;
    if (silent || Observes(upstream.m_listed.m_id)) {
      Ask(upstream.m_listed);
    }
  }
}

void
UpstreamWatch::Ask(const routing::ListedUpstream& aEngine)
{
  if (!m_statusAsked.insert(aEngine.m_id).second) {
    return;
  }
  m_node.m_metrics.Count("status_reads_total");
  m_engines.GetStatus(aEngine.m_address,
                      [this, id = aEngine.m_id](
                        const std::optional<upstream::EngineStatus>& aStatus) {
                        m_statusAsked.erase(id);
                        OnStatus(id, aStatus);
                      });
}

void
UpstreamWatch::NoteDigests(std::span<const membership::EngineDigest> aDigests)
{
  for (const membership::EngineDigest& digest : aDigests) {
    const auto known = m_byHash.find(digest.m_engine);
    if (known == m_byHash.end() || Observes(known->second)) {
      continue; // Not listed here yet, or known better.
    }
    const std::string& id = known->second;
    const auto state = m_states.find(id);
    if (state != m_states.end() && state->second == digest.m_state) {
      m_upstreams.SetLoad(id, digest.m_running, m_node.Now());
      continue;
    }
    if (const auto index = m_upstreams.Find(id)) {
      Ask(m_upstreams.At(*index).m_listed);
    }
  }
}

std::vector<membership::EngineDigest>
UpstreamWatch::OwnDigests() const
{
  std::vector<membership::EngineDigest> out;
  for (const routing::Upstream& upstream : m_upstreams.All()) {
    const std::string& id = upstream.m_listed.m_id;
    const auto state = m_states.find(id);
    if (state == m_states.end() || !upstream.m_report ||
        m_roster.Rank(id) >= kObservers) {
      continue;
    }
    out.push_back({ Hash32(id),
                    state->second,
                    static_cast<std::int32_t>(upstream.m_report->m_running) });
  }
  return out;
}

void
UpstreamWatch::OnStatus(const std::string& aId,
                        const std::optional<upstream::EngineStatus>& aStatus)
{
  if (!aStatus) {
    m_node.m_metrics.Count("status_read_failures_total");
    return;
  }
  m_upstreams.SetReport(aId, aStatus->m_report, m_node.Now());
  m_states[aId] = StateHash(*aStatus);
  if (aStatus->m_leaving) {
    m_upstreams.MarkLeaving(aId);
    m_leaving.emit(aId);
  }
  m_status.emit(aId, *aStatus);
}

} // namespace ridgeferry::daemon
