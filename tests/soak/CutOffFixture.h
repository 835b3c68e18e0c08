#pragma once

#include "InstancesFixture.h"

#include <map>
#include <nlohmann/json.hpp>
#include <ridgeferry/net/HttpClient.h>
#include <set>

namespace ridgeferry::soak {

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<net::HttpExchange>;

inline constexpr const char* kService = "s";
inline constexpr std::size_t kOthers = 2;
inline constexpr std::size_t kWorkers = 4;
inline constexpr Duration kCallEvery{ 40 };
inline constexpr Duration kRunsFor{ 80 };
/** Streams that are open when the cut begins, some at each worker. */
inline constexpr int kStreams = 16;
inline constexpr Duration kEventEvery{ 50 };
/** Answers that take longer come too late for most callers. */
inline constexpr Duration kInTime{ 200 };

/** Three real instances before upstreams of one service, of which the last can
 * be cut off from all upstreams. Not thread-safe. */
class CutOffFixture : public InstancesFixture
{
protected:
  CutOffFixture()
    : InstancesFixture("cut-off")
    , m_client(*m_loop)
    , m_ownStore(*m_loop)
  {
  }

  /** The first instance reads a store of its own, whose rows name a link in
   * place of each worker. */
  void StartAll()
  {
    const std::string config =
      R"({"version":1,"routes":[{"host":"h","path_prefix":"/safe/",)"
      R"("kind":"safe","timeout_ms":1000,"max_attempts":2,"service":"s"},)"
      R"({"host":"h","path_prefix":"/unsafe/",)"
      R"("kind":"unsafe","timeout_ms":1000,"max_attempts":2,"service":"s"},)"
      R"({"host":"h","path_prefix":"/stream/","kind":"streaming",)"
      R"("timeout_ms":20000,"max_attempts":1,"service":"s"}],)"
      R"("services":[{"name":"s","max_connections":100}]})";
    m_store.Put("op", "config", config);
    m_ownStore.Put("op", "config", config);
    for (std::size_t i = 0; i + 1 < kWorkers; ++i) {
      AddWorker("i-" + std::to_string(i));
    }
    AddWorker("i-last", m_lastService);
    ASSERT_TRUE(m_instances.StartAll(kOthers, StoreAddress(m_store)));
    ASSERT_TRUE(RunUntil([this] { return m_instances.AllReady(); }));
    for (const auto& instance : m_instances.All()) {
      m_ownStore.Put(
        "ridgeferry-instances", instance->m_name, instance->m_peers);
    }
    ASSERT_TRUE(m_instances.StartAll(1, StoreAddress(m_ownStore), "cut-hall"));
    ASSERT_TRUE(RunUntil([this] { return m_instances.AllReady(); }));
    RunFor(Duration{ 500 }); // Until the instances have heard of each other.
    // Rows that an instance took from a peer when it started give way to those
    // of its own store.
    for (std::size_t i = 0; i < kWorkers; ++i) {
      PutRows(i);
    }
    // Instances may pass the last row that changed on to each other, so that
    // one belongs to a service without calls.
    m_ownStore.Put("servers", "i-none", m_workers.front()->Row("none"));
    m_store.Put("servers", "i-none", m_workers.front()->Row("none"));
    RunFor(Duration{ 500 });
    ASSERT_GE(CountInLog(m_instances.All().back()->m_name,
                         m_links.back()->Bound().ToString()),
              1U);
  }

  static net::Address StoreAddress(const adapter::StandInStore& aStore)
  {
    return *net::Address::Parse(aStore.Address());
  }

  void AddWorker(const std::string& aId, const std::string& aService = kService)
  {
    const auto& worker =
      m_workers.emplace_back(std::make_unique<adapter::StandInWorker>(
        *m_loop, aId, [this, aService](const ExchangePtr& aCall) {
          m_ranAt[aService].insert(
            std::string(*aCall->Headers().Find("X-Request-Id")));
          Answer(aCall);
        }));
    m_services.push_back(aService);
    const auto address = net::Address::Parse(
      Json::parse(worker->Row(aService))["address"].get<std::string>());
    m_links.push_back(FaultyLink::Make(*m_loop, *address));
    PutRows(m_workers.size() - 1);
  }

  void PutRows(std::size_t aWorker)
  {
    const adapter::StandInWorker& worker = *m_workers[aWorker];
    const std::string row = worker.Row(m_services[aWorker]);
    Json linked = Json::parse(row);
    linked["address"] = m_links[aWorker]->Bound().ToString();
    m_ownStore.Put("servers", worker.Id(), linked.dump());
    m_store.Put("servers", worker.Id(), row);
  }

  void Answer(const ExchangePtr& aCall)
  {
    ++m_runs[std::string(*aCall->Headers().Find("X-Request-Id"))];
    if (aCall->Path() == "/stream/x") {
      Stream(aCall);
      return;
    }
    if (aCall->Path() == "/stream/unframed") {
      AnswerUnframed(aCall);
      return;
    }
    m_answers.push_back(m_loop->After(
      kRunsFor, [aCall] { adapter::StandInWorker::Serve(aCall); }));
  }

