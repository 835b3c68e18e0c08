// Guards against a request that ends its instance by what its head says: one
// real instance before services of every mix of upstreams.

#include "InstancesFixture.h"

#include <array>
#include <nlohmann/json.hpp>
#include <ridgeferry/net/HttpClient.h>

namespace ridgeferry::soak {
namespace {

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<net::HttpExchange>;
using Fields = std::vector<std::pair<std::string, std::string>>;

/** A service by the phases that the rows of its upstreams tell; empty: the row
 * tells none. */
struct ServiceKind
{
  const char* m_name;
  std::vector<std::string> m_phases;
  /** Each upstream runs a software version of its own. */
  bool m_ownVersions = false;
};

const std::vector<ServiceKind> kServices{
  { "plain", { "", "" } },
  { "decode", { "decode", "decode" } },
  { "prefill", { "prefill", "prefill" } },
  { "both", { "prefill", "decode" } },
  { "untold", { "", "decode", "prefill" } },
  { "untold-and-prefill", { "", "prefill" } },
  { "versions", { "prefill", "decode" }, true },
  { "odd", { "x", "decode" } },
  { "empty", {} },
};

constexpr const char* kHuge = "9223372036854775807";
constexpr std::size_t kManyParts = 400;

std::string
ManyParts()
{
  std::string out;
  for (std::size_t i = 0; i < kManyParts; ++i) {
    out += std::to_string(i) + ":" + kHuge + ",";
  }
  return out + "a:1";
}

/** Heads that decide something, and odd forms of each. */
std::vector<Fields>
Heads()
{
  const std::string huge(kHuge);
  const Fields prompt{ { "X-Token-Count", "500,20" },
                       { "X-Prompt-Prefix", "a:300,b:100,c:100" } };
  std::vector<Fields> out{ {}, prompt };
  const std::vector<std::pair<std::string, std::vector<std::string>>> odd{
    { "X-Token-Count",
      { "500,20",
        "",
        ",",
        "x",
        "-1,-1",
        huge + "," + huge,
        huge + "0",
        "1,2,3" } },
    { "X-Prompt-Prefix",
      { "a:300,b:200",
        "",
        ",",
        "::",
        "a:" + huge + ",b:" + huge,
        ManyParts() } },
    { "X-Model", { "m", "" } },
    { "X-Request-Priority", { "0", "-1", "x", huge } },
    { "X-Expect-Version", { "1", "x" } },
    { "X-Expect-Instance", { "i-plain-0", "nobody" } },
    { "X-Serving-Phase", { "prefill", "decode", "x" } },
    { "X-Kv-Source", { "127.0.0.1:1/h", "x" } },
    { "X-Kv-Hold", { "h" } },
    { "Last-Event-Id", { "3", "", "x" } },
    { "Resumes", { "other", "" } },
    { "X-Length-Hint", { "5", "x", huge } },
    { "X-Deadline-Ms", { "0", "-1", "x", huge, huge + "0" } },
    { "Authorization", { "Token k", "x" } },
  };
  for (const auto& [name, values] : odd) {
    for (const std::string& value : values) {
      out.push_back({ { name, value } });
      out.push_back({ { name, value }, { name, values.front() } });
      Fields beside = prompt;
      beside.emplace_back(name, value);
      out.push_back(beside);
    }
  }
  return out;
}

class OddHeadersTest : public InstancesFixture
{
protected:
  OddHeadersTest()
    : InstancesFixture("odd-headers")
    , m_client(*m_loop)
  {
  }

