// A stand-in for the platform's services: docs/PLATFORM.md gives its protocol.

#include "FakeProgram.h"
#include "History.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace ridgeferry::fakes {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

struct TableRow
{
  std::uint64_t m_version = 0;
  std::string m_value;
};

/** How the services fail now; switched by `POST /fake`. */
struct Faults
{
  std::string m_outage = "none";          ///< `none`, `refuse` or `hang`.
  std::set<std::string> m_cutDataCentres; ///< Their list cannot be had.
  int m_loseAnswers = 0; ///< Writes that take effect without an answer.
  int m_dropWrites = 0;  ///< Writes that are lost before they take effect.
  std::int64_t m_delay = 0;
};

class FakePlatform
{
public:
  FakePlatform(net::EventLoop& aLoop, const Arguments& aArguments)
    : m_loop(aLoop)
    , m_history(aArguments.Text("history"))
    , m_writesPerSecond(aArguments.Number("writes", 300))
    , m_readsPerSecond(aArguments.Number("reads", 2000))
    , m_weightsEvery(aArguments.Number("weights-every-ms", 200))
  {
    m_second = aLoop.Every(Duration{ 1000 }, [this] {
      m_writes = 0;
      m_reads = 0;
    });
  }

  void OnExchange(const std::shared_ptr<net::HttpExchange>& aExchange)
  {
    if (aExchange->Path() == "/fake") {
      OnSwitch(*aExchange);
      return;
    }
    if (m_faults.m_outage == "refuse") {
      ReplyJson(*aExchange, kUnavailable, {});
      return;
    }
    if (m_faults.m_outage == "hang") {
      m_held.push_back(aExchange);
      return;
    }
    if (m_faults.m_delay == 0) {
      Serve(aExchange);
      return;
    }
    auto watch = std::make_shared<net::Watch>();
    *watch = m_loop.After(Duration(m_faults.m_delay), [this, aExchange, watch] {
      Serve(aExchange);
      m_loop.Defer([watch] { *watch = {}; });
    });
  }

private:
  void Serve(const std::shared_ptr<net::HttpExchange>& aExchange)
  {
    const std::string& path = aExchange->Path();
    if (path == "/table/transact") {
      Transact(*aExchange);
    } else if (path == "/table/row") {
      ReadRow(*aExchange);
    } else if (path == "/table/scan") {
      Scan(*aExchange);
    } else if (path == "/objects") {
      OnObject(*aExchange);
    } else if (path == "/weights") {
      GrantWeights(*aExchange);
    } else if (path == "/instances") {
      List(*aExchange);
    } else {
      ReplyJson(*aExchange, kNotFound, {});
    }
  }

  bool Holds(const nlohmann::json& aCondition) const
  {
    const auto it = m_rows.find(aCondition.at("key").get<std::string>());
    const std::uint64_t version = it == m_rows.end() ? 0 : it->second.m_version;
    return version == aCondition.at("version").get<std::uint64_t>();
  }

  void Transact(net::HttpExchange& aExchange)
  {
    if (++m_writes > m_writesPerSecond) {
      ReplyJson(aExchange, kTooMany, {});
      return;
    }
    if (m_faults.m_dropWrites > 0) {
      --m_faults.m_dropWrites;
      aExchange.Abort();
      return;
    }
    const nlohmann::json body = BodyOf(aExchange);
    for (const nlohmann::json& condition : body.at("conditions")) {
      if (!Holds(condition)) {
        ReplyJson(aExchange, kConflict, { { "conflict", condition } });
        return;
      }
    }
    nlohmann::json line{ { "what", "commit" },
                         { "rows", nlohmann::json::array() } };
    for (const nlohmann::json& put : body.at("puts")) {
      TableRow& row = m_rows[put.at("key").get<std::string>()];
      ++row.m_version;
      row.m_value = put.at("value").get<std::string>();
      line["rows"].push_back({ { "key", put.at("key") },
                               { "version", row.m_version },
                               { "value", row.m_value } });
    }
    m_history.Write(line);
    if (m_faults.m_loseAnswers > 0) {
      --m_faults.m_loseAnswers;
      aExchange.Abort();
      return;
    }
    ReplyJson(aExchange, kOk, { { "committed", true } });
  }

  bool TakeRead(net::HttpExchange& aExchange)
  {
    if (++m_reads <= m_readsPerSecond) {
      return true;
    }
    ReplyJson(aExchange, kTooMany, {});
    return false;
  }

  void ReadRow(net::HttpExchange& aExchange)
  {
    if (!TakeRead(aExchange)) {
      return;
    }
    const std::string key = aExchange.QueryValue("key");
    const auto it = m_rows.find(key);
    if (it == m_rows.end()) {
      ReplyJson(aExchange, kNotFound, {});
      return;
    }
    ReplyJson(aExchange,
              kOk,
              { { "key", key },
                { "version", it->second.m_version },
                { "value", it->second.m_value } });
  }

