#include "LimitLog.h"

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
LogLimitChange(EntryNode& aNode, const LimitNews& aNews)
{
  if (aNews.m_change == limits::LimitChange::None) {
    return;
  }
  aNode.m_metrics.Count(observe::WithLabel(
    "upstream_limits_total", "change", NameOf(aNews.m_change)));
  aNode.m_log->Write(observe::LogLevel::Info,
                     "upstream-limit",
                     { { "upstream", std::string(aNews.m_upstream) },
                       { "from", std::string(aNews.m_from) },
                       { "change", std::string(NameOf(aNews.m_change)) },
                       { "perSecond", aNews.m_perSecond.value_or(-1) } });
}

} // namespace ridgeferry::entry
