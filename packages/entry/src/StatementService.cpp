#include "StatementService.h"

#include "LimitLog.h"

namespace ridgeferry::entry {

namespace {

std::string
JoinedText(const std::vector<std::string>& aTexts)
{
  std::string out;
  for (const std::string& text : aTexts) {
    out += (out.empty() ? "" : "; ") + text;
  }
  return out;
}

} // namespace

StatementService::StatementService(EntryNode& aNode)
  : m_node(aNode)
{
}

void
StatementService::Take(const StatementSource& aSource,
                       const net::HttpHead& aHead)
{
  const relay::UpstreamStatement statement =
    m_node.m_dialect.m_readStatement(aHead);
  if (statement.m_leaves || statement.m_backOff ||
      !statement.m_unreadable.empty()) {
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "upstream-statement",
      { { "upstream", aSource.m_upstream.m_id },
        { "id", std::string(aSource.m_id) },
        { "status", std::int64_t{ aHead.m_status } },
        { "leaves", statement.m_leaves },
        { "backOffMs", statement.m_backOff.value_or(Duration{ -1 }).count() },
        { "unreadable", JoinedText(statement.m_unreadable) } });
  }
  if (!statement.m_isMisdirected) {
    NoteLimit(aSource, statement);
  }
}

void
StatementService::NoteLimit(const StatementSource& aSource,
                            const relay::UpstreamStatement& aStatement)
{
  const auto& limit = aStatement.m_limitPerSecond;
  const std::string& upstream = aSource.m_upstream.m_id;
  const limits::LimitChange change =
    m_node.m_fleet.NoteStatedLimit(upstream, limit, m_node.Now());
  LogLimitChange(m_node, { upstream, limit, change, aSource.m_id });
}

} // namespace ridgeferry::entry