  void StartAll()
  {
    Json routes = Json::array();
    Json services = Json::array();
    for (const ServiceKind& kind : kServices) {
      for (const char* calls : { "safe", "unsafe", "streaming" }) {
        routes.push_back({ { "host", "h" },
                           { "path_prefix", PathOf(kind, calls) },
                           { "kind", calls },
                           { "resumable", std::string(calls) == "streaming" },
                           { "timeout_ms", 1000 },
                           { "target_latency_ms", 300 },
                           { "max_attempts", 2 },
                           { "service", kind.m_name } });
      }
      services.push_back(
        { { "name", kind.m_name }, { "max_connections", 50 } });
      StartUpstreams(kind);
    }
    m_store.Put(
      "op",
      "config",
      Json{ { "version", 1 }, { "routes", routes }, { "services", services } }
        .dump());
    ASSERT_TRUE(
      m_instances.StartAll(1, *net::Address::Parse(m_store.Address())));
    ASSERT_TRUE(RunUntil([this] { return m_instances.AllReady(); }));
  }

  static std::string PathOf(const ServiceKind& aKind, const std::string& aCalls)
  {
    return std::string("/") + aKind.m_name + "-" + aCalls + "/";
  }

  void StartUpstreams(const ServiceKind& aKind)
  {
    for (std::size_t i = 0; i < aKind.m_phases.size(); ++i) {
      const std::string id =
        std::string("i-") + aKind.m_name + "-" + std::to_string(i);
      m_workers.push_back(std::make_unique<adapter::StandInWorker>(
        *m_loop, id, [](const ExchangePtr& aCall) { Answer(aCall); }));
      Json row = Json::parse(
        m_workers.back()->Row(aKind.m_name, "ready", aKind.m_phases[i]));
      if (aKind.m_ownVersions) {
        row["version"] = "v" + std::to_string(i);
      }
      m_store.Put("servers", id, row.dump());
    }
  }

  static void Answer(const ExchangePtr& aCall)
  {
    if (aCall->Headers().Find("X-Serving-Phase").value_or("") != "prefill") {
      adapter::StandInWorker::Serve(aCall);
      return;
    }
    net::HttpHeaders headers;
    headers.Add(
      "X-Request-Id",
      std::string(aCall->Headers().Find("X-Request-Id").value_or("")));
    aCall->Reply(200, headers, R"({"kv_handle":"h","tokens":1,"version":1})");
  }

  /** Sends one request. `m_answered` counts it once it has its answer. */
  void Send(const std::string& aPath, const Fields& aFields)
  {
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_address = m_instances.All()[0]->m_callers;
    request.m_target = aPath;
    request.m_body = "body";
    request.m_timeout = Duration{ 4000 };
    request.m_headers.Add("Host", "h");
    request.m_headers.Add("X-Request-Id", "id-" + std::to_string(++m_sent));
    for (const auto& [name, value] : aFields) {
      request.m_headers.Add(name, value);
    }
    net::HttpCallbacks callbacks;
    callbacks.m_done = [this](const net::HttpResponse& aResponse) {
      ++m_ended;
      m_answered += net::HasAnswer(aResponse) ? 1 : 0;
    };
    m_client.Send(request, std::move(callbacks));
  }

  net::HttpClient m_client;
  std::vector<std::unique_ptr<adapter::StandInWorker>> m_workers;
  int m_sent = 0;
  int m_ended = 0;
  int m_answered = 0;
};

TEST_F(OddHeadersTest, EachRequestIsAnsweredAndTheInstanceLives)
{
  StartAll();
  const int incarnation = m_instances.All()[0]->m_incarnation;
  for (const ServiceKind& kind : kServices) {
    for (const char* calls : { "safe", "unsafe", "streaming" }) {
      for (const Fields& head : Heads()) {
        Send(PathOf(kind, calls) + "x", head);
      }
      ASSERT_TRUE(RunUntil([this] { return m_ended == m_sent; }))
        << kind.m_name << " " << calls;
      EXPECT_EQ(m_answered, m_sent) << kind.m_name << " " << calls;
      EXPECT_EQ(m_instances.All()[0]->m_incarnation, incarnation)
        << kind.m_name << " " << calls;
      m_answered = m_sent;
    }
  }
  EXPECT_TRUE(m_instances.StopAll(Duration{ 9000 }));
}

} // namespace
} // namespace ridgeferry::soak
