#include "Instances.h"

#include "Http.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* kProgram = "target/bin/ridgeferry-entry";
constexpr const char* kSettings = "RIDGEFERRY_NODE_FILE";

double
Now()
{
  return std::chrono::duration<double>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

bool
IsFree(const std::string& aIp, int aPort, int aKind)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  const int made = socket(AF_INET, aKind | SOCK_CLOEXEC, 0);
  const bool bound =
    bind(made, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(made);
  return bound;
}

} // namespace

Record::Record(const std::string& aFile)
  : m_file(std::fopen(aFile.c_str(), "w"))
  , m_start(Now())
{
}

Record::~Record()
{
  std::fclose(m_file);
}

double
Record::Seconds() const
{
  return Now() - m_start;
}

void
Record::Write(const std::string& aLine)
{
  const std::lock_guard guard(m_mutex);
  std::fprintf(m_file, "%8.3f %s\n", Seconds(), aLine.c_str());
  std::fflush(m_file);
}

std::string
LoopbackIp(int aNumber)
{
  // Of this process alone, as far as its id tells.
  const int own = static_cast<int>(getpid()) % 60000;
  return "127." + std::to_string(10 + own / 250) + "." +
         std::to_string(1 + own % 250) + "." + std::to_string(1 + aNumber);
}

int
FreePort(const std::vector<std::string>& aIps)
{
  static int next = 20000 + static_cast<int>(getpid()) % 9000;
  for (;; ++next) {
    bool isFree = true;
    for (const std::string& ip : aIps) {
      isFree =
        isFree && IsFree(ip, next, SOCK_STREAM) && IsFree(ip, next, SOCK_DGRAM);
    }
    if (isFree) {
      return next++;
    }
  }
}

Instances::Instances(std::string aFolder,
                     std::string aStore,
                     int aCount,
                     nlohmann::json aMore)
  : m_folder(std::move(aFolder))
  , m_store(std::move(aStore))
  , m_more(std::move(aMore))
{
  for (int i = 0; i < aCount; ++i) {
    m_ips.push_back(LoopbackIp(100 + i));
  }
  m_callers = FreePort(m_ips);
  m_ready = FreePort(m_ips);
  m_metrics = FreePort(m_ips);
  m_peers = FreePort(m_ips);
}

Instances::~Instances()
{
  End();
}

void
Instances::End()
{
  for (const auto& [instance, process] : m_processes) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  m_processes.clear();
}

bool
Instances::Start(int aInstance)
{
  const std::string& ip = m_ips[static_cast<std::size_t>(aInstance)];
  const auto at = [&](int aPort) { return ip + ":" + std::to_string(aPort); };
  const std::string name = "edge-" + std::to_string(aInstance + 1);
  nlohmann::json settings{
    { "instance", name },
    { "hall", "hall" },
    { "listen",
      { { "callers", at(m_callers) },
        { "readiness", at(m_ready) },
        { "metrics", at(m_metrics) },
        { "peers", at(m_peers) } } },
    { "seeds", nlohmann::json::array() },
    { "store", m_store },
    { "stopGraceSeconds", 8 },
    { "memoryMb", 260 },
    { "orderTurnMs", 3000 },
    { "upstreamStarts", { { "paced", false } } },
    { "retries",
      { { "ratio", 0.2 }, { "floor", 56 }, { "windowSeconds", 10 } } }
  };
  for (const std::string& other : m_ips) {
    settings["seeds"].push_back(other + ":" + std::to_string(m_peers));
  }
  settings.update(m_more);
  const std::string file = m_folder + "/" + name + ".json";
  std::ofstream(file) << settings.dump();
  const std::string log = m_folder + "/" + name + ".log";
  const pid_t process = fork();
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the scenario.
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv(kSettings, file.c_str(), 1);
    execl(kProgram, kProgram, nullptr);
    _exit(127);
  }
  m_processes[aInstance] = process;
  return process > 0;
}

void
Instances::Signal(int aInstance, int aSignal)
{
  const auto found = m_processes.find(aInstance);
  if (found != m_processes.end()) {
    kill(found->second, aSignal);
  }
}

bool
Instances::WaitForEnd(int aInstance, int aTimeoutMs)
{
  const double until = Now() + aTimeoutMs / 1000.0;
  while (Now() < until) {
    if (waitpid(m_processes.at(aInstance), nullptr, WNOHANG) != 0) {
      m_processes.erase(aInstance);
      return true;
    }
    SleepMs(10);
  }
  return false;
}

bool
Instances::IsReady(int aInstance) const
{
  const auto answer = Ask(m_ips[static_cast<std::size_t>(aInstance)] + ":" +
                            std::to_string(m_ready),
                          "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n",
                          1000);
  return answer && answer->m_status == 200;
}

bool
Instances::WaitReady(int aTimeoutMs)
{
  const double until = Now() + aTimeoutMs / 1000.0;
  while (Now() < until) {
    bool all = true;
    for (const auto& [instance, process] : m_processes) {
      all = all && IsReady(instance);
    }
    if (all) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

std::string
Instances::Callers(int aInstance) const
{
  return m_ips[static_cast<std::size_t>(aInstance)] + ":" +
         std::to_string(m_callers);
}

TemporaryFolder::TemporaryFolder()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  m_path = mkdtemp(path.data()) == nullptr ? "" : path;
}

TemporaryFolder::~TemporaryFolder()
{
  Remove();
}

void
TemporaryFolder::Remove()
{
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  }
}

bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

void
SleepMs(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

void
Finish(Instances& aInstances, TemporaryFolder& aFolder, int aCode)
{
  aInstances.End();
  aFolder.Remove();
  std::_Exit(aCode);
}

} // namespace review
