// The operator adds a route whose priority is a rank above 100, takes one of
// two keys away and drops a route, in one version. Requests to the new route,
// to the dropped one, and with the key that was taken away are sent long after
// the version must be in force.

#include "../../common-2/Instances.h"
#include "../../common-2/Platform.h"
#include "../../common-2/Worker.h"

#include <string>

using namespace review;
using nlohmann::json;

namespace {

constexpr int kInstances = 2;
constexpr int kConfigApplyMs = 3000; // `config_apply_ms`.
constexpr int kContactMs = 4000;     // `contact_ms`.
constexpr int kRevokeMs = 5000;      // `revoke_ms`.
constexpr int kAnswerMs = 2000;
constexpr int kRounds = 10;
constexpr int kNearRank = 3;
constexpr int kFarRank = 200;

json
Route(const std::string& aName, int aPriority)
{
  return { { "name", aName },
           { "host", "desk.example" },
           { "path_prefix", "/" + aName + "/" },
           { "kind", "safe" },
           { "timeout_ms", 1000 },
           { "target_latency_ms", 100 },
           { "max_attempts", 2 },
           { "priority", aPriority },
           { "service", "desk" } };
}

json
Config(int aVersion, const json& aRoutes, const json& aKeys)
{
  return {
    { "version", aVersion },
    { "routes", aRoutes },
    { "services",
      json::array({ { { "name", "desk" }, { "max_connections", 110 } } }) },
    { "tenants",
      json::array({ { { "name", "registry" }, { "api_keys", aKeys } } }) },
    { "limits", { { "max_body_bytes", 100000 } } }
  };
}

/** Sends a request and returns the status; 0: no answer. */
int
Send(const std::string& aAddress,
     const std::string& aRoute,
     const std::string& aId,
     const std::string& aKey)
{
  const auto answer = Ask(
    aAddress,
    "GET /" + aRoute +
      "/plate HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + aId +
      "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Token " + aKey + "\r\n\r\n",
    kAnswerMs);
  return answer ? answer->m_status : 0;
}

} // namespace

int
main(int, char** aArguments)
{
  Record record(aArguments[1]);
  TemporaryFolder folder;
  Store store(LoopbackIp(1));
  Worker worker(LoopbackIp(2), "i-1", 5);
  store.Put("op",
            "config",
            Config(1,
                   json::array({ Route("status", 2), Route("dropped", 2) }),
                   { "key-one", "key-two" }));
  store.Put("servers", worker.Id(), worker.Row("desk"));
  Instances instances(folder.Path(),
                      store.Address(),
                      kInstances,
                      { { "keys",
                          { { "revocationMs", kRevokeMs },
                            { "configApplyMs", kConfigApplyMs } } } });
  for (int i = 0; i < kInstances; ++i) {
    instances.Start(i);
  }
  if (!instances.WaitReady(20000)) {
    record.Write("the instances don't become ready");
    Finish(instances, folder, 2);
  }
  SleepMs(kContactMs);
  for (int i = 0; i < kInstances; ++i) {
    const std::string id = "before-" + std::to_string(i);
    if (Send(instances.Callers(i), "status", id, "key-one") != 200) {
      record.Write("requests aren't served before the change either");
      Finish(instances, folder, 2);
    }
  }
  const int rank = HasTrouble() ? kFarRank : kNearRank;
  store.Put("op",
            "config",
            Config(2,
                   json::array({ Route("status", 2), Route("added", rank) }),
                   { "key-two" }));
  const double acknowledged = SteadySeconds();
  record.Write("acknowledged: version 2 with a route of priority " +
               std::to_string(rank));
  SleepMs(kRevokeMs + kContactMs);
  int missing = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < kInstances; ++i) {
      const std::string tag = std::to_string(round) + "-" + std::to_string(i);
      const std::string to = instances.Callers(i);
      const int added = Send(to, "added", "added-" + tag, "key-two");
      const int dropped = Send(to, "dropped", "dropped-" + tag, "key-two");
      const int taken = Send(to, "status", "taken-" + tag, "key-one");
      missing += added == 404 ? 1 : 0;
      record.Write("sent to edge-" + std::to_string(i + 1) +
                   ": added route answered " + std::to_string(added) +
                   ", dropped route " + std::to_string(dropped) +
                   ", key taken away " + std::to_string(taken));
    }
    SleepMs(100);
  }
  int ranDropped = 0;
  int ranTaken = 0;
  for (const Run& run : worker.Runs()) {
    ranDropped += run.m_id.starts_with("dropped-") ? 1 : 0;
    ranTaken += run.m_id.starts_with("taken-") ? 1 : 0;
    record.Write("ran " + run.m_id + ", " +
                 std::to_string(run.m_at - acknowledged) +
                 " s after the acknowledgement");
  }
  const bool isBroken = missing + ranDropped + ranTaken > 0;
  record.Write((isBroken ? "broken: " : "held: ") + std::to_string(missing) +
               " requests to the added route answered 404, " +
               std::to_string(ranDropped) + " run on the dropped one, " +
               std::to_string(ranTaken) + " run with the key taken away");
  Finish(instances, folder, isBroken ? 1 : 0);
}
