#include "PaceGossip.h"

#include <algorithm>

namespace ridgeferry::entry {

namespace {

/** Most upstreams in one heartbeat, in turn, so that its datagram fits into one
 * network packet. */
constexpr std::size_t kMostPaces = 30;

} // namespace

void
PaceGossip::AddTo(membership::Heartbeat& aHeartbeat)
{
  const relay::UpstreamStarts& starts = m_node.m_fleet.Starts();
  if (starts.IsEmpty()) {
    return;
  }
  const std::vector<pacing::PaceReport> reports = starts.Reports(m_node.Now());
  const std::size_t count = std::min(reports.size(), kMostPaces);
  for (std::size_t i = 0; i < count; ++i) {
    const pacing::PaceReport& report = reports[m_told++ % reports.size()];
    aHeartbeat.m_paces.push_back(
      { report.m_upstream,
        report.m_change,
        report.m_level,
        static_cast<std::int32_t>(report.m_age.count()) });
  }
}

void
PaceGossip::Take(const membership::Heartbeat& aHeartbeat)
{
  for (const membership::PaceDigest& digest : aHeartbeat.m_paces) {
    m_node.m_fleet.NotePeerPace({ digest.m_upstream,
                                  digest.m_change,
                                  digest.m_level,
                                  Duration{ digest.m_ageMs } },
                                m_node.Now());
  }
}

void
PaceGossip::Tick()
{
  relay::UpstreamStarts& starts = m_node.m_fleet.Starts();
  for (const relay::PaceChange& change : starts.TakeChanges()) {
    const std::string cause(relay::NameOf(change.m_cause));
    m_node.m_metrics.Count(
      observe::WithLabel("upstream_paces_total", "cause", cause));
    m_node.m_log->Write(observe::LogLevel::Info,
                        "upstream-pace",
                        { { "upstream", change.m_upstream },
                          { "share", change.m_share },
                          { "cause", cause } });
  }
  m_node.m_metrics.Set("upstreams_in_start",
                       static_cast<double>(starts.CountInStart()));
}

} // namespace ridgeferry::entry
