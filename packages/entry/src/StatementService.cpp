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

StatementService::StatementService(EntryNode& aNode, Peers& aPeers)
  : m_node(aNode)
  , m_peers(aPeers)
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
  const auto speaker = SpeakerOf(aSource, statement);
  if (!speaker) {
    return;
  }
  if (statement.m_leaves) {
    NoteLeaving(*speaker, aSource.m_id);
  }
  if (statement.m_backOff) {
    NoteBackOff(*speaker, *statement.m_backOff, aSource.m_id);
  }
  if (aSource.m_proof == AnswerProof::ByName) {
    NoteLimit(speaker->m_id, statement.m_limitPerSecond, aSource.m_id);
  }
}

std::optional<UpstreamIncarnation>
StatementService::SpeakerOf(const StatementSource& aSource,
                            const relay::UpstreamStatement& aStatement) const
{
  const UpstreamIncarnation& asked = aSource.m_upstream;
  if (aStatement.m_speaker == asked.m_id) {
    return asked;
  }
  if (!aStatement.m_speaker.empty()) {
    const relay::Member* member = m_node.m_fleet.Find(aStatement.m_speaker);
    return member == nullptr ? std::nullopt
                             : std::optional(member->Incarnation());
  }
  const bool isCertain =
    aSource.m_proof == AnswerProof::ByName && !aStatement.m_isMisdirected;
  return isCertain ? std::optional(asked) : std::nullopt;
}

void
StatementService::NoteLeaving(const UpstreamIncarnation& aUpstream,
                              std::string_view aId)
{
  if (!m_node.m_fleet.MarkLeaving(aUpstream)) {
    return;
  }
  m_node.m_log->Write(observe::LogLevel::Info,
                      "upstream-leaves",
                      { { "upstream", aUpstream.m_id },
                        { "from", "an answer" },
                        { "id", std::string(aId) } });
  const relay::Member* listed = m_node.m_fleet.Find(aUpstream.m_id);
  if (listed != nullptr && listed->m_leaving) {
    m_peers.NoteLeaving(listed->Incarnation());
  }
}

void
StatementService::NoteBackOff(const UpstreamIncarnation& aUpstream,
                              Duration aFor,
                              std::string_view aId)
{
  if (!m_node.m_fleet.NoteBackOff(aUpstream, aFor, m_node.Now())) {
    return;
  }
  m_node.m_metrics.Count("upstream_back_offs_total");
  m_node.m_log->Write(observe::LogLevel::Info,
                      "upstream-backs-off",
                      { { "upstream", aUpstream.m_id },
                        { "id", std::string(aId) },
                        { "forMs", aFor.count() } });
}

void
StatementService::NoteLimit(const std::string& aUpstream,
                            std::optional<double> aPerSecond,
                            std::string_view aId)
{
  const limits::LimitChange change =
    m_node.m_fleet.NoteStatedLimit(aUpstream, aPerSecond, m_node.Now());
  LogLimitChange(m_node, { aUpstream, aPerSecond, change, aId });
}

} // namespace ridgeferry::entry
