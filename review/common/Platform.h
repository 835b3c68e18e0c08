#pragma once

#include "Sockets.h"

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/** What was sent, answered and run, with the time since the start. */
class Record
{
public:
  explicit Record(const std::string& aFile);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Write(const std::string& aLine);

private:
  std::FILE* m_file = nullptr;
  std::mutex m_mutex;
  Clock::time_point m_began = Clock::now();
};

/** The platform's store: rows, conditional writes and held reads of changes,
 * as PROTOCOL.md tells them. It does nothing that the page does not name. */
class Store
{
public:
  Store();

  void Put(const std::string& aTable,
           const std::string& aKey,
           const nlohmann::json& aValue);
  std::string Address() const { return m_listener->Address(); }

private:
  struct Change
  {
    std::uint64_t m_version = 0;
    std::string m_table;
    nlohmann::json m_row;
  };
  struct Answer
  {
    int m_status = 0;
    nlohmann::json m_body;
  };

  void Serve(int aSocket);
  Answer Handle(const std::string& aTarget, const std::string& aBody);
  Answer Write(const nlohmann::json& aCall);
  Answer Read(const std::map<std::string, std::string>& aQuery);
  Answer Follow(const std::map<std::string, std::string>& aQuery);
  nlohmann::json Told(nlohmann::json aRows) const;
  void Note(const std::string& aTable,
            const std::string& aKey,
            const std::string& aValue);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, nlohmann::json>> m_rows;
  std::vector<Change> m_changes;
  std::uint64_t m_version = 1;
  Clock::time_point m_began = Clock::now();
  std::unique_ptr<Listener> m_listener;
};

/** One process of the project's own program, started with the command of the
 * deploy file. */
class Instance
{
public:
  struct Place
  {
    std::string m_name;
    std::string m_zone;
    std::string m_store;
    std::string m_folder; ///< For the settings and the log.
  };

  explicit Instance(Place aPlace);

  /** Fills the settings as the template of the deploy file does. */
  void Start();
  void Signal(int aSignal) const;
  /** Whether the process still runs; collects it if it has ended. */
  bool Runs();
  /** Kills it if it still runs, and waits for its end. */
  void Kill();
  /** Resident memory in MB. */
  long MemoryMb() const;
  bool IsReady() const;
  /** False: it did not say that it is ready within ten seconds. */
  bool WaitUntilReady() const;

  int Front() const { return m_front; }
  const std::string& Name() const { return m_place.m_name; }

private:
  Place m_place;
  int m_front = 0;
  int m_ready = 0;
  int m_metrics = 0;
  int m_peers = 0;
  pid_t m_process = -1;
};

/** The row of a worker of a plain service. */
nlohmann::json
WorkerRow(const std::string& aService,
          const std::string& aAddress,
          const std::string& aZone);

} // namespace review
