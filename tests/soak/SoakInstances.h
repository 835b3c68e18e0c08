#pragma once

#include "FaultyLink.h"
#include "SoakHistory.h"

#include "FreePorts.h"
#include "ProcessGroup.h"

#include <filesystem>
#include <memory>
#include <ridgeferry/net/HttpClient.h>
#include <string>
#include <vector>

namespace ridgeferry::soak {

/** The instances under test: real processes, each with a link of its own to the
 * store, restarted when they end, and watched as a balancer does. */
class SoakInstances
{
public:
  struct Instance
  {
    std::string m_name;
    std::string m_dataCentre;
    std::string m_callers; ///< IP:PORT.
    std::string m_readiness;
    std::string m_metrics;
    std::string m_peers;
    std::unique_ptr<FaultyLink> m_storeLink;
    int m_incarnation = 0; ///< Number of its present process.
    bool m_running = false;
    bool m_stopping = false; ///< Told to stop, as planned.
    bool m_inBalance = false;
    int m_missed = 0; ///< Questions in a row without a good answer.
    Instant m_startedAt;
    Instant m_downSince;
    net::Watch m_restart;
    net::Watch m_continue;
  };

  SoakInstances(net::EventLoop& aLoop,
                SoakHistory& aHistory,
                std::filesystem::path aProgram,
                std::filesystem::path aFiles);

  /** Starts so many more instances before a store. False: a process cannot be
   * started. */
  bool StartAll(std::size_t aCount,
                const net::Address& aStore,
                const std::string& aDataCentre = "hall");
  /** Whether instances that are started from now on pace upstreams that have
   * just started or recovered. */
  void SetPacesStarts(bool aPaces) { m_pacesStarts = aPaces; }
  std::vector<std::unique_ptr<Instance>>& All() { return m_instances; }
  /** Those that the balancer sends new connections to. */
  std::vector<Instance*> InBalance();
  bool AllReady();
  pid_t PidOf(const Instance& aInstance) const
  {
    return m_processes.Pid(aInstance.m_name);
  }

  void Kill(Instance& aInstance, Duration aDownFor);
  void Pause(Instance& aInstance, Duration aFor);
  void Stop(Instance& aInstance);
  void Reload(Instance& aInstance);
  /** Stops all as planned; true: all ended in time, with a good code. */
  bool StopAll(Duration aWithin);

private:
  bool Start(Instance& aInstance);
  void WriteSettings(const Instance& aInstance) const;
  std::filesystem::path SettingsOf(const Instance& aInstance) const;
  void Tick();
  void TakeEnd(Instance& aInstance, int aCode);
  void AskReadiness();
  void NoteReadiness(Instance& aInstance, bool aReady);

  net::EventLoop& m_loop;
  SoakHistory& m_history;
  net::HttpClient m_client;
  std::filesystem::path m_program;
  std::filesystem::path m_files;
  bool m_pacesStarts = false;
  net::FreePorts m_ports;
  session::ProcessGroup m_processes;
  std::vector<std::unique_ptr<Instance>> m_instances;
  bool m_ending = false;
  net::Watch m_tick;
  net::Watch m_readiness;
};

} // namespace ridgeferry::soak
