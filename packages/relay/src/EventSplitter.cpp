#include "ridgeferry/relay/EventSplitter.h"

#include <utility>

namespace ridgeferry::relay {

void
EventSplitter::ParseLine(std::string_view aLine)
{
  constexpr std::string_view kId = "id:";
  if (aLine.starts_with(':')) {
    return; // A comment.
  }
  m_hasField = true;
  if (!aLine.starts_with(kId)) {
    return;
  }
  aLine.remove_prefix(kId.size());
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  m_eventId = aLine;
  m_hasEventId = true;
}

bool
EventSplitter::EndLine(LineEnd aEnd)
{
  const std::string_view line =
    std::string_view(m_pending).substr(m_lineStart, m_scanned - m_lineStart);
  const bool isBlank = line.empty();
  if (!isBlank) {
    ParseLine(line);
  }
  m_lineEnd = aEnd;
  m_lineStart = m_scanned + 1;
  return isBlank;
}

bool
EventSplitter::ScanByte()
{
  const char byte = m_pending[m_scanned];
  if (byte == '\n' && m_lineEnd == LineEnd::Cr && m_lineStart == m_scanned) {
    m_lineStart = m_scanned + 1;
    m_lineEnd = LineEnd::Lf;
    return std::exchange(m_awaitsLf, false);
  }
  if (byte == '\n') {
    return EndLine(LineEnd::Lf);
  }
  if (byte != '\r') {
    return false;
  }
  const bool linesEndInCr = m_lineEnd == LineEnd::Cr;
  const bool isBlank = EndLine(LineEnd::Cr);
  m_awaitsLf = isBlank && !linesEndInCr;
  return isBlank && linesEndInCr;
}

std::string
EventSplitter::TakeEvent()
{
  if (std::exchange(m_hasField, false)) {
    ++m_events;
  }
  if (std::exchange(m_hasEventId, false)) {
    m_lastId = std::exchange(m_eventId, {});
  }
  std::string out = m_pending.substr(0, m_scanned);
  m_pending.erase(0, m_scanned);
  m_scanned = 0;
  m_lineStart = 0;
  return out;
}

std::string
EventSplitter::Add(std::string_view aBytes)
{
  m_pending.append(aBytes);
  std::string out;
  while (m_scanned < m_pending.size()) {
    const bool isLf = m_pending[m_scanned] == '\n';
    if (m_awaitsLf && !isLf) {
      // The blank line ended in CR alone after all.
      m_awaitsLf = false;
      out += TakeEvent();
      continue;
    }
    const bool ends = ScanByte();
    ++m_scanned;
    if (ends) {
      out += TakeEvent();
    }
  }
  return out;
}

std::string
EventSplitter::TakeRest()
{
  m_scanned = 0;
  m_lineStart = 0;
  m_lineEnd = LineEnd::None;
  m_awaitsLf = false;
  m_hasField = false;
  m_hasEventId = false;
  return std::exchange(m_pending, {});
}

} // namespace ridgeferry::relay