  /** Sends events as long as the test lasts. */
  void Stream(const ExchangePtr& aCall)
  {
    net::HttpHeaders headers;
    headers.Add("X-Request-Id",
                std::string(*aCall->Headers().Find("X-Request-Id")));
    headers.Add("Content-Type", "text/event-stream");
    aCall->StartStream(200, headers);
    m_answers.push_back(m_loop->Every(
      kEventEvery, [aCall] { aCall->SendChunk("id: 1\ndata: x\n\n"); }));
  }

  /** Sends the call's body without a frame and then, in good order, the end of
   * the connection. */
  void AnswerUnframed(const ExchangePtr& aCall)
  {
    net::HttpHeaders headers;
    headers.Add("X-Request-Id",
                std::string(*aCall->Headers().Find("X-Request-Id")));
    aCall->StartStream(200, headers, net::BodyFraming::Close);
    aCall->SendChunk(aCall->Body());
    m_answers.push_back(
      m_loop->After(kRunsFor, [aCall] { aCall->EndStream(); }));
  }

  void StartStreams()
  {
    for (int i = 0; i < kStreams; ++i) {
      net::HttpRequest request =
        MakeRequest("/stream/x", "stream-" + std::to_string(i));
      request.m_timeout = Duration{ 20'000 };
      m_client.Send(request,
                    { {}, [](std::string_view) {}, [](const auto&) {} });
    }
    RunFor(Duration{ 200 });
  }

  void SetLinks(LinkMode aMode, bool aResetsOpen)
  {
    for (const auto& link : m_links) {
      link->SetMode(aMode);
      if (aResetsOpen) {
        link->ResetOpen();
      }
    }
  }

  net::HttpRequest MakeRequest(const std::string& aTarget,
                               const std::string& aId)
  {
    net::HttpRequest out;
    out.m_method = "POST";
    out.m_address = m_instances.All().back()->m_callers;
    out.m_target = aTarget;
    out.m_body = "body of " + aId;
    out.m_timeout = Duration{ 1500 };
    out.m_headers.Add("Host", "h");
    out.m_headers.Add("X-Request-Id", aId);
    out.m_headers.Add("X-Deadline-Ms",
                      aTarget == "/stream/x" ? "20000" : "1000");
    return out;
  }

  /** Sends one first try to the instance that is cut off. */
  void Call()
  {
    const bool isSafe = ++m_lastCall % 2 == 0;
    const std::string id = std::to_string(m_lastCall);
    if (!isSafe) {
      m_unsafe.insert(id);
    }
    const net::HttpRequest request =
      MakeRequest(isSafe ? "/safe/x" : "/unsafe/x", id);
    net::HttpCallbacks callbacks;
    callbacks.m_done =
      [this, id, sentAt = m_loop->Now()](const net::HttpResponse& aResponse) {
        ++m_answered;
        const bool isOk = aResponse.m_head.m_status == 200;
        m_served += isOk ? 1 : 0;
        m_inTime += isOk && m_loop->Now() - sentAt <= kInTime ? 1 : 0;
        if (aResponse.m_head.m_status == 503) {
          m_refused.insert(id);
        }
      };
    m_client.Send(request, std::move(callbacks));
  }

  void CallFor(Duration aTime, Duration aEvery = kCallEvery)
  {
    const net::Watch calls = m_loop->Every(aEvery, [this] { Call(); });
    RunFor(aTime);
  }

  void ExpectServed(const char* aWhen)
  {
    EXPECT_GT(m_answered, 50) << aWhen;
    EXPECT_GE(m_served * 20, m_answered * 19)
      << aWhen << ": " << m_served << " of " << m_answered;
    EXPECT_GE(m_inTime * 10, m_answered * 9)
      << aWhen << ": " << m_inTime << " of " << m_answered << " in time";
    Forget();
  }

  void Forget()
  {
    m_served = 0;
    m_inTime = 0;
    m_answered = 0;
  }

  /** No call ran twice that may not, and none that was refused ran. */
  void ExpectRuns()
  {
    for (const auto& [id, runs] : m_runs) {
      EXPECT_LE(runs, m_unsafe.contains(id) ? 1 : 2) << id;
      EXPECT_FALSE(m_refused.contains(id)) << id;
    }
  }

  net::HttpClient m_client;
  adapter::StandInStore m_ownStore;
  std::vector<std::unique_ptr<adapter::StandInWorker>> m_workers;
  std::string m_lastService = kService; ///< That of the last worker.
  std::vector<std::string> m_services;  ///< Those of the workers.
  std::vector<std::unique_ptr<FaultyLink>> m_links;
  std::vector<net::Watch> m_answers;
  /** Ids of the calls that workers of a service ran. */
  std::map<std::string, std::set<std::string>> m_ranAt;
  std::map<std::string, int> m_runs;
  std::set<std::string> m_unsafe;
  std::set<std::string> m_refused;
  int m_lastCall = 0;
  int m_answered = 0;
  int m_served = 0;
  int m_inTime = 0;
};

} // namespace ridgeferry::soak
