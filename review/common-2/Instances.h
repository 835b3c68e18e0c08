#pragma once

#include <cstdio>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/** Writes lines with the seconds since its start, to record.txt. Thread-safe.
 */
class Record
{
public:
  explicit Record(const std::string& aFile);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Write(const std::string& aLine);
  double Seconds() const;

private:
  std::mutex m_mutex;
  std::FILE* m_file;
  double m_start;
};

/** Returns an IP of the loopback network; another one for each number. */
std::string
LoopbackIp(int aNumber);

/** Returns a port that is free on all of these IPs, TCP and UDP. */
int
FreePort(const std::vector<std::string>& aIps);

/** Instances of the project's program as processes of their own. All processes
 * end with this object. Not thread-safe. */
class Instances
{
public:
  /** `aMore`: further settings of all instances. */
  Instances(std::string aFolder,
            std::string aStore,
            int aCount,
            nlohmann::json aMore);
  ~Instances();
  Instances(const Instances&) = delete;
  Instances& operator=(const Instances&) = delete;

  bool Start(int aInstance);
  /** Ends all processes of this object at once. */
  void End();
  /** Sends a signal to a process of this object. */
  void Signal(int aInstance, int aSignal);
  /** Waits for the end; false: it still runs after that time. */
  bool WaitForEnd(int aInstance, int aTimeoutMs);
  /** Waits until /readyz of all started ones answers 200. */
  bool WaitReady(int aTimeoutMs);
  /** Returns whether /readyz answers 200 now. */
  bool IsReady(int aInstance) const;
  /** IP:PORT for callers. */
  std::string Callers(int aInstance) const;
  int Count() const { return static_cast<int>(m_ips.size()); }

private:
  std::string m_folder;
  std::string m_store;
  nlohmann::json m_more;
  std::vector<std::string> m_ips;
  int m_callers = 0;
  int m_ready = 0;
  int m_metrics = 0;
  int m_peers = 0;
  std::map<int, pid_t> m_processes;
};

/** Makes a temporary folder that is removed at the end. */
class TemporaryFolder
{
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& Path() const { return m_path; }
  void Remove();

private:
  std::string m_path;
};

/** The variable TROUBLE is not 0. */
bool
HasTrouble();

void
SleepMs(int aMs);

/** Ends the instances, removes the folder and ends this process with that code:
 * threads of its servers may still wait for their connections. */
[[noreturn]] void
Finish(Instances& aInstances, TemporaryFolder& aFolder, int aCode);

} // namespace review
