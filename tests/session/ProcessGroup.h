#pragma once

#include <filesystem>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace ridgeferry::session {

/** Whether SIGTERM, SIGINT and SIGHUP reach a process from its start on, or
 * wait until it takes them. */
enum class SignalsAtStart
{
  Reach,
  Wait,
};

/** Processes of one run. What is left of them is ended with the group. */
class ProcessGroup
{
public:
  ProcessGroup() = default;
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  /** Starts a program; its output is appended to `aOutput`. */
  bool Start(const std::string& aName,
             const std::vector<std::string>& aCommand,
             const std::filesystem::path& aOutput,
             SignalsAtStart aSignals = SignalsAtStart::Reach);
  void Signal(const std::string& aName, int aSignal) const;
  /** Its process id; 0 if it was never started. */
  pid_t Pid(const std::string& aName) const;
  /** Whether it has ended; then its exit code, or 128 and the signal. */
  bool HasEnded(const std::string& aName, int* aCode);

private:
  struct Process
  {
    pid_t m_pid = 0;
    bool m_ended = false;
    int m_code = 0;
  };
  std::map<std::string, Process> m_processes;
};

} // namespace ridgeferry::session
