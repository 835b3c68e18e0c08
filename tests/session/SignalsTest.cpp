// Guards against processes that a signal ends as they start or as they end:
// both programs, signals in series at drawn moments.

#include "FreePorts.h"
#include "ProcessGroup.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <random>
#include <ridgeferry/net/EventLoop.h>
#include <sys/stat.h>

namespace ridgeferry::session {
namespace {

using Json = nlohmann::json;

constexpr int kProcesses = 24;
/** In which the first signal comes, from the start of the process on. */
constexpr int kLatestFirstMs = 200;
constexpr int kHangUps = 5;
constexpr int kLongestPauseMs = 20;
/** From the stop on, signals come until the process has ended. */
constexpr Duration kWhileItEnds{ 10 };
constexpr Duration kLongestStop{ 30'000 };
constexpr Duration kCheckRunsFor{ 500 };
/** Stands before the signal in the code of a process that it has ended. */
constexpr int kEndedBySignal = 128;
constexpr std::uint32_t kSeed = 20261205;

enum class Program
{
  Entry,
  Daemon,
};

struct SignalsCase
{
  const char* m_name;
  Program m_program;
  int m_stop; ///< The signal that stops it.
};

std::ostream&
operator<<(std::ostream& aOut, const SignalsCase& aCase)
{
  return aOut << aCase.m_name;
}

class SignalsTest : public ::testing::TestWithParam<SignalsCase>
{
protected:
  SignalsTest()
    : m_files(std::filesystem::path(RIDGEFERRY_BUILD_FOLDER) / "signals")
    , m_loop(net::EventLoop::Make())
    , m_random(kSeed)
  {
    std::filesystem::remove_all(m_files);
    std::filesystem::create_directories(m_files);
  }

  int Draw(int aMost)
  {
    return std::uniform_int_distribution<int>(0, aMost)(m_random);
  }

  Json EntrySettings(const std::string& aName)
  {
    return { { "instance", aName },
             { "hall", "hall" },
             { "listen",
               { { "callers", m_ports.NewAddress() },
                 { "readiness", m_ports.NewAddress() },
                 { "metrics", m_ports.NewAddress() },
                 { "peers", m_ports.NewAddress() } } },
             { "seeds", Json::array() },
             { "store", m_ports.NewAddress() } };
  }

  Json DaemonSettings(const std::string& aName)
  {
    return { { "instance", aName },
             { "hall", "hall" },
             { "listen",
               { { "callers", m_ports.NewAddress() },
                 { "admin", m_ports.NewAddress() },
                 { "peers", m_ports.NewAddress() } } },
             { "platform",
               { { "table", m_ports.NewAddress() },
                 { "objects", m_ports.NewAddress() },
                 { "instances", m_ports.NewAddress() } } },
             { "admin",
               { { "tokens",
                   Json::array({ { { "name", "a" },
                                   { "token", "a-test-token" } } }) } } } };
  }

  void StartOne(const std::string& aName)
  {
    const bool isEntry = GetParam().m_program == Program::Entry;
    const std::string file = (m_files / (aName + ".json")).string();
    std::ofstream(file)
      << (isEntry ? EntrySettings(aName) : DaemonSettings(aName)).dump();
    const std::filesystem::path bin =
      std::filesystem::path(RIDGEFERRY_BUILD_FOLDER) / "bin";
    std::vector<std::string> command;
    if (isEntry) {
      // Tests run on one thread: nobody else reads it.
      setenv("RIDGEFERRY_NODE_FILE", file.c_str(), 1);
      command = { (bin / "ridgeferry-entry").string() };
    } else {
      command = { (bin / "ridgeferryd").string(), "--settings", file };
    }
    ASSERT_TRUE(m_processes.Start(
      aName, command, m_files / (aName + ".log"), SignalsAtStart::Wait));
  }

  /** Sends hang-ups from a drawn moment on, then the stop. */
  void PlanSignals(const std::string& aName)
  {
    Duration at{ Draw(kLatestFirstMs) };
    for (int i = 0; i < kHangUps; ++i) {
      m_plan.push_back(m_loop->After(
        at, [this, aName] { m_processes.Signal(aName, SIGHUP); }));
      at += Duration{ Draw(kLongestPauseMs) };
    }
    m_plan.push_back(m_loop->After(at, [this, aName] {
      m_processes.Signal(aName, GetParam().m_stop);
      m_stopped.push_back(aName);
    }));
  }

  void SignalWhileTheyEnd()
  {
    for (const std::string& name : m_stopped) {
      m_processes.Signal(name, Draw(1) == 0 ? SIGHUP : GetParam().m_stop);
    }
  }

  std::filesystem::path m_files;
  std::unique_ptr<net::EventLoop> m_loop;
  std::mt19937 m_random;
  net::FreePorts m_ports;
  ProcessGroup m_processes;
  std::vector<net::Watch> m_plan;
  std::vector<std::string> m_stopped;
};

TEST_P(SignalsTest, EndsByItselfWithTheCodeOfAStop)
{
  std::vector<std::string> names;
  for (int i = 0; i < kProcesses; ++i) {
    names.push_back("p" + std::to_string(i));
    StartOne(names.back());
    PlanSignals(names.back());
  }
  const net::Watch signals =
    m_loop->Every(kWhileItEnds, [this] { SignalWhileTheyEnd(); });
  std::map<std::string, int> codes;
  const net::Watch ends = m_loop->Every(kWhileItEnds, [&] {
    for (const std::string& name : names) {
      int code = 0;
      if (m_processes.HasEnded(name, &code)) {
        codes[name] = code;
      }
    }
    if (codes.size() == names.size()) {
      m_loop->Stop();
    }
  });
  const net::Watch guard =
    m_loop->After(kLongestStop, [this] { m_loop->Stop(); });
  m_loop->Run();
  EXPECT_EQ(codes.size(), names.size());
  for (const auto& [name, code] : codes) {
    EXPECT_EQ(code, 0) << name;
  }
}

INSTANTIATE_TEST_SUITE_P(
  Programs,
  SignalsTest,
  ::testing::Values(
    SignalsCase{ "Entry", Program::Entry, SIGTERM },
    SignalsCase{ "EntryInterrupted", Program::Entry, SIGINT },
    SignalsCase{ "Daemon", Program::Daemon, SIGTERM },
    SignalsCase{ "DaemonInterrupted", Program::Daemon, SIGINT }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

struct CheckCase
{
  const char* m_name;
  const char* m_program;
  const char* m_option;
  const char* m_more; ///< Another argument; empty: none.
};

std::ostream&
operator<<(std::ostream& aOut, const CheckCase& aCase)
{
  return aOut << aCase.m_name;
}

class InterruptedCheckTest : public ::testing::TestWithParam<CheckCase>
{};

// Guards against a check that nobody can interrupt: a run without a loop takes
// no signals, so they must end it.
TEST_P(InterruptedCheckTest, EndsByTheSignal)
{
  const std::filesystem::path build = RIDGEFERRY_BUILD_FOLDER;
  const std::filesystem::path files = build / "interrupted-check";
  std::filesystem::remove_all(files);
  std::filesystem::create_directories(files);
  const std::string pipe = (files / "nobody-writes").string();
  ASSERT_EQ(mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR), 0);
  std::vector<std::string> command{
    (build / "bin" / GetParam().m_program).string(), GetParam().m_option, pipe
  };
  if (GetParam().m_more[0] != '\0') {
    command.emplace_back(GetParam().m_more);
  }
  ProcessGroup processes;
  ASSERT_TRUE(processes.Start(
    "check", command, files / "check.log", SignalsAtStart::Wait));
  const auto loop = net::EventLoop::Make();
  const net::Watch signal =
    loop->After(kCheckRunsFor, [&] { processes.Signal("check", SIGINT); });
  int code = 0;
  bool hasEnded = false;
  const net::Watch look = loop->Every(kWhileItEnds, [&] {
    hasEnded = processes.HasEnded("check", &code);
    if (hasEnded) {
      loop->Stop();
    }
  });
  const net::Watch guard = loop->After(kLongestStop, [&] { loop->Stop(); });
  loop->Run();
  EXPECT_TRUE(hasEnded);
  EXPECT_EQ(code, kEndedBySignal + SIGINT);
}

INSTANTIATE_TEST_SUITE_P(
  Programs,
  InterruptedCheckTest,
  ::testing::Values(
    CheckCase{ "Entry", "ridgeferry-entry", "--check-config", "" },
    CheckCase{ "Daemon", "ridgeferryd", "--settings", "--check" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::session
