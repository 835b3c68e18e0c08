// A stand-in for a model engine: docs/UPSTREAMS.md gives its protocol.

#include "EngineStreams.h"
#include "FakeProgram.h"
#include "History.h"

#include <cstdlib>
#include <deque>
#include <nlohmann/json.hpp>
#include <ridgeferry/net/HttpClient.h>
#include <unistd.h>

namespace ridgeferry::fakes {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::uint64_t kDefaultMaxTokens = 64;

class FakeEngine
{
public:
  FakeEngine(net::EventLoop& aLoop, const Arguments& aArguments)
    : m_loop(aLoop)
    , m_history(aArguments.Text("history"))
    , m_client(aLoop)
    , m_id(aArguments.Text("id", "engine"))
    , m_address(aArguments.Text("listen"))
    , m_boot(m_id + "-" + std::to_string(getpid()))
    , m_role(aArguments.Text("role", "mixed"))
    , m_model(aArguments.Text("model", "model"))
    , m_version(aArguments.Text("version", "1"))
    , m_adapter(aArguments.Text("adapter"))
    , m_weights(aArguments.Text("weights"))
    , m_checksFencing(aArguments.Number("checks-fencing", 0) != 0)
    , m_changeTime(aArguments.Number("change-ms", 1000))
    , m_lag(aArguments.Number("lag-ms", 0))
    , m_slots(aArguments.Number("slots", 8))
    , m_streams(
        { static_cast<std::size_t>(m_slots),
          aArguments.Number("prefill-per-step", 512),
          static_cast<std::size_t>(aArguments.Number("cached-prefixes", 16)) })
  {
    m_step = aLoop.Every(Duration(aArguments.Number("token-ms", 20)),
                         [this] { OnStep(); });
    m_history.Write({ { "what", "boot" },
                      { "engine", m_id },
                      { "boot", m_boot },
                      { "checksFencing", m_checksFencing } });
  }

  void OnExchange(const std::shared_ptr<net::HttpExchange>& aExchange)
  {
    const std::string& path = aExchange->Path();
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
      Generate(aExchange);
    } else if (path.starts_with("/v1/streams/")) {
      OnStream(aExchange, path.substr(std::string("/v1/streams/").size()));
    } else if (path == "/v1/kv/export") {
      ExportKv(aExchange);
    } else if (path == "/control/status") {
      ReplyJson(*aExchange, kOk, LaggedStatus());
    } else if (path == "/control/orders") {
      OnOrder(aExchange);
    } else if (path == "/cache/events") {
      ListCacheEvents(*aExchange);
    } else if (path == "/fake") {
      OnSwitch(aExchange);
    } else {
      ReplyJson(*aExchange, kNotFound, {});
    }
  }

private:
  nlohmann::json Status() const
  {
    return { { "id", m_id },
             { "boot", m_boot },
             { "role", m_role },
             { "model", m_model },
             { "version", m_version },
             { "adapter", m_adapter },
             { "slots", m_slots },
             { "running", m_streams.Unfinished() },
             { "draining", m_draining },
             { "changing", m_changing },
             { "lastOrder", m_lastOrder },
             { "leaving", m_leaving } };
  }

  nlohmann::json LaggedStatus()
  {
    const Instant wanted = m_loop.Now() - Duration(m_lag);
    while (m_reports.size() > 1 && m_reports[1].first <= wanted) {
      m_reports.pop_front();
    }
    return m_lag == 0 || m_reports.empty() ? Status()
                                           : m_reports.front().second;
  }

  void ListCacheEvents(net::HttpExchange& aExchange)
  {
    const std::string since = aExchange.QueryValue("since");
    nlohmann::json events = nlohmann::json::array();
    for (const CacheEvent& event :
         m_streams.PublishedEvents(std::strtoull(since.c_str(), nullptr, 10),
                                   m_loop.Now() - Duration(m_lag))) {
      events.push_back({ { "number", event.m_number },
                         { "prefix", event.m_prefix },
                         { "added", event.m_added } });
    }
    ReplyJson(aExchange, kOk, { { "events", events } });
  }

  void OnStep()
  {
    m_streams.SetNow(m_loop.Now());
    if (!m_changing) {
      m_streams.Step();
    }
    if (m_lag > 0) {
      m_reports.emplace_back(m_loop.Now(), Status());
    }
  }

  static std::string PromptOf(const nlohmann::json& aBody)
  {
    if (aBody.contains("messages")) {
      return aBody["messages"].dump();
    }
    return aBody.value("prompt", "");
  }

