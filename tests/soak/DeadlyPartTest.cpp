// Guards against a part of prompts that ends each engine which begins an answer
// on it taking a service down: three real instances, twelve engines, sound
// streams with the same first part and others beside it.

#include "InstancesFixture.h"

#include <random>
#include <ridgeferry/net/HttpClient.h>

namespace ridgeferry::soak {
namespace {

using ExchangePtr = std::shared_ptr<net::HttpExchange>;

constexpr std::size_t kInstances = 3;
constexpr std::size_t kEngines = 12;
constexpr Duration kDeadlyEvery{ 120 };
constexpr Duration kSoundEvery{ 30 };
/** From the beginning of an answer to its engine's end, or to its own. */
constexpr Duration kRunsFor{ 100 };
constexpr Duration kEngineBackAfter{ 4000 };
/** The operators' rule: no more than `kMostLateRuns` runs so long after the
 * fifth end, and from twice as long on sound streams with the same first part
 * are served at least half as often as before. */
constexpr Duration kContact{ 3000 };
constexpr int kMostLateRuns = 3;
constexpr int kCountedEnds = 5;
/** Two thirds of the engines. */
constexpr int kMostEnds = 8;

class DeadlyPartSoakTest : public InstancesFixture
{
protected:
  DeadlyPartSoakTest()
    : InstancesFixture("deadly-part")
    , m_client(*m_loop)
    , m_engines(kEngines)
  {
  }

  void StartAll()
  {
    m_store.Put("op",
                "config",
                R"({"version":1,"routes":[{"host":"h","path_prefix":"/a/",)"
                R"("kind":"streaming","resumable":true,"timeout_ms":2000,)"
                R"("target_latency_ms":500,"max_attempts":2,"service":"s"}],)"
                R"("services":[{"name":"s","max_connections":100}]})");
    for (std::size_t i = 0; i < kEngines; ++i) {
      StartEngine(i);
    }
    ASSERT_TRUE(m_instances.StartAll(kInstances,
                                     *net::Address::Parse(m_store.Address())));
    ASSERT_TRUE(RunUntil([this] { return m_instances.AllReady(); }));
  }

  void StartEngine(std::size_t aAt)
  {
    const std::string id = "i-" + std::to_string(++m_lastEngine);
    m_engines[aAt] = std::make_unique<adapter::StandInWorker>(
      *m_loop, id, [this, aAt](const ExchangePtr& aCall) {
        Answer(aAt, aCall);
      });
    m_store.Put("servers", id, m_engines[aAt]->Row("s", "ready", "decode"));
  }

  void Answer(std::size_t aAt, const ExchangePtr& aCall)
  {
    const auto chain = aCall->Headers().Find("X-Prompt-Prefix").value_or("");
    const bool isDeadly = chain.find("deadd00d") != std::string_view::npos;
    if (isDeadly && m_fifthEnd && m_loop->Now() - *m_fifthEnd > kContact) {
      ++m_lateRuns;
    }
    net::HttpHeaders headers;
    headers.Add("X-Request-Id",
                std::string(*aCall->Headers().Find("X-Request-Id")));
    headers.Add("X-Server-Stamp", "stamp");
    headers.Add("Content-Type", "text/event-stream");
    aCall->StartStream(200, headers);
    aCall->SendChunk("id: 1\ndata: x\n\n");
    m_pending.push_back(m_loop->After(
      kRunsFor, [this, aAt, aCall, isDeadly, id = m_engines[aAt]->Id()] {
        if (isDeadly) {
          End(aAt, id);
        } else if (aCall->IsOpen()) {
          aCall->SendChunk("id: 2\ndata: y\n\n");
          aCall->EndStream();
        }
      }));
  }

  void End(std::size_t aAt, const std::string& aId)
  {
    if (m_engines[aAt] == nullptr || m_engines[aAt]->Id() != aId) {
      return; // Another run has ended it.
    }
    if (++m_ends == kCountedEnds) {
      m_fifthEnd = m_loop->Now();
    }
    m_engines[aAt].reset();
    m_store.Remove("servers", aId);
    m_pending.push_back(
      m_loop->After(kEngineBackAfter, [this, aAt] { StartEngine(aAt); }));
  }

  /** Sends one stream, with a last part and a body of its own, to an instance
   * that takes calls. */
  void Send(const std::string& aPrompt, int* aSent, int* aServed)
  {
    const auto instances = m_instances.InBalance();
    if (instances.empty()) {
      return;
    }
    const std::string number = std::to_string(++m_lastCall);
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_address = instances[m_random() % instances.size()]->m_callers;
    request.m_target = "/a/x";
    request.m_body = "call " + number;
    request.m_timeout = Duration{ 2500 };
    request.m_headers.Add("Host", "h");
    request.m_headers.Add("X-Request-Id", number);
    request.m_headers.Add("X-Deadline-Ms", "2000");
    request.m_headers.Add("X-Token-Count", "300,2");
    request.m_headers.Add("X-Prompt-Prefix", aPrompt + ",c0" + number + ":10");
    net::HttpCallbacks callbacks;
    callbacks.m_done = [aSent, aServed](const net::HttpResponse& aResponse) {
      *aSent += 1;
      *aServed += aResponse.m_end == net::HttpEnd::Complete &&
                      aResponse.m_head.m_status == 200
                    ? 1
                    : 0;
    };
    m_client.Send(request, std::move(callbacks));
  }

  net::HttpClient m_client;
  std::mt19937_64 m_random{ 1 };
  std::vector<std::unique_ptr<adapter::StandInWorker>> m_engines;
  std::vector<net::Watch> m_pending;
  std::optional<Instant> m_fifthEnd;
  int m_lastEngine = 0;
  int m_lastCall = 0;
  int m_ends = 0;
  int m_lateRuns = 0;
  int m_deadly = 0;
  int m_deadlyServed = 0;
  int m_sound = 0;
  int m_soundServed = 0;
  int m_others = 0;
  int m_othersServed = 0;
};

// One instance is killed while such requests go round.
TEST_F(DeadlyPartSoakTest, EndsFewEnginesAndSoundOnesAreServed)
{
  StartAll();
  const net::Watch sound = m_loop->Every(kSoundEvery, [this] {
    const std::string second = "5" + std::to_string(m_random() % 50);
    Send("aa:100," + second + ":90", &m_sound, &m_soundServed);
  });
  const net::Watch others = m_loop->Every(
    kSoundEvery, [this] { Send("bb:100,cc:90", &m_others, &m_othersServed); });
  RunFor(Duration{ 1500 });
  const net::Watch deadly = m_loop->Every(kDeadlyEvery, [this] {
    Send("aa:100,deadd00d:90", &m_deadly, &m_deadlyServed);
  });
  RunFor(Duration{ 2500 });
  m_instances.Kill(*m_instances.All()[0], Duration{ 300 });
  RunFor(Duration{ 5000 });
  m_sound = 0;
  m_soundServed = 0;
  m_others = 0;
  m_othersServed = 0;
  RunFor(Duration{ 4000 });
  EXPECT_LE(m_ends, kMostEnds);
  EXPECT_LE(m_lateRuns, kMostLateRuns);
  EXPECT_EQ(m_deadlyServed, 0);
  EXPECT_GT(m_sound, 100);
  EXPECT_GE(m_soundServed * 20, m_sound * 19)
    << m_soundServed << " of " << m_sound;
  EXPECT_GE(m_othersServed * 20, m_others * 19)
    << m_othersServed << " of " << m_others;
  EXPECT_TRUE(m_instances.StopAll(Duration{ 9000 }));
}

} // namespace
} // namespace ridgeferry::soak
