#include "AdminApi.h"

#include "CallRequest.h"
#include "ChangeRequest.h"
#include "Reply.h"

#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::daemon {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kOk = 200;
constexpr int kAcceptedUnknown = 202;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr std::size_t kAuditRows = 200;
/** Changes searched for an id: some four hours at 6,000 a day. */
constexpr std::size_t kSearchedRows = 1000;
constexpr std::string_view kBearer = "Bearer ";

std::string
Dump(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json
ErrorBody(std::string_view aCode, std::string_view aDetail)
{
  return { { "code", aCode }, { "detail", aDetail } };
}

Json
ChangeToJson(const config::Change& aChange)
{
  Json put = Json::array();
  Json deleted = Json::array();
  for (const declared::Edit& edit : aChange.m_edits) {
    std::visit(Overloaded{ [&](const declared::PutObject& aPut) {
                            put.push_back(Json::parse(aPut.m_json));
                          },
                           [&](const declared::DeleteObject& aDelete) {
                             deleted.push_back(aDelete.m_key);
                           } },
               edit);
  }
  return { { "revision", aChange.m_revision },
           { "change", aChange.m_id },
           { "author", aChange.m_author },
           { "reason", aChange.m_reason },
           { "atMs", aChange.m_wallMs },
           { "put", put },
           { "delete", deleted } };
}

Json
UpstreamToJson(const routing::Upstream& aUpstream)
{
  const routing::ListedUpstream& listed = aUpstream.m_listed;
  Json out{ { "id", listed.m_id },
            { "kind",
              listed.m_kind == routing::UpstreamKind::Engine ? "engine"
                                                             : "service" },
            { "labels", listed.m_labels },
            { "leaving", aUpstream.m_leaving },
            { "ownInFlight", aUpstream.m_ownInFlight } };
  if (aUpstream.m_report) {
    const routing::EngineReport& report = *aUpstream.m_report;
    out["role"] = declared::RoleName(report.m_role);
    out["model"] = report.m_model;
    out["version"] = report.m_version;
    out["running"] = report.m_running;
    out["slots"] = report.m_slots;
    out["draining"] = report.m_draining;
    out["changing"] = report.m_changing;
  }
  return out;
}

} // namespace

AdminApi::AdminApi(Node& aNode,
                   ConfigService& aConfig,
                   const membership::Roster& aRoster,
                   const routing::UpstreamSet& aUpstreams,
                   const PlannerService& aPlanner,
                   const CallerApi& aCallers)
  : m_node(aNode)
  , m_config(aConfig)
  , m_roster(aRoster)
  , m_upstreams(aUpstreams)
  , m_planner(aPlanner)
  , m_callers(aCallers)
{
}

tl::expected<void, net::NetError>
AdminApi::Start()
{
  net::HttpServerLimits limits;
  limits.m_maxBodyBytes = m_node.m_settings.m_maxBodyBytes;
  auto server = net::HttpServer::Listen(
    *m_node.m_loop,
    m_node.m_settings.m_listen.m_admin,
    limits,
    [this](const Exchange& aExchange) { OnExchange(aExchange); });
  if (!server) {
    return tl::unexpected(server.error());
  }
  m_server = std::move(*server);
  return {};
}

void
AdminApi::SetState(bool aReady, bool aStopping)
{
  m_ready = aReady;
  m_stopping = aStopping;
}

std::string
AdminApi::Author(const net::HttpExchange& aExchange) const
{
  const std::string_view header =
    aExchange.Headers().Find("Authorization").value_or("");
  if (!header.starts_with(kBearer)) {
    return {};
  }
  const std::string_view token = header.substr(kBearer.size());
  for (const AdminToken& known : m_node.m_settings.m_adminTokens) {
    if (known.m_token == token) {
      return known.m_name;
    }
  }
  return {};
}

