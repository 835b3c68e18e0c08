#pragma once

#include "Http.h"

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

/** A request that a worker received. */
struct Run
{
  std::string m_id;
  std::string m_target;
  std::string m_tenant;
  double m_at = 0; ///< Steady time, in seconds.
  bool m_isDone = false;
};

/** A worker of a plain service: runs each request that names it and answers
 * with a stamp. Thread-safe. */
class Worker
{
public:
  Worker(const std::string& aIp, std::string aId, int aWorkMs);

  const std::string& Id() const { return m_id; }
  /** Its row in the table of workers. */
  nlohmann::json Row(const std::string& aService) const;
  std::vector<Run> Runs() const;

private:
  bool Answer(const Message& aRequest, Connection& aConnection);

  std::string m_id;
  int m_workMs;
  mutable std::mutex m_mutex;
  std::vector<Run> m_runs;
  std::unique_ptr<Server> m_server;
};

/** Steady time, in seconds. */
double
SteadySeconds();

} // namespace review
