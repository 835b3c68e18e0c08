// The part of `RelayCall` that deals with the limits that upstreams state in
// their answers.

#include "RelayCall.h"

namespace ridgeferry::entry {

namespace {

std::string_view
NameOf(limits::LimitChange aChange)
{
  switch (aChange) {
    case limits::LimitChange::Named:
      return "named";
    case limits::LimitChange::Changed:
      return "changed";
    case limits::LimitChange::Ended:
      return "ended";
    case limits::LimitChange::None:
      break;
  }
  return "unchanged";
}

} // namespace

void
RelayCall::NoteStatedLimit(const net::HttpHead& aHead)
{
  const auto limit = m_node.m_dialect.m_readStatedLimit(aHead);
  const limits::LimitChange change =
    m_node.m_fleet.NoteStatedLimit(m_attempt.m_upstream, limit, m_node.Now());
  if (change == limits::LimitChange::None) {
    return;
  }
  m_node.m_metrics.Count(
    observe::WithLabel("upstream_limits_total", "change", NameOf(change)));
  m_node.m_log->Write(observe::LogLevel::Info,
                      "upstream-limit",
                      { { "upstream", m_attempt.m_upstream },
                        { "id", m_start.m_head.m_id },
                        { "change", std::string(NameOf(change)) },
                        { "perSecond", limit.value_or(-1) } });
}

} // namespace ridgeferry::entry