void
AdminApi::OnExchange(const Exchange& aExchange)
{
  const std::string& path = aExchange->Path();
  if (path == "/metrics") {
    net::HttpHeaders headers;
    headers.Add("Content-Type", "text/plain; version=0.0.4");
    aExchange->Reply(kOk, headers, m_node.m_metrics.Expose());
    return;
  }
  const std::string author = Author(*aExchange);
  if (author.empty()) {
    ReplyJson(*aExchange,
              kUnauthorized,
              Dump(ErrorBody("unauthorized",
                             "send the header Authorization: Bearer TOKEN "
                             "with a token of the settings")));
    return;
  }
  const std::string& method = aExchange->Method();
  if (path == "/admin/status") {
    Status(aExchange);
  } else if (path == "/admin/objects") {
    GetObjects(aExchange);
  } else if (path == "/admin/changes" && method == "POST") {
    ApplyChange(aExchange, author);
  } else if (path == "/admin/change") {
    FindChange(aExchange);
  } else if (path == "/admin/audit") {
    Audit(aExchange);
  } else if (path.starts_with("/admin/explain/")) {
    Explain(aExchange);
  } else {
    ReplyJson(*aExchange,
              kNotFound,
              Dump(ErrorBody("not-found", "see docs/API.md for the paths")));
  }
}

void
AdminApi::Status(const Exchange& aExchange) const
{
  Json instances = Json::array();
  instances.push_back({ { "instance", m_node.m_settings.m_instance },
                        { "hall", m_node.m_settings.m_dataCentre },
                        { "self", true },
                        { "alive", true },
                        { "ready", m_ready },
                        { "leaving", m_stopping },
                        { "revision", m_config.InForce() },
                        { "running", m_callers.Running() },
                        { "queued", m_callers.Queued() } });
  for (const auto& [name, peer] : m_roster.Peers()) {
    instances.push_back({ { "instance", name },
                          { "hall", peer.m_last.m_dataCentre },
                          { "self", false },
                          { "alive", peer.m_alive },
                          { "ready", peer.m_last.m_ready },
                          { "leaving", peer.m_last.m_leaving },
                          { "revision", peer.m_last.m_revision } });
  }
  Json upstreams = Json::array();
  for (const routing::Upstream& upstream : m_upstreams.All()) {
    upstreams.push_back(UpstreamToJson(upstream));
  }
  const Json planner{ { "holder", m_planner.SeenHolder() },
                      { "self", m_planner.HasAuthority() },
                      { "fencing", m_planner.Fencing() } };
  ReplyJson(*aExchange,
            kOk,
            Dump({ { "hall", m_node.m_settings.m_dataCentre },
                   { "revision", m_config.InForce() },
                   { "table", m_node.m_table->IsDown() ? "down" : "up" },
                   { "planner", planner },
                   { "instances", instances },
                   { "upstreams", upstreams } }));
}

void
AdminApi::GetObjects(const Exchange& aExchange) const
{
  const std::string kind = aExchange->QueryValue("kind");
  const std::string name = aExchange->QueryValue("name");
  Json objects = Json::array();
  for (const auto& [key, text] : m_config.Catalog().Texts()) {
    const bool wanted = (kind.empty() || key.starts_with(kind + "/")) &&
                        (name.empty() || key.substr(key.find('/') + 1) == name);
    if (wanted) {
      objects.push_back(Json::parse(text));
    }
  }
  ReplyJson(
    *aExchange,
    kOk,
    Dump({ { "revision", m_config.InForce() }, { "objects", objects } }));
}

void
AdminApi::ApplyChange(const Exchange& aExchange, const std::string& aAuthor)
{
  auto request = ReadChangeRequest(aExchange->Body());
  if (!request) {
    ReplyFaults(*aExchange, request.error(), "");
    return;
  }
  m_config.Submit(std::move(request->m_edits),
                  aAuthor,
                  request->m_reason,
                  request->m_expected,
                  [aExchange](const ChangeOutcome& aOutcome) {
                    if (!aOutcome.m_faults.empty()) {
                      ReplyFaults(*aExchange, aOutcome.m_faults, "");
                      return;
                    }
                    Json body{ { "change", aOutcome.m_changeId },
                               { "revision", aOutcome.m_revision } };
                    int status = kOk;
                    switch (aOutcome.m_result) {
                      case config::SubmitResult::Accepted:
                        body["result"] = "accepted";
                        break;
                      case config::SubmitResult::Stale:
                        status = kConflict;
                        body["result"] = "stale";
                        body["detail"] =
                          "another change came first; look at it and try "
                          "again";
                        break;
                      case config::SubmitResult::Unavailable:
                        status = kUnavailable;
                        body["result"] = "unavailable";
                        body["detail"] =
                          "the platform's table cannot be reached; nothing "
                          "was written";
                        break;
                      case config::SubmitResult::Unknown:
                        status = kAcceptedUnknown;
                        body["result"] = "unknown";
                        body["detail"] =
                          "it may have been written; ask later by the "
                          "change's id";
                        break;
                    }
                    ReplyJson(*aExchange, status, Dump(body));
                  });
}

