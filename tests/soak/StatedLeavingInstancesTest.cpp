// Guards against an upstream that says in its answers that it leaves, while its
// row stays "ready", getting calls from instances that were told: three real
// instances.

#include "InstancesFixture.h"

#include <map>
#include <ostream>
#include <random>
#include <ridgeferry/net/HttpClient.h>

namespace ridgeferry::soak {
namespace {

using ExchangePtr = std::shared_ptr<net::HttpExchange>;

constexpr std::size_t kInstances = 3;
constexpr std::size_t kWorkers = 6;
/** The worker that leaves. */
constexpr std::size_t kLeaver = 0;
constexpr Duration kCallEvery{ 12 };
constexpr Duration kWarmUp{ 500 };
/** From the first answer that told an instance until it sends no call that
 * came later; the operators allow two seconds. */
constexpr Duration kHolds{ 300 };
/** How much longer the others take for a call. */
constexpr Duration kSlower{ 30 };

/** What happens besides while the worker leaves. */
struct LeavingCase
{
  const char* m_name;
  bool m_storeDown = false;
  bool m_kill = false;      ///< An instance is killed and comes back.
  bool m_lapses = false;    ///< The row goes and comes back.
  bool m_bornAgain = false; ///< It ends and comes back under its id.
};

std::ostream&
operator<<(std::ostream& aOut, const LeavingCase& aCase)
{
  return aOut << aCase.m_name;
}

class StatedLeavingInstancesTest
  : public InstancesFixture
  , public ::testing::WithParamInterface<LeavingCase>
{
protected:
  StatedLeavingInstancesTest()
    : InstancesFixture("leaving")
    , m_client(*m_loop)
    , m_workers(kWorkers)
  {
  }

  void StartAll()
  {
    m_store.Put("op",
                "config",
                R"({"version":1,"routes":[{"host":"h","path_prefix":"/a/",)"
                R"("kind":"safe","timeout_ms":1000,"max_attempts":2,)"
                R"("service":"s"}],"services":)"
                R"([{"name":"s","max_connections":100}]})");
    for (std::size_t i = 0; i < kWorkers; ++i) {
      StartWorker(i, adapter::StandInWorker::kBorn);
    }
    ASSERT_TRUE(m_instances.StartAll(kInstances,
                                     *net::Address::Parse(m_store.Address())));
    ASSERT_TRUE(RunUntil([this] { return m_instances.AllReady(); }));
  }

  void StartWorker(std::size_t aAt, std::int64_t aBorn)
  {
    const std::string id = "i-" + std::to_string(aAt);
    m_workers[aAt] = std::make_unique<adapter::StandInWorker>(
      *m_loop, id, [this, aAt](const ExchangePtr& aCall) {
        Answer(aAt, aCall);
      });
    m_store.Put("servers", id, m_workers[aAt]->Row("s", "ready", "", aBorn));
  }

  void Answer(std::size_t aWorker, const ExchangePtr& aCall)
  {
    const std::string id(*aCall->Headers().Find("X-Request-Id"));
    if (aWorker == kLeaver) {
      ++m_arrived;
      NoteArrival(id);
    }
    const Duration takes = aWorker == kLeaver ? Duration{} : kSlower;
    m_pending.push_back(m_loop->After(takes, [this, aWorker, aCall, id] {
      net::HttpHeaders headers;
      headers.Add("X-Request-Id", id);
      headers.Add("X-Server-Stamp", "stamp");
      if (m_leaves && aWorker == kLeaver) {
        headers.Add("Server-Leaving", "1");
        m_told.emplace(m_sentTo[id], m_loop->Now());
      }
      aCall->Reply(200, headers, "answer");
    }));
  }

  /** Counts a call that its instance took too long after it was told. */
  void NoteArrival(const std::string& aCall)
  {
    if (!m_leaves) {
      return;
    }
    const auto told = m_told.find(m_sentTo[aCall]);
    if (told != m_told.end() && m_sentAt[aCall] > told->second + kHolds) {
      ++m_late;
    }
    if (m_sentAt[aCall] > m_leavesSince + kHolds * 2) {
      ++m_lateAnywhere;
    }
  }

  void Send()
  {
    const auto instances = m_instances.InBalance();
    if (instances.empty()) {
      return;
    }
    const auto* instance = instances[m_random() % instances.size()];
    const std::string id = std::to_string(++m_lastCall);
    // A process that was killed has forgotten what it was told.
    m_sentTo[id] =
      instance->m_name + "/" + std::to_string(instance->m_incarnation);
    m_sentAt[id] = m_loop->Now();
    net::HttpRequest request;
    request.m_method = "POST";
    request.m_address = instance->m_callers;
    request.m_target = "/a/x";
    request.m_timeout = Duration{ 1500 };
    request.m_headers.Add("Host", "h");
    request.m_headers.Add("X-Request-Id", id);
    request.m_headers.Add("X-Deadline-Ms", "1000");
    net::HttpCallbacks callbacks;
    callbacks.m_done = [this](const net::HttpResponse& aResponse) {
      // A call whose instance was killed is nobody's fault here.
      if (aResponse.m_end == net::HttpEnd::Complete) {
        ++m_answered;
        m_served += aResponse.m_head.m_status == 200 ? 1 : 0;
      }
    };
    m_client.Send(request, std::move(callbacks));
  }

  void CallFor(Duration aTime)
  {
    const net::Watch calls = m_loop->Every(kCallEvery, [this] { Send(); });
    RunFor(aTime);
  }

  void Disturb()
  {
    if (GetParam().m_storeDown) {
      m_store.SetDown(true);
    }
    if (GetParam().m_kill) {
      m_instances.Kill(*m_instances.All().front(), Duration{ 200 });
    }
    if (GetParam().m_lapses) {
      const std::string id = m_workers[kLeaver]->Id();
      m_store.Remove("servers", id);
      CallFor(Duration{ 300 });
      m_store.Put("servers", id, m_workers[kLeaver]->Row("s"));
    }
  }

  net::HttpClient m_client;
  std::mt19937_64 m_random{ 1 };
  std::vector<std::unique_ptr<adapter::StandInWorker>> m_workers;
  std::vector<net::Watch> m_pending;
  std::map<std::string, std::string> m_sentTo; ///< Process by call.
  std::map<std::string, Instant> m_sentAt;     ///< By call.
  /** When a process was first told by an answer. */
  std::map<std::string, Instant> m_told;
  bool m_leaves = false;
  Instant m_leavesSince;
  int m_lastCall = 0;
  int m_arrived = 0;
  int m_late = 0;
  /** Calls sent when all instances should have heard of it from each other. */
  int m_lateAnywhere = 0;
  int m_answered = 0;
  int m_served = 0;
};

TEST_P(StatedLeavingInstancesTest, NoInstanceThatWasToldSendsItCalls)
{
  StartAll();
  CallFor(kWarmUp);
  ASSERT_GT(m_arrived, 0);
  m_leaves = true;
  m_leavesSince = m_loop->Now();
  CallFor(kHolds);
  Disturb();
  CallFor(Duration{ 3000 });
  EXPECT_EQ(m_late, 0);
  EXPECT_EQ(m_lateAnywhere, 0);
  EXPECT_GE(m_served, m_answered * 98 / 100);
  if (!GetParam().m_bornAgain) {
    return;
  }
  // The next incarnation has said nothing and gets its share.
  m_leaves = false;
  m_workers[kLeaver].reset();
  StartWorker(kLeaver, adapter::StandInWorker::kBorn + 5000);
  CallFor(Duration{ 500 });
  m_arrived = 0;
  CallFor(Duration{ 1000 });
  EXPECT_GE(m_arrived, 1000 / 12 / 12);
}

INSTANTIATE_TEST_SUITE_P(
  Besides,
  StatedLeavingInstancesTest,
  ::testing::Values(LeavingCase{ "Nothing" },
                    LeavingCase{ "StoreDown", true },
                    LeavingCase{ "InstanceKilled", false, true },
                    LeavingCase{ "RowLapses", false, false, true },
                    LeavingCase{ "BornAgain", false, false, false, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::soak