  void Scan(net::HttpExchange& aExchange)
  {
    if (!TakeRead(aExchange)) {
      return;
    }
    const std::string prefix = aExchange.QueryValue("prefix");
    const std::string after = std::max(prefix, aExchange.QueryValue("after"));
    const std::string limitText = aExchange.QueryValue("limit");
    std::size_t limit = std::strtoull(limitText.c_str(), nullptr, 10);
    nlohmann::json rows = nlohmann::json::array();
    for (auto it = m_rows.upper_bound(after);
         it != m_rows.end() && it->first.starts_with(prefix) && limit > 0;
         ++it, --limit) {
      rows.push_back({ { "key", it->first },
                       { "version", it->second.m_version },
                       { "value", it->second.m_value } });
    }
    ReplyJson(aExchange, kOk, { { "rows", rows } });
  }

  void OnObject(net::HttpExchange& aExchange)
  {
    const std::string key = aExchange.QueryValue("key");
    if (aExchange.Method() == "PUT") {
      m_objects[key] = aExchange.Body();
      ReplyJson(aExchange, kOk, {});
      return;
    }
    const auto it = m_objects.find(key);
    if (it == m_objects.end()) {
      ReplyJson(aExchange, kNotFound, {});
      return;
    }
    aExchange.Reply(kOk, {}, it->second);
  }

  /** The weight store: one load in each of its intervals. */
  void GrantWeights(net::HttpExchange& aExchange)
  {
    const Instant now = m_loop.Now();
    if (now < m_nextWeights) {
      ReplyJson(aExchange, kTooMany, {});
      return;
    }
    m_nextWeights = now + m_weightsEvery;
    m_history.Write({ { "what", "weights" },
                      { "model", aExchange.QueryValue("model") },
                      { "version", aExchange.QueryValue("version") } });
    ReplyJson(aExchange, kOk, { { "granted", true } });
  }

  void List(net::HttpExchange& aExchange)
  {
    const std::string dataCentre = aExchange.QueryValue("hall");
    if (m_faults.m_cutDataCentres.contains(dataCentre)) {
      ReplyJson(aExchange, kUnavailable, {});
      return;
    }
    nlohmann::json out = nlohmann::json::array();
    for (const auto& [id, member] : m_members) {
      if (dataCentre.empty() || member.value("hall", "") == dataCentre) {
        out.push_back(member);
      }
    }
    ReplyJson(aExchange, kOk, { { "instances", out } });
  }

  void OnSwitch(net::HttpExchange& aExchange)
  {
    const nlohmann::json body = BodyOf(aExchange);
    const std::string outage = body.value("outage", m_faults.m_outage);
    if (outage != "hang") {
      for (const auto& held : m_held) {
        held->Abort();
      }
      m_held.clear();
    }
    m_faults.m_outage = outage;
    m_faults.m_loseAnswers = body.value("loseAnswers", m_faults.m_loseAnswers);
    m_faults.m_dropWrites = body.value("dropWrites", m_faults.m_dropWrites);
    m_faults.m_delay = body.value("delayMs", m_faults.m_delay);
    if (body.contains("cutHalls")) {
      m_faults.m_cutDataCentres = body["cutHalls"].get<std::set<std::string>>();
    }
    const nlohmann::json none = nlohmann::json::array();
    const nlohmann::json members = body.value("members", none);
    for (const auto& member : members) {
      m_members[member.at("id").get<std::string>()] = member;
    }
    const nlohmann::json leaving = body.value("leaving", none);
    for (const auto& id : leaving) {
      m_members[id.get<std::string>()]["state"] = "leaving";
      m_history.Write({ { "what", "leaving" }, { "upstream", id } });
    }
    const nlohmann::json removed = body.value("remove", none);
    for (const auto& id : removed) {
      m_members.erase(id.get<std::string>());
    }
    m_history.Write({ { "what", "switch" }, { "body", body } });
    ReplyJson(aExchange, kOk, { { "rows", m_rows.size() } });
  }

  net::EventLoop& m_loop;
  History m_history;
  std::int64_t m_writesPerSecond;
  std::int64_t m_readsPerSecond;
  Duration m_weightsEvery;
  Instant m_nextWeights;
  std::int64_t m_writes = 0;
  std::int64_t m_reads = 0;
  Faults m_faults;
  std::map<std::string, TableRow, std::less<>> m_rows;
  std::map<std::string, std::string> m_objects;
  std::map<std::string, nlohmann::json> m_members;
  std::vector<std::shared_ptr<net::HttpExchange>> m_held;
  net::Watch m_second;
};

} // namespace

} // namespace ridgeferry::fakes

int
main(int aCount, char** aValues)
{
  return ridgeferry::fakes::RunFake<ridgeferry::fakes::FakePlatform>(aCount,
                                                                     aValues);
}
