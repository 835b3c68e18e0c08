#include "ProcessSample.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace ridgeferry::bench {

ProcessSample
SampleProcess(pid_t aPid)
{
  constexpr int kFieldsBeforeUserTime = 11;
  constexpr double kBytesPerMb = 1e6;
  const std::string folder = "/proc/" + std::to_string(aPid);
  ProcessSample out;
  std::ifstream statFile(folder + "/stat");
  std::string text;
  std::getline(statFile, text);
  std::istringstream stat(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    stat >> skipped;
  }
  double user = 0;
  double system = 0;
  stat >> user >> system;
  out.m_cpuSeconds =
    (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream memory(folder + "/statm");
  double total = 0;
  double resident = 0;
  memory >> total >> resident;
  out.m_rssMb =
    resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb;
  return out;
}

} // namespace ridgeferry::bench