  void Generate(const std::shared_ptr<net::HttpExchange>& aExchange)
  {
    if (m_draining || m_changing || m_leaving || m_refuse) {
      ReplyNotRun(*aExchange);
      return;
    }
    const nlohmann::json body = BodyOf(*aExchange);
    EngineStream stream;
    stream.m_id = m_boot + "-" + std::to_string(++m_lastStream);
    stream.m_requestId = aExchange->Headers().Find("X-Request-Id").value_or("");
    stream.m_source = {
      m_model, m_version, PromptOf(body), body.value("seed", std::uint64_t{ 0 })
    };
    stream.m_start = body.value("continue_tokens", std::uint64_t{ 0 });
    stream.m_next = stream.m_start;
    stream.m_total =
      TokenCount(stream.m_source, body.value("max_tokens", kDefaultMaxTokens));
    stream.m_priority = std::atoi(
      std::string(aExchange->Headers().Find("X-Priority").value_or("0"))
        .c_str());
    m_history.Write({ { "what", "generation" },
                      { "engine", m_id },
                      { "request", stream.m_requestId },
                      { "from", stream.m_start },
                      { "role", m_role } });
    const auto promptTokens =
      static_cast<std::int64_t>(stream.m_source.m_prompt.size()) /
      kBytesPerToken;
    if (body.value("prefill_only", false)) {
      ReplyPrefilled(*aExchange, stream.m_source.m_prompt);
      return;
    }
    const std::string handle = body.value("kv_handle", "");
    if (!handle.empty()) {
      ImportKv(aExchange, std::move(stream), promptTokens, handle);
      return;
    }
    Begin(aExchange, std::move(stream), promptTokens);
  }

  void Begin(const std::shared_ptr<net::HttpExchange>& aExchange,
             EngineStream aStream,
             std::int64_t aPromptTokens)
  {
    EngineStream& added = m_streams.Add(std::move(aStream), aPromptTokens);
    m_streams.Attach(added, aExchange, added.m_start);
  }

  void ReplyPrefilled(net::HttpExchange& aExchange, const std::string& aPrompt)
  {
    // The prompt's time is left out here: its decode half shows the handover.
    const std::string handle = m_address + "/" + std::to_string(++m_lastHandle);
    m_exported[handle] = aPrompt;
    net::HttpHeaders headers;
    headers.Add("Content-Type", "application/json");
    headers.Add("X-KV-Handle", handle);
    aExchange.Reply(
      kOk, headers, nlohmann::json{ { "kv_handle", handle } }.dump());
  }

  void ExportKv(const std::shared_ptr<net::HttpExchange>& aExchange)
  {
    const auto it = m_exported.find(aExchange->QueryValue("handle"));
    if (it == m_exported.end()) {
      ReplyJson(*aExchange, kNotFound, {});
      return;
    }
    m_exported.erase(it);
    ReplyJson(*aExchange, kOk, { { "tokens", 1 } });
  }

  /** Fetches the KV cache from the engine that made it; without it the prompt
   * is read here. */
  void ImportKv(const std::shared_ptr<net::HttpExchange>& aExchange,
                EngineStream aStream,
                std::int64_t aPromptTokens,
                const std::string& aHandle)
  {
    net::HttpRequest request;
    request.m_address = aHandle.substr(0, aHandle.find('/'));
    request.m_target = "/v1/kv/export?handle=" + aHandle;
    net::HttpCallbacks callbacks;
    callbacks.m_done = [this, aExchange, aStream, aPromptTokens](
                         const net::HttpResponse& aResponse) {
      const bool imported = aResponse.m_end == net::HttpEnd::Complete &&
                            aResponse.m_head.m_status == kOk;
      m_history.Write({ { "what", "kv-import" },
                        { "engine", m_id },
                        { "request", aStream.m_requestId },
                        { "imported", imported } });
      Begin(aExchange, aStream, imported ? 0 : aPromptTokens);
    };
    m_client.Send(request, std::move(callbacks));
  }

  void OnStream(const std::shared_ptr<net::HttpExchange>& aExchange,
                const std::string& aId)
  {
    EngineStream* stream = m_streams.Find(aId);
    if (aExchange->Method() == "DELETE") {
      m_streams.Cancel(aId);
      ReplyJson(*aExchange, kOk, {});
      return;
    }
    if (stream == nullptr) {
      net::HttpHeaders headers;
      headers.Add("X-Outcome", "not-run");
      aExchange->Reply(kNotFound, headers, "");
      return;
    }
    const std::string from = aExchange->QueryValue("from");
    m_streams.Attach(
      *stream, aExchange, std::strtoull(from.c_str(), nullptr, 10));
  }

