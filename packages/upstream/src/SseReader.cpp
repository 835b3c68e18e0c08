#include "SseReader.h"

namespace ridgeferry::upstream {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::size_t kCompactAbove = std::size_t{ 64 } * 1024;

void
AddLine(SseEvent& aEvent, std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return; // A comment, or a field without a value.
  }
  const std::string_view name = aLine.substr(0, colon);
  std::string_view value = aLine.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (name == "event") {
    aEvent.m_type = value;
  } else if (name == "id") {
    aEvent.m_id = value;
  } else if (name == "data") {
    if (!aEvent.m_data.empty()) {
      aEvent.m_data += '\n';
    }
    aEvent.m_data += value;
  }
}

} // namespace

void
SseReader::Feed(std::string_view aBytes)
{
  if (m_read > kCompactAbove || m_read == m_buffer.size()) {
    m_buffer.erase(0, m_read);
    m_read = 0;
  }
  m_buffer += aBytes;
}

std::optional<SseEvent>
SseReader::Next()
{
  const std::size_t end = m_buffer.find(kEventEnd, m_read);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  SseEvent event;
  std::string_view block(m_buffer.data() + m_read, end - m_read);
  while (!block.empty()) {
    const std::size_t newline = block.find('\n');
    AddLine(event, block.substr(0, newline));
    block = newline == std::string_view::npos ? std::string_view()
                                              : block.substr(newline + 1);
  }
  m_read = end + kEventEnd.size();
  return event;
}

} // namespace ridgeferry::upstream
