#include "Worker.h"

#include <chrono>
#include <thread>

namespace review {

double
SteadySeconds()
{
  return std::chrono::duration<double>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

Worker::Worker(const std::string& aIp, std::string aId, int aWorkMs)
  : m_id(std::move(aId))
  , m_workMs(aWorkMs)
{
  m_server = std::make_unique<Server>(
    aIp, [this](const Message& aRequest, Connection& aConnection) {
      return Answer(aRequest, aConnection);
    });
}

nlohmann::json
Worker::Row(const std::string& aService) const
{
  return { { "service", aService },
           { "address", m_server->Address() },
           { "zone", "hall" },
           { "version", "1" },
           { "slots", 6 },
           { "state", "ready" },
           { "cold_remaining_ms", 0 },
           { "seq", 0 } };
}

std::vector<Run>
Worker::Runs() const
{
  const std::lock_guard guard(m_mutex);
  return m_runs;
}

bool
Worker::Answer(const Message& aRequest, Connection& aConnection)
{
  const std::string id = aRequest.Header("X-Request-Id");
  const std::string expected = aRequest.Header("X-Expect-Instance");
  if (!expected.empty() && expected != m_id) {
    return aConnection.Send(
      Response(421, "", { { "X-Request-Id", id }, { "X-Instance-Id", m_id } }));
  }
  std::size_t index = 0;
  {
    const std::lock_guard guard(m_mutex);
    index = m_runs.size();
    m_runs.push_back({ id,
                       aRequest.m_target,
                       aRequest.Header("X-Tenant"),
                       SteadySeconds(),
                       false });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(m_workMs));
  {
    const std::lock_guard guard(m_mutex);
    m_runs[index].m_isDone = true;
  }
  return aConnection.Send(Response(
    200,
    "ran",
    { { "X-Request-Id", id }, { "X-Server-Stamp", m_id + "." + id } }));
}

} // namespace review
