#pragma once

#include <cstdio>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace ridgeferry::fakes {

/** Appends what a stand-in saw and did to a file, one JSON object a line. */
class History
{
public:
  /** Nothing is written if `aFile` is empty. */
  explicit History(const std::string& aFile);
  ~History();
  History(const History&) = delete;
  History& operator=(const History&) = delete;

  /** The line is on its way to the file when this returns, so that it
   * survives the end of the process. */
  void Write(const nlohmann::json& aLine);

private:
  std::FILE* m_file = nullptr;
};

} // namespace ridgeferry::fakes
