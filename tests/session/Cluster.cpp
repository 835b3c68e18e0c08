#include "Cluster.h"

#include <fstream>

namespace ridgeferry::session {

namespace {

constexpr Duration kPollStep{ 20 };
constexpr int kOk = 200;
constexpr const char* kToken = "session-token";

} // namespace

Cluster::Cluster(net::EventLoop& aLoop, RunPlace aPlace, nlohmann::json aPlan)
  : m_loop(aLoop)
  , m_client(aLoop)
  , m_place(std::move(aPlace))
  , m_plan(std::move(aPlan))
{
  PlanAddresses();
}

void
Cluster::PlanAddresses()
{
  const auto fake = [&](const std::string& aProgram,
                        const std::string& aName,
                        const nlohmann::json& aArguments) {
    m_fakes[aName] = m_ports.NewAddress();
    std::vector<std::string> command = {
      (m_place.m_programs / "fakes" / aProgram).string(),
      "--listen",
      m_fakes[aName],
      "--id",
      aName,
      "--history",
      (m_place.m_files / ("fake-" + aName + ".jsonl")).string()
    };
    if (aProgram == "fake_engine") {
      command.insert(command.end(), { "--weights", m_fakes.at("platform") });
    }
    for (const auto& [key, value] : aArguments.items()) {
      command.push_back("--" + key);
      command.push_back(value.is_string() ? value.get<std::string>()
                                          : value.dump());
    }
    m_fakeCommands[aName] = command;
  };
  fake("fake_platform",
       "platform",
       m_plan.value("platform", nlohmann::json::object()));
  for (const auto& engine : m_plan.at("engines")) {
    fake("fake_engine", engine.at("id"), engine.at("arguments"));
  }
  for (const auto& service : m_plan.at("services")) {
    fake("fake_service",
         service.at("id"),
         service.value("arguments", nlohmann::json::object()));
  }
  for (const auto& [dataCentre, count] : m_plan.at("instances").items()) {
    for (int i = 1; i <= count.get<int>(); ++i) {
      m_instances[dataCentre + "-" + std::to_string(i)] = {
        dataCentre,
        m_ports.NewAddress(),
        m_ports.NewAddress(),
        m_ports.NewAddress()
      };
    }
  }
}

nlohmann::json
Cluster::SettingsOf(const std::string& aName) const
{
  const InstancePlan& plan = m_instances.at(aName);
  const std::string& platform = m_fakes.at("platform");
  nlohmann::json settings = {
    { "instance", aName },
    { "hall", plan.m_dataCentre },
    { "listen",
      { { "callers", plan.m_callers },
        { "admin", plan.m_admin },
        { "peers", plan.m_peers } } },
    { "platform",
      { { "table", platform },
        { "objects", platform },
        { "instances", platform } } },
    { "admin",
      { { "tokens",
          nlohmann::json::array(
            { { { "name", "operator" }, { "token", kToken } } }) } } },
    { "log",
      { { "file",
          (m_place.m_files / ("log-" + aName + ".jsonl")).string() } } },
  };
  settings.update(m_plan.value("settings", nlohmann::json::object()), true);
  return settings;
}

nlohmann::json
Cluster::Members() const
{
  nlohmann::json members = nlohmann::json::array();
  const auto add = [&](const nlohmann::json& aItem, const char* aKind) {
    members.push_back(
      { { "id", aItem.at("id") },
        { "kind", aKind },
        { "hall", aItem.at("hall") },
        { "address", m_fakes.at(aItem.at("id").get<std::string>()) },
        { "labels", aItem.value("labels", nlohmann::json::object()) },
        { "state", "live" } });
  };
  for (const auto& engine : m_plan.at("engines")) {
    add(engine, "engine");
  }
  for (const auto& service : m_plan.at("services")) {
    add(service, "service");
  }
  for (const auto& [name, plan] : m_instances) {
    members.push_back({ { "id", name },
                        { "kind", "instance" },
                        { "hall", plan.m_dataCentre },
                        { "address", plan.m_peers },
                        { "labels", nlohmann::json::object() },
                        { "state", "live" } });
  }
  return members;
}

bool
Cluster::StartFake(const std::string& aName)
{
  return m_processes.Start(
    aName, m_fakeCommands.at(aName), m_place.m_files / (aName + ".err"));
}

bool
Cluster::StartInstance(const std::string& aName)
{
  const auto file = m_place.m_files / ("settings-" + aName + ".json");
  std::ofstream(file) << SettingsOf(aName).dump(2);
  return m_processes.Start(
    aName,
    { (m_place.m_programs / "bin" / "ridgeferryd").string(),
      "--settings",
      file.string() },
    m_place.m_files / (aName + ".err"));
}

bool
Cluster::StartAll()
{
  for (const auto& [name, command] : m_fakeCommands) {
    if (!StartFake(name)) {
      return false;
    }
  }
  const bool listed = WaitFor([&] {
    return Switch("platform", { { "members", Members() } }).m_end ==
           net::HttpEnd::Complete;
  });
  for (const auto& [name, plan] : m_instances) {
    if (!listed || !StartInstance(name)) {
      return false;
    }
  }
  const std::string first = m_instances.begin()->first;
  if (!WaitFor([&] { return IsReady(first); })) {
    return false;
  }
  const net::HttpResponse applied = PostChange(
    first,
    { { "reason", "first declaration" }, { "put", m_plan.at("objects") } });
  if (applied.m_head.m_status != kOk) {
    std::fprintf(stderr, "%s\n", applied.m_body.c_str());
    return false;
  }
  // The objects are in force, every upstream has been met, and each instance
  // takes calls: it says so up to a tick after the objects are in force.
  return WaitFor([&] {
    for (const auto& [name, plan] : m_instances) {
      const nlohmann::json status = Status(name);
      if (!status.is_object() || status.value("revision", 0) < 1 ||
          !IsReady(name)) {
        return false;
      }
      for (const auto& upstream : status.at("upstreams")) {
        if (upstream.at("kind") == "engine" && !upstream.contains("role")) {
          return false;
        }
      }
    }
    return true;
  });
}

std::vector<std::string>
Cluster::Instances() const
{
  std::vector<std::string> out;
  for (const auto& [name, plan] : m_instances) {
    out.push_back(name);
  }
  return out;
}

std::string
Cluster::CallerAddress(const std::string& aInstance) const
{
  return m_instances.at(aInstance).m_callers;
}

std::string
Cluster::AdminAddress(const std::string& aInstance) const
{
  return m_instances.at(aInstance).m_admin;
}

std::string
Cluster::FakeAddress(const std::string& aName) const
{
  return m_fakes.at(aName);
}

bool
Cluster::WaitFor(const std::function<bool()>& aCondition, Duration aLongest)
{
  const Instant end = m_loop.Now() + aLongest;
  while (!aCondition()) {
    if (m_loop.Now() > end) {
      return false;
    }
    const net::Watch step = m_loop.After(kPollStep, [this] { m_loop.Stop(); });
    m_loop.Run();
  }
  return true;
}

net::HttpResponse
Cluster::Ask(const net::HttpRequest& aRequest)
{
  net::HttpResponse out;
  bool done = false;
  net::HttpCallbacks callbacks;
  callbacks.m_done = [&](net::HttpResponse aResponse) {
    out = std::move(aResponse);
    done = true;
    m_loop.Stop(); // Look at once, not at the next step.
  };
  m_client.Send(aRequest, std::move(callbacks));
  WaitFor([&] { return done; });
  return out;
}

net::HttpResponse
Cluster::Switch(const std::string& aFake, const nlohmann::json& aBody)
{
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_address = FakeAddress(aFake);
  request.m_target = "/fake";
  request.m_body = aBody.dump();
  return Ask(request);
}

nlohmann::json
Cluster::Status(const std::string& aInstance)
{
  net::HttpRequest request;
  request.m_address = AdminAddress(aInstance);
  request.m_target = "/admin/status";
  request.m_headers.Add("Authorization", std::string("Bearer ") + kToken);
  return nlohmann::json::parse(Ask(request).m_body, nullptr, false);
}

net::HttpResponse
Cluster::PostChange(const std::string& aInstance, const nlohmann::json& aChange)
{
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_address = AdminAddress(aInstance);
  request.m_target = "/admin/changes";
  request.m_headers.Add("Authorization", std::string("Bearer ") + kToken);
  request.m_body = aChange.dump();
  return Ask(request);
}

std::string
Cluster::TableRow(const std::string& aKey)
{
  net::HttpRequest request;
  request.m_address = FakeAddress("platform");
  request.m_target = "/table/row?key=" + aKey;
  return Ask(request).m_body;
}

bool
Cluster::IsReady(const std::string& aInstance)
{
  net::HttpRequest request;
  request.m_address = CallerAddress(aInstance);
  request.m_target = "/readyz";
  return Ask(request).m_head.m_status == kOk;
}

} // namespace ridgeferry::session
