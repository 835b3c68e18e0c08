// Measures the slopes of docs/CAPACITY.md and the recovery times of
// docs/PROMISES.md on real processes, and writes them as JSON.

#include "Caller.h"
#include "Cluster.h"
#include "ProcessSample.h"
#include "SizingPlot.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace ridgeferry::bench {

namespace {

using session::Cluster;
using Json = nlohmann::ordered_json;

constexpr Duration kWarmUp{ 4000 };
constexpr Duration kMeasured{ 10'000 };
constexpr double kMeasuredSeconds = 10.0;

/** A hall of instances and engines, with the settings of production. */
Json
DataCentrePlan(int aInstances, int aEngines, std::int64_t aTokenMs = 1000)
{
  Json engines = Json::array();
  for (int i = 0; i < aEngines; ++i) {
    engines.push_back({ { "id", "e" + std::to_string(i) },
                        { "hall", "hall" },
                        { "labels", { { "pool", "a" } } },
                        { "arguments",
                          { { "model", "m" },
                            { "version", "1" },
                            { "slots", 64 },
                            { "token-ms", aTokenMs } } } });
  }
  Json selector{ { "matchLabels", { { "pool", "a" } } } };
  Json objects = Json::array({ { { "kind", "team" }, { "name", "team" } },
                               { { "kind", "deployment" },
                                 { "name", "d" },
                                 { "spec",
                                   { { "model", "m" },
                                     { "version", "1" },
                                     { "engines", selector },
                                     { "deadlineMs", 600'000 } } } } });
  return { { "instances", { { "hall", aInstances } } },
           { "engines", engines },
           { "services", Json::array() },
           { "objects", objects } };
}

class Measurement
{
public:
  Measurement(const session::RunPlace& aPlace, const Json& aPlan)
    : m_loop(net::EventLoop::Make())
    , m_cluster(*m_loop, Fresh(aPlace), nlohmann::json::parse(aPlan.dump()))
  {
  }

  Cluster& Processes() { return m_cluster; }
  bool Start() { return m_cluster.StartAll(); }
  void Wait(Duration aTime)
  {
    m_cluster.WaitFor([] { return false; }, aTime);
  }
  Instant Now() const { return m_loop->Now(); }

  double Metric(const std::string& aInstance, const std::string& aName)
  {
    net::HttpRequest request;
    request.m_address = m_cluster.AdminAddress(aInstance);
    request.m_target = "/metrics";
    std::istringstream lines(m_cluster.Ask(request).m_body);
    const std::string wanted = "ridgeferry_" + aName + " ";
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with(wanted)) {
        return std::stod(line.substr(wanted.size()));
      }
    }
    return 0;
  }

  /** Means over the hall's instances, each a second. */
  Json PerInstance()
  {
    const std::vector<std::string> names = m_cluster.Instances();
    std::map<std::string, double> cpu;
    std::map<std::string, double> sent;
    std::map<std::string, double> received;
    std::map<std::string, double> reads;
    std::map<std::string, double> polls;
    const auto take = [&](double aSign) {
      for (const std::string& name : names) {
        cpu[name] +=
          aSign * SampleProcess(m_cluster.Processes().Pid(name)).m_cpuSeconds;
        sent[name] += aSign * Metric(name, "peer_bytes_sent");
        received[name] += aSign * Metric(name, "peer_bytes_received");
        reads[name] += aSign * Metric(name, "config_head_reads_total");
        polls[name] += aSign * Metric(name, "status_reads_total");
      }
    };
    take(-1);
    Wait(kMeasured);
    take(1);
    const auto mean = [&](const std::map<std::string, double>& aValues) {
      double sum = 0;
      for (const auto& [name, value] : aValues) {
        sum += value;
      }
      return sum / kMeasuredSeconds / static_cast<double>(names.size());
    };
    double rss = 0;
    for (const std::string& name : names) {
      rss += SampleProcess(m_cluster.Processes().Pid(name)).m_rssMb;
    }
    return { { "corePercent", 100 * mean(cpu) },
             { "peerBytesSentPerSecond", mean(sent) },
             { "peerBytesReceivedPerSecond", mean(received) },
             { "headReadsPerSecond", mean(reads) },
             { "statusPollsPerSecond", mean(polls) },
             { "rssMb", rss / static_cast<double>(names.size()) } };
  }

private:
  static session::RunPlace Fresh(session::RunPlace aPlace)
  {
    std::filesystem::remove_all(aPlace.m_files);
    std::filesystem::create_directories(aPlace.m_files);
    return aPlace;
  }

  std::unique_ptr<net::EventLoop> m_loop;
  Cluster m_cluster;
};

Json
MeasurePeers(const session::RunPlace& aPlace)
{
  Json out = Json::array();
  for (int peers : { 2, 8, 24, 45, 90 }) {
    std::fprintf(stderr, "peers: %d\n", peers);
    Measurement run(aPlace, DataCentrePlan(peers, 0));
    if (!run.Start()) {
      out.push_back({ { "instances", peers }, { "failed", true } });
      continue;
    }
    run.Wait(kWarmUp);
    Json point = run.PerInstance();
    point["instances"] = peers;
    out.push_back(point);
  }
  return out;
}

Json
MeasureEngines(const session::RunPlace& aPlace)
{
  Json out = Json::array();
  for (int instances : { 2, 16 }) {
    for (int engines : { 12, 50, 100 }) {
      std::fprintf(stderr, "engines: %d at %d\n", engines, instances);
      Measurement run(aPlace, DataCentrePlan(instances, engines));
      Json point{ { "failed", true } };
      if (run.Start()) {
        run.Wait(kWarmUp);
        point = run.PerInstance();
      }
      point["instances"] = instances;
      point["engines"] = engines;
      out.push_back(point);
    }
  }
  return out;
}

Json
MeasureOrganisations(const session::RunPlace& aPlace)
{
  Json out = Json::array();
  for (int organisations : { 10, 500, 1500 }) {
    std::fprintf(stderr, "teams: %d\n", organisations);
    Measurement run(aPlace, DataCentrePlan(2, 0));
    if (!run.Start()) {
      out.push_back({ { "teams", organisations }, { "failed", true } });
      continue;
    }
    Json put = Json::array();
    for (int i = 0; i < organisations; ++i) {
      put.push_back(
        { { "kind", "team" },
          { "name", "team-" + std::to_string(i) },
          { "spec", { { "limits", { { "requestsPerSecond", 10 } } } } } });
    }
    const std::string first = run.Processes().Instances().front();
    const pid_t pid = run.Processes().Processes().Pid(first);
    const double before = SampleProcess(pid).m_rssMb;
    run.Processes().PostChange(
      first,
      nlohmann::json::parse(
        Json{ { "reason", "teams" }, { "put", put } }.dump()));
    run.Wait(kWarmUp);
    out.push_back({ { "teams", organisations },
                    { "rssMbBefore", before },
                    { "rssMbAfter", SampleProcess(pid).m_rssMb } });
  }
  return out;
}

Json
MeasureStreams(const session::RunPlace& aPlace)
{
  constexpr std::int64_t kTokenMs = 20;
  Json out = Json::array();
  for (int streams : { 20, 100, 200 }) {
    std::fprintf(stderr, "streams: %d\n", streams);
    Measurement run(aPlace, DataCentrePlan(1, 4, kTokenMs));
    if (!run.Start()) {
      out.push_back({ { "streams", streams }, { "failed", true } });
      continue;
    }
    const std::string name = run.Processes().Instances().front();
    const pid_t pid = run.Processes().Processes().Pid(name);
    const double rssBefore = SampleProcess(pid).m_rssMb;
    session::Caller caller(run.Processes());
    for (int i = 0; i < streams; ++i) {
      caller.Send("s" + std::to_string(i),
                  name,
                  { { "path", "/v1/completions" },
                    { "headers", { { "X-Ridgeferry-Team", "team" } } },
                    { "body",
                      { { "model", "m" },
                        { "prompt", "stream " + std::to_string(i) },
                        { "stream", true },
                        { "max_tokens", 5000 } } } });
    }
    run.Wait(kWarmUp);
    const auto tokens = [&] {
      std::uint64_t sum = 0;
      for (int i = 0; i < streams; ++i) {
        sum +=
          session::Caller::ReadGeneration(caller.Find("s" + std::to_string(i)))
            .m_tokens;
      }
      return sum;
    };
    const std::uint64_t tokensBefore = tokens();
    const double cpuBefore = SampleProcess(pid).m_cpuSeconds;
    run.Wait(kMeasured);
    const double cpu = SampleProcess(pid).m_cpuSeconds - cpuBefore;
    const double count = static_cast<double>(tokens() - tokensBefore);
    out.push_back({ { "streams", streams },
                    { "tokensPerSecond", count / kMeasuredSeconds },
                    { "corePercent", 100 * cpu / kMeasuredSeconds },
                    { "microsecondsPerToken", 1e6 * cpu / count },
                    { "rssMbBefore", rssBefore },
                    { "rssMbAfter", SampleProcess(pid).m_rssMb } });
  }
  return out;
}

/** Milliseconds until a condition holds; -1 if it never does. */
std::int64_t
TimeUntil(Measurement& aRun, const std::function<bool()>& aCondition)
{
  const Instant start = aRun.Now();
  if (!aRun.Processes().WaitFor(aCondition)) {
    return -1;
  }
  return (aRun.Now() - start).count();
}

std::string
PlannerOf(Cluster& aCluster, const std::string& aVia)
{
  const nlohmann::json status = aCluster.Status(aVia);
  if (!status.is_object()) {
    return {};
  }
  const std::string holder = status.at("planner").at("holder");
  return holder.substr(0, holder.find('@'));
}

Json
MeasureTakeover(const session::RunPlace& aPlace, int aSignal)
{
  Measurement run(aPlace, DataCentrePlan(3, 1));
  if (!run.Start()) {
    return { { "failed", true } };
  }
  Cluster& cluster = run.Processes();
  const std::vector<std::string> names = cluster.Instances();
  cluster.WaitFor([&] { return !PlannerOf(cluster, names[0]).empty(); });
  const std::string planner = PlannerOf(cluster, names[0]);
  const std::string other = planner == names[0] ? names[1] : names[0];
  const std::string third = planner == names[2] ? names[1] : names[2];
  cluster.Processes().Signal(planner, aSignal);
  const std::int64_t took = TimeUntil(run, [&] {
    for (const std::string& name : { other, third }) {
      const nlohmann::json status = cluster.Status(name);
      if (status.is_object() && status.at("planner").at("self")) {
        return true;
      }
    }
    return false;
  });
  cluster.Processes().Signal(planner, SIGCONT);
  return took;
}

Json
MeasureReady(const session::RunPlace& aPlace, bool aTableUp)
{
  Measurement run(aPlace, DataCentrePlan(3, 1));
  if (!run.Start()) {
    return { { "failed", true } };
  }
  Cluster& cluster = run.Processes();
  const std::string last = cluster.Instances().back();
  cluster.Processes().Signal(last, SIGKILL);
  int code = 0;
  cluster.WaitFor([&] { return cluster.Processes().HasEnded(last, &code); });
  if (!aTableUp) {
    cluster.Switch("platform", { { "outage", "refuse" } });
  }
  cluster.StartInstance(last);
  return TimeUntil(run, [&] { return cluster.IsReady(last); });
}

/** Times from a change's acceptance until it is in force everywhere. */
Json
MeasureChanges(const session::RunPlace& aPlace)
{
  constexpr int kChanges = 10;
  Measurement run(aPlace, DataCentrePlan(24, 0));
  if (!run.Start()) {
    return { { "failed", true } };
  }
  Cluster& cluster = run.Processes();
  const std::vector<std::string> names = cluster.Instances();
  Json out = Json::array();
  for (int i = 0; i < kChanges; ++i) {
    const nlohmann::json organisation = { { "kind", "team" },
                                          { "name", "t" + std::to_string(i) } };
    const auto& via = names[static_cast<std::size_t>(i) % names.size()];
    const net::HttpResponse answer = cluster.PostChange(
      via, { { "reason", "measure" }, { "put", { organisation } } });
    const auto revision =
      nlohmann::json::parse(answer.m_body).at("revision").get<int>();
    std::size_t done = 0;
    out.push_back(TimeUntil(run, [&] {
      while (done < names.size()) {
        const nlohmann::json status = cluster.Status(names[done]);
        if (!status.is_object() || status.value("revision", 0) < revision) {
          return false;
        }
        ++done;
      }
      return true;
    }));
  }
  return out;
}

Json
MeasureAll(const session::RunPlace& aPlace)
{
  Json out;
  out["peers"] = MeasurePeers(aPlace);
  out["engines"] = MeasureEngines(aPlace);
  out["teams"] = MeasureOrganisations(aPlace);
  out["streams"] = MeasureStreams(aPlace);
  std::fprintf(stderr, "recovery\n");
  out["takeoverAfterKillMs"] = MeasureTakeover(aPlace, SIGKILL);
  out["takeoverAfterPauseMs"] = MeasureTakeover(aPlace, SIGSTOP);
  out["takeoverAfterPlannedStopMs"] = MeasureTakeover(aPlace, SIGTERM);
  out["readyWithTableMs"] = MeasureReady(aPlace, true);
  out["readyWithoutTableMs"] = MeasureReady(aPlace, false);
  std::fprintf(stderr, "changes\n");
  out["changeInForceAt24InstancesMs"] = MeasureChanges(aPlace);
  return out;
}

} // namespace

} // namespace ridgeferry::bench

int
main(int aCount, char** aValues)
{
  if (aCount != 4) {
    std::fputs("usage: capacity BUILD FOLDER OUTPUT.json\n", stderr);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const ridgeferry::session::RunPlace place{ aValues[1], aValues[2] };
  const std::filesystem::path output(aValues[3]);
  const ridgeferry::bench::Json figures = ridgeferry::bench::MeasureAll(place);
  std::ofstream(output) << figures.dump(2) << '\n';
  std::vector<ridgeferry::bench::LoadPoint> points;
  for (const auto& point : figures.at("streams")) {
    points.push_back(
      { point.value("tokensPerSecond", 0.0), point.value("corePercent", 0.0) });
  }
  ridgeferry::bench::WriteSizingPlot(points,
                                     output.parent_path() / "sizing.svg");
  return 0;
}