  void OnOrder(const std::shared_ptr<net::HttpExchange>& aExchange)
  {
    const nlohmann::json order = BodyOf(*aExchange);
    const auto fencing = order.value("fencing", std::uint64_t{ 0 });
    const bool old = m_checksFencing && (fencing < m_highestFencing ||
                                         order.value("boot", m_boot) != m_boot);
    nlohmann::json line{ { "what", "order" },
                         { "engine", m_id },
                         { "boot", m_boot },
                         { "order", order.value("order", "") },
                         { "fencing", fencing },
                         { "kind", order.value("kind", "") },
                         { "role", order.value("role", "") },
                         { "taken", !old && !m_changing },
                         { "running", m_streams.Unfinished() } };
    m_history.Write(line);
    if (old || m_changing) {
      ReplyJson(*aExchange, kConflict, { { "refused", true } });
      return;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    m_lastOrder = order.value("order", "");
    CarryOut(order);
    if (m_loseOrderAnswers > 0) {
      --m_loseOrderAnswers;
      aExchange->Abort();
      return;
    }
    ReplyJson(*aExchange, kOk, { { "taken", true } });
  }

  void CarryOut(const nlohmann::json& aOrder)
  {
    const std::string kind = aOrder.value("kind", "");
    if (kind == "drain") {
      m_draining = true;
      return;
    }
    if (kind == "resume") {
      m_draining = false;
      return;
    }
    const std::size_t cut = m_streams.CutAll();
    if (cut > 0) {
      m_history.Write(
        { { "what", "cut" }, { "engine", m_id }, { "streams", cut } });
    }
    m_changing = true;
    if (kind == "load" && !m_weights.empty()) {
      FetchWeights(aOrder);
      return;
    }
    Change(aOrder);
  }

  /** Asks the weight store until its rate allows this load. */
  void FetchWeights(const nlohmann::json& aOrder)
  {
    net::HttpRequest request;
    request.m_address = m_weights;
    request.m_target = "/weights?model=" + aOrder.value("model", "") +
                       "&version=" + aOrder.value("version", "");
    net::HttpCallbacks callbacks;
    callbacks.m_done = [this, aOrder](const net::HttpResponse& aResponse) {
      if (aResponse.m_end == net::HttpEnd::Complete &&
          aResponse.m_head.m_status == kOk) {
        Change(aOrder);
        return;
      }
      constexpr Duration kAskAgain{ 200 };
      m_changeEnd =
        m_loop.After(kAskAgain, [this, aOrder] { FetchWeights(aOrder); });
    };
    m_client.Send(request, std::move(callbacks));
  }

  void Change(const nlohmann::json& aOrder)
  {
    m_changeEnd = m_loop.After(Duration(m_changeTime), [this, aOrder] {
      m_changing = false;
      if (aOrder.value("kind", "") == "role") {
        m_role = aOrder.value("role", m_role);
      } else {
        m_model = aOrder.value("model", m_model);
        m_version = aOrder.value("version", m_version);
        m_adapter = aOrder.value("adapter", m_adapter);
      }
      m_history.Write({ { "what", "changed" },
                        { "engine", m_id },
                        { "role", m_role },
                        { "model", m_model },
                        { "version", m_version } });
    });
  }

  void OnSwitch(const std::shared_ptr<net::HttpExchange>& aExchange)
  {
    const nlohmann::json body = BodyOf(*aExchange);
    m_leaving = body.value("leaving", m_leaving);
    m_refuse = body.value("refuse", m_refuse);
    m_lag = body.value("lagMs", m_lag);
    m_loseOrderAnswers = body.value("loseOrderAnswers", m_loseOrderAnswers);
    if (body.value("breakStreams", false)) {
      m_streams.CutAll();
    }
    ReplyJson(*aExchange, kOk, Status());
  }

  net::EventLoop& m_loop;
  History m_history;
  net::HttpClient m_client;
  std::string m_id;
  std::string m_address;
  std::string m_boot;
  std::string m_role;
  std::string m_model;
  std::string m_version;
  std::string m_adapter;
  std::string m_weights; ///< Address of the weight store; empty: none.
  bool m_checksFencing;
  std::int64_t m_changeTime;
  std::int64_t m_lag;
  std::int64_t m_slots;
  EngineStreams m_streams;
  bool m_draining = false;
  bool m_changing = false;
  bool m_leaving = false;
  bool m_refuse = false;
  int m_loseOrderAnswers = 0;
  std::string m_lastOrder;
  std::uint64_t m_highestFencing = 0;
  std::uint64_t m_lastStream = 0;
  std::uint64_t m_lastHandle = 0;
  std::map<std::string, std::string> m_exported;
  std::deque<std::pair<Instant, nlohmann::json>> m_reports;
  net::Watch m_step;
  net::Watch m_changeEnd;
};

} // namespace

} // namespace ridgeferry::fakes

int
main(int aCount, char** aValues)
{
  return ridgeferry::fakes::RunFake<ridgeferry::fakes::FakeEngine>(aCount,
                                                                   aValues);
}
