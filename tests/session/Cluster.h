#pragma once

#include "FreePorts.h"
#include "ProcessGroup.h"

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <ridgeferry/net/HttpClient.h>
#include <string>
#include <vector>

namespace ridgeferry::session {

/** Where the programs are, and where a run keeps its files. */
struct RunPlace
{
  std::filesystem::path m_programs; ///< The build folder.
  std::filesystem::path m_files;    ///< Histories, logs and settings.
};

/**
 * A deployment as real processes on the loopback: the stand-ins, and the
 * instances of its halls. Described by a file in clusters/.
 */
class Cluster
{
public:
  static constexpr Duration kLongestWait{ 20'000 };

  Cluster(net::EventLoop& aLoop, RunPlace aPlace, nlohmann::json aPlan);

  /** Starts all, declares the objects, and waits until all are ready. */
  bool StartAll();
  bool StartInstance(const std::string& aName);
  /** Starts an engine, service or the platform anew, with its old address. */
  bool StartFake(const std::string& aName);

  ProcessGroup& Processes() { return m_processes; }
  net::HttpClient& Client() { return m_client; }
  std::vector<std::string> Instances() const;
  std::string CallerAddress(const std::string& aInstance) const;
  std::string AdminAddress(const std::string& aInstance) const;
  /** Address of a stand-in; the platform's name is `platform`. */
  std::string FakeAddress(const std::string& aName) const;
  const nlohmann::json& Plan() const { return m_plan; }
  const RunPlace& Place() const { return m_place; }

  /** Runs the loop until the condition holds; false after the longest wait. */
  bool WaitFor(const std::function<bool()>& aCondition,
               Duration aLongest = kLongestWait);
  /** Sends one request and waits for its answer. */
  net::HttpResponse Ask(const net::HttpRequest& aRequest);
  net::HttpResponse Switch(const std::string& aFake,
                           const nlohmann::json& aBody);
  /** The administration API's status; a null value if there is no answer. */
  nlohmann::json Status(const std::string& aInstance);
  net::HttpResponse PostChange(const std::string& aInstance,
                               const nlohmann::json& aChange);
  /** A row of the table as the platform answers it. */
  std::string TableRow(const std::string& aKey);
  bool IsReady(const std::string& aInstance);

private:
  struct InstancePlan
  {
    std::string m_dataCentre;
    std::string m_callers;
    std::string m_admin;
    std::string m_peers;
  };

  void PlanAddresses();
  nlohmann::json SettingsOf(const std::string& aName) const;
  nlohmann::json Members() const;

  net::EventLoop& m_loop;
  net::HttpClient m_client;
  RunPlace m_place;
  nlohmann::json m_plan;
  net::FreePorts m_ports;
  std::map<std::string, InstancePlan> m_instances;
  std::map<std::string, std::string> m_fakes;
  std::map<std::string, std::vector<std::string>> m_fakeCommands;
  ProcessGroup m_processes;
};

} // namespace ridgeferry::session
