#include "UpstreamWatch.h"

namespace ridgeferry::daemon {

namespace {

routing::ListedUpstream
ToUpstream(const platform::ListedMember& aMember)
{
  routing::ListedUpstream out;
  out.m_id = aMember.m_id;
  out.m_kind = aMember.m_kind == platform::ListedKind::Service
                 ? routing::UpstreamKind::Service
                 : routing::UpstreamKind::Engine;
  out.m_hall = aMember.m_hall;
  out.m_address = aMember.m_address;
  out.m_labels = aMember.m_labels;
  out.m_leaving = aMember.m_leaving;
  return out;
}

} // namespace

UpstreamWatch::UpstreamWatch(Node& aNode,
                             routing::UpstreamSet& aUpstreams,
                             upstream::EngineClient& aEngines)
  : m_node(aNode)
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
    m_node.m_settings.m_hall,
    [this](std::optional<std::vector<platform::ListedMember>> aMembers) {
      m_listAsked = false;
      if (!aMembers) {
        m_node.m_metrics.Count("list_read_failures_total");
        return;
      }
      OnList(std::move(*aMembers));
    });
}

void
UpstreamWatch::OnList(std::vector<platform::ListedMember> aMembers)
{
  std::vector<routing::ListedUpstream> upstreams;
  std::vector<std::string> leaving;
  for (const platform::ListedMember& member : aMembers) {
    if (member.m_kind == platform::ListedKind::Instance) {
      continue;
    }
    upstreams.push_back(ToUpstream(member));
    if (member.m_leaving) {
      leaving.push_back(member.m_id);
    }
  }
  const bool first = m_upstreams.All().empty() && !upstreams.empty();
  m_upstreams.SetListed(upstreams);
  m_listed.emit(aMembers);
  for (const std::string& id : leaving) {
    m_leaving.emit(id);
  }
  if (first) {
    PollStatus();
  }
}

void
UpstreamWatch::PollStatus()
{
  for (const routing::Upstream& upstream : m_upstreams.All()) {
    const routing::ListedUpstream& listed = upstream.m_listed;
    if (listed.m_kind != routing::UpstreamKind::Engine) {
      continue;
    }
    bool& asked = m_statusAsked[listed.m_id];
    if (asked) {
      continue;
    }
    asked = true;
    m_engines.GetStatus(
      listed.m_address,
      [this,
       id = listed.m_id](const std::optional<upstream::EngineStatus>& aStatus) {
        m_statusAsked.erase(id);
        OnStatus(id, aStatus);
      });
  }
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
  if (aStatus->m_leaving) {
    m_upstreams.MarkLeaving(aId);
    m_leaving.emit(aId);
  }
  m_status.emit(aId, *aStatus);
}

} // namespace ridgeferry::daemon
