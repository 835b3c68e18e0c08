#include "History.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace ridgeferry::fakes {

History::History(const std::string& aFile)
{
  if (!aFile.empty()) {
    m_file = std::fopen(aFile.c_str(), "a");
  }
}

History::~History()
{
  if (m_file != nullptr) {
    std::fclose(m_file);
  }
}

void
History::Write(const nlohmann::json& aLine)
{
  if (m_file == nullptr) {
    return;
  }
  nlohmann::json line = aLine;
  // One machine, one monotonic clock: lines of several files can be ordered.
  line["us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                 std::chrono::steady_clock::now().time_since_epoch())
                 .count();
  const std::string text =
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  std::fwrite(text.data(), 1, text.size(), m_file);
  std::fflush(m_file);
}

} // namespace ridgeferry::fakes