void
AdminApi::FindChange(const Exchange& aExchange) const
{
  const std::string id = aExchange->QueryValue("id");
  const config::Revision last = m_config.InForce();
  const config::Revision from = last > kSearchedRows ? last - kSearchedRows : 0;
  m_node.m_table->Scan(
    std::string(config::kChangePrefix),
    config::ChangeKey(from),
    kSearchedRows + 1,
    [aExchange, id](const table::ScanResult& aResult) {
      if (aResult.m_status != table::ReadStatus::Ok) {
        ReplyJson(*aExchange,
                  kUnavailable,
                  Dump(ErrorBody("table-unavailable",
                                 "the platform's table cannot be reached")));
        return;
      }
      for (const table::Row& row : aResult.m_rows) {
        const auto change = config::DecodeChange(row.m_value);
        if (change && change->m_id == id) {
          ReplyJson(*aExchange, kOk, Dump(ChangeToJson(*change)));
          return;
        }
      }
      ReplyJson(*aExchange,
                kNotFound,
                Dump(ErrorBody("not-found",
                               "none of the latest 1000 changes has this id")));
    });
}

void
AdminApi::Audit(const Exchange& aExchange) const
{
  const config::Revision last = m_config.InForce();
  const config::Revision from = last > kAuditRows ? last - kAuditRows : 0;
  m_node.m_table->Scan(
    std::string(config::kChangePrefix),
    config::ChangeKey(from),
    kAuditRows + 1,
    [this, aExchange](const table::ScanResult& aResult) {
      Json changes = Json::array();
      const bool whole = aResult.m_status == table::ReadStatus::Ok;
      if (whole) {
        for (const table::Row& row : aResult.m_rows) {
          if (const auto change = config::DecodeChange(row.m_value)) {
            changes.push_back(ChangeToJson(*change));
          }
        }
      } else {
        // The table is out of reach: what this process remembers.
        for (const config::Change& change :
             m_config.ChangesAfter(0).m_changes) {
          changes.push_back(ChangeToJson(change));
        }
      }
      ReplyJson(*aExchange,
                kOk,
                Dump({ { "complete", whole }, { "changes", changes } }));
    });
}

void
AdminApi::Explain(const Exchange& aExchange) const
{
  constexpr std::string_view kPath = "/admin/explain";
  const auto request =
    ReadCallRequest(*aExchange,
                    m_config.Catalog(),
                    "explain",
                    net::EventLoop::WallNow(),
                    std::string_view(aExchange->Path()).substr(kPath.size()));
  if (!request) {
    if (request.error().m_faults.empty()) {
      ReplyProblem(*aExchange, request.error().m_problem, "explain");
    } else {
      ReplyFaults(*aExchange, request.error().m_faults, "explain");
    }
    return;
  }
  Json eligible = Json::array();
  routing::UpstreamSet upstreams = m_upstreams;
  const Instant now = m_node.Now();
  for (const routing::UpstreamIndex index : upstreams.Pool(request->m_pool)) {
    const routing::Upstream& upstream = upstreams.At(index);
    const bool serves =
      upstreams.MayServe(index, routing::Phase::Whole, now) ||
      upstreams.MayServe(index, routing::Phase::Prefill, now) ||
      upstreams.MayServe(index, routing::Phase::Decode, now);
    Json item = UpstreamToJson(upstream);
    item["mayServeNow"] = serves;
    eligible.push_back(item);
  }
  ReplyJson(*aExchange,
            kOk,
            Dump({ { "team", request->m_organisation },
                   { "class", declared::TrafficClassName(request->m_class) },
                   { "route", request->m_route },
                   { "event", request->m_event },
                   { "deadlineMs", request->m_deadline.count() },
                   { "repeatable", request->m_key.empty() },
                   { "pool", request->m_pool.m_key },
                   { "upstreams", eligible } }));
}

} // namespace ridgeferry::daemon
