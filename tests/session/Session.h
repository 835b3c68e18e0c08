#pragma once

#include "Caller.h"
#include "Cluster.h"
#include "History.h"

#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace ridgeferry::session {

/** What a session printed, and whether it could be played to its end. */
struct SessionResult
{
  bool m_played = false;
  std::string m_transcript; ///< With times, ids and ports left out.
  std::string m_failure;    ///< The step that failed, and how.
};

/**
 * Plays a session file against real processes: calls, failures and waits for
 * conditions, step by step. At its end the histories are checked.
 */
class Session
{
public:
  /** `aProgress` gets each line as it is written, if set. */
  Session(net::EventLoop& aLoop,
          RunPlace aPlace,
          const std::filesystem::path& aFile,
          std::function<void(const std::string&)> aProgress = {});

  SessionResult Play();
  Cluster& Processes() { return m_cluster; }

private:
  bool PlayStep(const nlohmann::json& aStep);
  bool PlayCall(const nlohmann::json& aStep);
  bool PlayAwait(const nlohmann::json& aStep);
  bool PlaySignal(const nlohmann::json& aStep);
  bool PlayChange(const nlohmann::json& aStep);
  bool PlayAwaitRevision(const nlohmann::json& aStep);
  bool PlayAwaitUpstream(const nlohmann::json& aStep);
  bool PlayNotePlanner(const nlohmann::json& aStep);
  bool PlayCommand(const nlohmann::json& aStep);
  /** Names a step's `$planner` and `$other`; other names stand as they are. */
  std::string Resolve(const std::string& aName) const;
  bool CheckHistories();
  void Say(const std::string& aLine);
  void SayAnswer(const CallRecord& aRecord);

  std::filesystem::path m_file;
  nlohmann::json m_script;
  Cluster m_cluster;
  Caller m_caller;
  std::function<void(const std::string&)> m_progress;
  std::string m_transcript;
  fakes::History m_history; ///< What the session itself saw.
  std::string m_planner;    ///< Instance noted as its hall's planner.
  std::string m_other;      ///< Another instance of that hall.
};

} // namespace ridgeferry::session
