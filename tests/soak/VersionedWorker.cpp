#include "VersionedWorker.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace ridgeferry::soak {

namespace {

constexpr Duration kEventEvery{ 25 };
/** Room for all streams of a test at one upstream. */
constexpr int kSlots = 48;

std::string
ValueOf(const net::HttpExchange& aCall, std::string_view aName)
{
  return std::string(aCall.Headers().Find(aName).value_or(""));
}

} // namespace

VersionedWorker::VersionedWorker(net::EventLoop& aLoop,
                                 std::string aId,
                                 std::string aVersion)
  : m_loop(aLoop)
  , m_version(std::move(aVersion))
  , m_worker(aLoop,
             std::move(aId),
             [this](const std::shared_ptr<net::HttpExchange>& aCall) {
               Stream(aCall);
             })
{
}

std::string
VersionedWorker::Row() const
{
  nlohmann::json row = nlohmann::json::parse(m_worker.Row("s"));
  row["version"] = m_version;
  row["slots"] = kSlots;
  return row.dump();
}

void
VersionedWorker::BreakAll()
{
  for (const auto& run : std::exchange(m_runs, {})) {
    run->m_call->Abort();
  }
}

void
VersionedWorker::Stream(const std::shared_ptr<net::HttpExchange>& aCall)
{
  net::HttpHeaders headers;
  headers.Add("X-Request-Id", ValueOf(*aCall, "X-Request-Id"));
  headers.Add("Content-Type", "text/event-stream");
  aCall->StartStream(200, headers);
  const auto run = std::make_shared<Run>();
  run->m_call = aCall;
  const std::string after = ValueOf(*aCall, "Last-Event-Id");
  run->m_next = after.empty() ? 1 : std::stoi(after) + 1;
  run->m_timer =
    m_loop.Every(kEventEvery, [this, raw = run.get()] { Write(*raw); });
  m_runs.push_back(run);
}

void
VersionedWorker::Write(Run& aRun)
{
  if (aRun.m_next > kEvents) {
    return;
  }
  aRun.m_call->SendChunk("id: " + std::to_string(aRun.m_next) +
                         "\ndata: " + m_version + "\n\n");
  if (++aRun.m_next > kEvents) {
    aRun.m_call->EndStream();
  }
}

std::vector<VersionedWorker::Event>
VersionedWorker::TakeEvents(std::string& aText)
{
  constexpr std::string_view kEnd = "\n\n";
  constexpr std::string_view kData = "data: ";
  std::vector<Event> out;
  for (std::size_t end = aText.find(kEnd); end != std::string::npos;
       end = aText.find(kEnd)) {
    const std::string event = aText.substr(0, end);
    aText.erase(0, end + kEnd.size());
    const std::size_t data = event.find(kData);
    if (data != std::string::npos) { // Otherwise it is a refusal's body.
      out.push_back(
        { event.substr(0, data), event.substr(data + kData.size()) });
    }
  }
  return out;
}

} // namespace ridgeferry::soak
