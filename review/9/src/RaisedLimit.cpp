// The operator raises `max_body_bytes`. Clients whose connections have rested
// meanwhile send requests that the new configuration allows and the old one did
// not, long after it must be in force.

#include "../../common-2/Instances.h"
#include "../../common-2/Platform.h"
#include "../../common-2/Worker.h"

#include <string>

using namespace review;
using nlohmann::json;

namespace {

constexpr std::size_t kInstances = 2;
/** Connections that each client keeps: 20 clients, one to each instance. */
constexpr std::size_t kClients = 20;
constexpr int kFewBytes = 2000;
constexpr int kManyBytes = 100000;
constexpr int kBodyBytes = 20000;
/** `config_apply_ms`, and `contact_ms`, by which all is in touch again. */
constexpr int kConfigApplyMs = 2000;
constexpr int kContactMs = 3000;
constexpr int kAnswerMs = 3000;

json
Config(int aVersion, int aBodyBytes)
{
  return { { "version", aVersion },
           { "routes",
             json::array({ { { "name", "post" },
                             { "host", "desk.example" },
                             { "path_prefix", "/post/" },
                             { "kind", "unsafe" },
                             { "timeout_ms", 2000 },
                             { "target_latency_ms", 100 },
                             { "max_attempts", 2 },
                             { "priority", 2 },
                             { "service", "desk" } } }) },
           { "services",
             json::array(
               { { { "name", "desk" }, { "max_connections", 110 } } }) },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", aBodyBytes },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } } };
}

std::string
Request(const std::string& aId, int aBytes)
{
  return "POST /post/plate HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " +
         aId + "\r\nX-Deadline-Ms: 2000\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n\r\n" +
         std::string(static_cast<std::size_t>(aBytes), 'b');
}

} // namespace

int
main(int, char** aArguments)
{
  Record record(aArguments[1]);
  TemporaryFolder folder;
  Store store(LoopbackIp(1));
  Worker worker(LoopbackIp(2), "i-1", 5);
  Worker other(LoopbackIp(3), "i-2", 5);
  // Without the trouble the limit is as high from the start.
  store.Put("op", "config", Config(1, HasTrouble() ? kFewBytes : kManyBytes));
  store.Put("servers", worker.Id(), worker.Row("desk"));
  store.Put("servers", other.Id(), other.Row("desk"));
  Instances instances(
    folder.Path(), store.Address(), int{ kInstances }, json::object());
  for (int i = 0; i < instances.Count(); ++i) {
    instances.Start(i);
  }
  if (!instances.WaitReady(20000)) {
    record.Write("the instances don't become ready");
    Finish(instances, folder, 2);
  }
  SleepMs(kContactMs);
  std::vector<std::unique_ptr<Connection>> kept;
  int sent = 0;
  int refused = 0;
  int served = 0;
  const auto send = [&](
                      std::size_t aIndex, const std::string& aId, int aBytes) {
    ++sent;
    if (kept[aIndex] == nullptr || !kept[aIndex]->Send(Request(aId, aBytes))) {
      kept[aIndex] =
        Connect(instances.Callers(static_cast<int>(aIndex % kInstances)));
      if (kept[aIndex] == nullptr ||
          !kept[aIndex]->Send(Request(aId, aBytes))) {
        return 0;
      }
    }
    const auto answer = kept[aIndex]->ReadResponse(kAnswerMs);
    const int status = answer ? answer->m_status : 0;
    record.Write("sent " + aId + " with " + std::to_string(aBytes) +
                 " bytes to edge-" + std::to_string(aIndex % kInstances + 1) +
                 ", answered " + std::to_string(status));
    if (!answer || answer->Header("Connection") == "close") {
      kept[aIndex].reset();
    }
    served += status == 200 ? 1 : 0;
    return status;
  };
  for (std::size_t i = 0; i < kClients * kInstances; ++i) {
    kept.push_back(nullptr);
    if (send(i, "before-" + std::to_string(i), 500) != 200) {
      record.Write("requests aren't served before the change either");
      Finish(instances, folder, 2);
    }
  }
  store.Put("op", "config", Config(2, kManyBytes));
  record.Write("acknowledged: version 2, max_body_bytes " +
               std::to_string(kManyBytes));
  SleepMs(kConfigApplyMs + kContactMs);
  for (int round = 1; round <= 2; ++round) {
    for (std::size_t i = 0; i < kept.size(); ++i) {
      const int status =
        send(i,
             "after-" + std::to_string(round) + "-" + std::to_string(i),
             kBodyBytes);
      refused += status >= 300 && status < 500 && status != 408 &&
                     status != 421 && status != 429
                   ? 1
                   : 0;
    }
  }
  // More than 5 + one in 500 of all requests.
  const bool isBroken = refused > 5 + sent / 500;
  record.Write((isBroken ? "broken: " : "held: ") + std::to_string(refused) +
               " of " + std::to_string(sent) +
               " requests refused with a 4xx, " + std::to_string(served) +
               " served");
  Finish(instances, folder, isBroken ? 1 : 0);
}
