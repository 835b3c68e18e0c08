#pragma once

#include "SoakInstances.h"

#include "StandIn.h"

#include <csignal>
#include <fstream>
#include <gtest/gtest.h>

namespace ridgeferry::soak {

/** Some real instances with a stand-in of the store, and no traffic. Not
 * thread-safe. */
class InstancesFixture : public ::testing::Test
{
protected:
  /** `aFolder`: of its files, below the soak's. */
  explicit InstancesFixture(const std::string& aFolder)
    : m_files(std::filesystem::path(RIDGEFERRY_BUILD_FOLDER) / "soak" / aFolder)
    , m_loop(net::EventLoop::Make())
    , m_store(*m_loop)
    , m_instances(*m_loop,
                  m_history,
                  std::filesystem::path(RIDGEFERRY_BUILD_FOLDER) /
                    "bin/ridgeferry-entry",
                  m_files)
  {
    std::signal(SIGPIPE, SIG_IGN);
    std::filesystem::remove_all(m_files);
    std::filesystem::create_directories(m_files);
  }

  bool RunUntil(const std::function<bool()>& aHolds)
  {
    bool held = false;
    const net::Watch poll = m_loop->Every(Duration{ 10 }, [&] {
      held = aHolds();
      if (held) {
        m_loop->Stop();
      }
    });
    const net::Watch guard =
      m_loop->After(Duration{ 20'000 }, [this] { m_loop->Stop(); });
    m_loop->Run();
    return held;
  }

  void RunFor(Duration aTime)
  {
    const net::Watch end = m_loop->After(aTime, [this] { m_loop->Stop(); });
    m_loop->Run();
  }

  /** Puts a configuration of one route of streams that may be resumed: `/p/` of
   * `h`, to service `s`. */
  void PutStreamRoute()
  {
    m_store.Put("op",
                "config",
                R"({"version":1,"routes":[{"host":"h","path_prefix":"/p/",)"
                R"("kind":"streaming","resumable":true,"timeout_ms":20000,)"
                R"("max_attempts":2,"service":"s"}],)"
                R"("services":[{"name":"s","max_connections":300}]})");
  }

  /** How often a line with that text stands in an instance's log. */
  std::size_t CountInLog(const std::string& aInstance,
                         std::string_view aText) const
  {
    std::ifstream log(m_files / (aInstance + ".log"));
    std::size_t count = 0;
    for (std::string line; std::getline(log, line);) {
      count += line.find(aText) != std::string::npos ? 1 : 0;
    }
    return count;
  }

  std::filesystem::path m_files;
  std::unique_ptr<net::EventLoop> m_loop;
  SoakHistory m_history;
  adapter::StandInStore m_store;
  SoakInstances m_instances;
};

} // namespace ridgeferry::soak
