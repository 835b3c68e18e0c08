// Guards against a stream that runs at more upstreams than its route allows, as
// one of them was slow to take a connection: one real instance, and upstreams
// that break each stream off and take no new connections for a while.

#include "InstancesFixture.h"

#include <map>
#include <nlohmann/json.hpp>
#include <ridgeferry/net/HttpClient.h>
#include <set>

namespace ridgeferry::soak {
namespace {

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<net::HttpExchange>;

constexpr std::size_t kWorkers = 4;
constexpr std::size_t kMostUpstreams = 2; ///< As the route allows.
constexpr int kStreams = 6;
/** Each stream is broken off so often, behind one event each; the last time its
 * upstream takes no new connections for a while. */
constexpr int kBreaks = 2;
/** Plain calls pay for the streams' repeats. */
constexpr Duration kPlainEvery{ 5 };
constexpr Duration kPaidFor{ 1000 };
constexpr Duration kBreaksAfter{ 100 };
constexpr Duration kTakesNoneFor{ 600 };
constexpr Duration kBetweenStreams{ 1200 };

class ThirdUpstreamTest : public InstancesFixture
{
protected:
  ThirdUpstreamTest()
    : InstancesFixture("third-upstream")
    , m_client(*m_loop)
  {
  }

  void StartAll()
  {
    m_store.Put(
      "op",
      "config",
      R"({"version":1,"routes":[{"host":"h","path_prefix":"/stream/",)"
      R"("kind":"streaming","resumable":true,"timeout_ms":9000,)"
      R"("max_attempts":2,"service":"s"},)"
      R"({"host":"h","path_prefix":"/plain/","kind":"safe",)"
      R"("timeout_ms":1000,"max_attempts":1,"service":"s"}],)"
      R"("services":[{"name":"s","max_connections":100}]})");
    for (std::size_t i = 0; i < kWorkers; ++i) {
      AddWorker(i);
    }
    ASSERT_TRUE(
      m_instances.StartAll(1, *net::Address::Parse(m_store.Address())));
    ASSERT_TRUE(RunUntil([this] { return m_instances.AllReady(); }));
  }

  void AddWorker(std::size_t aAt)
  {
    const auto& worker =
      m_workers.emplace_back(std::make_unique<adapter::StandInWorker>(
        *m_loop,
        "i-" + std::to_string(aAt),
        [this, aAt](const ExchangePtr& aCall) { Answer(aAt, aCall); }));
    Json row = Json::parse(worker->Row("s"));
    const auto address = net::Address::Parse(row["address"].get<std::string>());
    m_links.push_back(FaultyLink::Make(*m_loop, *address));
    row["address"] = m_links.back()->Bound().ToString();
    m_store.Put("servers", worker->Id(), row.dump());
  }

  void Answer(std::size_t aAt, const ExchangePtr& aCall)
  {
    const std::string id(*aCall->Headers().Find("X-Request-Id"));
    if (aCall->Path() != "/stream/x") {
      ServePlain(aCall, id);
      return;
    }
    m_ranAt[id].insert(aAt);
    const auto after = aCall->Headers().Find("Last-Event-Id");
    const int event = after ? std::stoi(std::string(*after)) + 1 : 1;
    net::HttpHeaders headers;
    headers.Add("X-Request-Id", id);
    headers.Add("Content-Type", "text/event-stream");
    aCall->StartStream(200, headers);
    aCall->SendChunk("id: " + std::to_string(event) + "\ndata: x\n\n");
    if (event > kBreaks) {
      aCall->EndStream();
      return;
    }
    m_timers.push_back(m_loop->After(
      kBreaksAfter, [this, aAt, aCall, isLast = event == kBreaks] {
        m_links[aAt]->SetMode(isLast ? LinkMode::Stall : LinkMode::Pass);
        aCall->Abort();
      }));
    m_timers.push_back(m_loop->After(kBreaksAfter + kTakesNoneFor, [this, aAt] {
      m_links[aAt]->SetMode(LinkMode::Pass);
    }));
  }

  /** So that each call needs a connection of its own. */
  static void ServePlain(const ExchangePtr& aCall, const std::string& aId)
  {
    net::HttpHeaders headers;
    headers.Add("X-Request-Id", aId);
    headers.Add("X-Server-Stamp", "stamp");
    headers.Add("Connection", "close");
    aCall->Reply(200, headers, "body");
  }

  void Call(const std::string& aTarget, const std::string& aId)
  {
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_address = m_instances.All()[0]->m_callers;
    request.m_target = aTarget;
    request.m_timeout = Duration{ 9000 };
    request.m_headers.Add("Host", "h");
    request.m_headers.Add("X-Request-Id", aId);
    request.m_headers.Add("X-Deadline-Ms", "8000");
    m_client.Send(request, { {}, [](std::string_view) {}, [](const auto&) {} });
  }

  net::HttpClient m_client;
  std::vector<std::unique_ptr<adapter::StandInWorker>> m_workers;
  std::vector<std::unique_ptr<FaultyLink>> m_links;
  std::vector<net::Watch> m_timers;
  std::map<std::string, std::set<std::size_t>> m_ranAt;
};

TEST_F(ThirdUpstreamTest, ASlowConnectionIsNoEnd)
{
  StartAll();
  int plain = 0;
  const net::Watch plainCalls = m_loop->Every(
    kPlainEvery, [&] { Call("/plain/x", "plain-" + std::to_string(++plain)); });
  RunFor(kPaidFor);
  for (int i = 0; i < kStreams; ++i) {
    Call("/stream/x", "stream-" + std::to_string(i));
    RunFor(kBetweenStreams);
  }
  ASSERT_EQ(m_ranAt.size(), static_cast<std::size_t>(kStreams));
  int atAsManyAsAllowed = 0;
  for (const auto& [id, workers] : m_ranAt) {
    EXPECT_LE(workers.size(), kMostUpstreams) << id;
    atAsManyAsAllowed += workers.size() == kMostUpstreams ? 1 : 0;
  }
  EXPECT_GE(atAsManyAsAllowed, kStreams / 2) << "the streams met no trouble";
  EXPECT_TRUE(m_instances.StopAll(Duration{ 9000 }));
}

} // namespace
} // namespace ridgeferry::soak
