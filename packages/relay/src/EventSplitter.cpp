#include "ridgeferry/relay/EventSplitter.h"

#include <utility>

namespace ridgeferry::relay {

namespace {

/** Returns the length of the first complete event, including the blank line
 * that ends it; 0 if no event is complete. */
std::size_t
EventLength(std::string_view aBytes)
{
  std::size_t lineStart = 0;
  for (;;) {
    const std::size_t lineEnd = aBytes.find('\n', lineStart);
    if (lineEnd == std::string_view::npos) {
      return 0;
    }
    const std::string_view line = aBytes.substr(lineStart, lineEnd - lineStart);
    if (line.empty() || line == "\r") {
      return lineEnd + 1;
    }
    lineStart = lineEnd + 1;
  }
}

} // namespace

void
EventSplitter::ParseId(std::string_view aEvent)
{
  constexpr std::string_view kId = "id:";
  std::size_t start = 0;
  while (start < aEvent.size()) {
    std::size_t end = aEvent.find('\n', start);
    end = end == std::string_view::npos ? aEvent.size() : end;
    std::string_view line = aEvent.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kId)) {
      continue;
    }
    line.remove_prefix(kId.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    m_lastId = line;
  }
}

std::string
EventSplitter::Add(std::string_view aBytes)
{
  m_pending.append(aBytes);
  std::size_t whole = 0;
  for (;;) {
    const std::string_view rest = std::string_view(m_pending).substr(whole);
    const std::size_t length = EventLength(rest);
    if (length == 0) {
      break;
    }
    ParseId(rest.substr(0, length));
    whole += length;
  }
  std::string out = m_pending.substr(0, whole);
  m_pending.erase(0, whole);
  return out;
}

std::string
EventSplitter::TakeRest()
{
  return std::exchange(m_pending, {});
}

} // namespace ridgeferry::relay
