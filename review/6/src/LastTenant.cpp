// The operator takes away the keys of the only tenant. Its row of the
// configuration holds an empty list of tenants from then on. Requests with the
// key that was taken away, with a key that no configuration ever held, and
// without a key go to both instances until the scenario ends.

#include "../../common-2/Instances.h"
#include "../../common-2/Platform.h"
#include "../../common-2/Worker.h"

#include <cstdio>
#include <cstdlib>

using namespace review;
using nlohmann::json;

namespace {

constexpr int kInstances = 2;
constexpr int kRevokeMs = 5000; // Of the users' pages: `revoke_ms`.
constexpr int kAnswerMs = 2000;
constexpr int kRounds = 10;

json
Config(int aVersion, json aTenants)
{
  return { { "version", aVersion },
           { "routes",
             json::array({ { { "name", "status" },
                             { "host", "desk.example" },
                             { "path_prefix", "/status/" },
                             { "kind", "safe" },
                             { "timeout_ms", 1000 },
                             { "target_latency_ms", 100 },
                             { "max_attempts", 2 },
                             { "priority", 2 },
                             { "service", "desk" } } }) },
           { "services",
             json::array(
               { { { "name", "desk" }, { "max_connections", 110 } } }) },
           { "tenants", std::move(aTenants) },
           { "limits", { { "max_body_bytes", 100000 } } } };
}

/** Sends a request and returns the status; 0: no answer. */
int
Send(const std::string& aAddress,
     const std::string& aId,
     const std::string& aKey)
{
  const std::string credentials =
    aKey.empty() ? "" : "Authorization: Token " + aKey + "\r\n";
  const auto answer = Ask(
    aAddress,
    "GET /status/plate HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + aId +
      "\r\nX-Deadline-Ms: 1000\r\n" + credentials + "\r\n",
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
  const json tenants =
    json::array({ { { "name", "registry" }, { "api_keys", { "key-one" } } } });
  store.Put("op", "config", Config(1, tenants));
  store.Put("servers", worker.Id(), worker.Row("desk"));
  Instances instances(
    folder.Path(),
    store.Address(),
    kInstances,
    { { "keys",
        { { "revocationMs", kRevokeMs }, { "configApplyMs", 2000 } } } });
  for (int i = 0; i < kInstances; ++i) {
    instances.Start(i);
  }
  if (!instances.WaitReady(20000)) {
    record.Write("the instances don't become ready");
    Finish(instances, folder, 2);
  }
  SleepMs(2000);
  for (int i = 0; i < kInstances; ++i) {
    const int known =
      Send(instances.Callers(i), "before-" + std::to_string(i), "key-one");
    const int never = Send(
      instances.Callers(i), "before-never-" + std::to_string(i), "key-never");
    record.Write("before: edge-" + std::to_string(i + 1) + " answers key-one " +
                 std::to_string(known) + ", key-never " +
                 std::to_string(never));
    if (known != 200 || never != 401) {
      record.Write("the keys don't work before the change either");
      Finish(instances, folder, 2);
    }
  }
  const json after = HasTrouble() ? json::array() : tenants;
  store.Put("op", "config", Config(2, after));
  const double acknowledged = SteadySeconds();
  record.Write("acknowledged: version 2, tenants " + after.dump());
  SleepMs(kRevokeMs + 500);
  int broken = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < kInstances; ++i) {
      for (const std::string key : { "key-one", "key-never", "" }) {
        const std::string id = "after-" + std::to_string(round) + "-" +
                               std::to_string(i) + "-" +
                               (key.empty() ? "no-key" : key);
        const int status = Send(instances.Callers(i), id, key);
        record.Write("sent " + id + " to edge-" + std::to_string(i + 1) +
                     ", answered " + std::to_string(status));
      }
    }
    SleepMs(200);
  }
  for (const Run& run : worker.Runs()) {
    const bool isNever = run.m_id.find("key-never") != std::string::npos;
    const bool isTaken = HasTrouble() &&
                         run.m_id.find("key-one") != std::string::npos &&
                         run.m_id.starts_with("after");
    if (isNever || isTaken) {
      ++broken;
      record.Write("ran " + run.m_id + " at worker " + worker.Id() + ", " +
                   std::to_string(run.m_at - acknowledged) +
                   " s after the acknowledgement, X-Tenant '" + run.m_tenant +
                   "'");
    }
  }
  record.Write(broken == 0 ? "held"
                           : "broken: " + std::to_string(broken) + " runs");
  Finish(instances, folder, broken == 0 ? 0 : 1);
}
