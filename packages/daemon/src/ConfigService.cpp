#include "ConfigService.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ridgeferry/base/Overloaded.h>

namespace ridgeferry::daemon {

namespace {

constexpr Duration kTick{ 250 };
/** Members of a hall that poll the head often; the others hear it from them. */
constexpr std::size_t kFrequentPollers = 2;
constexpr Duration kFrequentPoll{ 500 };
constexpr Duration kSeldomPoll{ 5000 };
constexpr std::size_t kScanLimit = 200;
constexpr std::size_t kRecentChanges = 512;
constexpr config::Revision kSnapshotEvery = 64;
constexpr Duration kPeerTimeout{ 1000 };
constexpr int kOk = 200;

std::string
SnapshotObject(config::Revision aRevision)
{
  return "config/snapshot/" + std::to_string(aRevision);
}

} // namespace

struct ConfigService::Submission
{
  config::Committer m_committer;
  config::Change m_change;
  sigc::slot<void(ChangeOutcome)> m_done;
};

ConfigService::ConfigService(Node& aNode, const membership::Roster& aRoster)
  : m_node(aNode)
  , m_roster(aRoster)
{
}

void
ConfigService::Start()
{
  m_timer = m_node.m_loop->Every(kTick, [this] { Poll(); });
  ReadHead();
}

bool
ConfigService::IsCurrent() const
{
  return m_headKnown && m_replica.InForce() >= m_replica.HighestSeen();
}

void
ConfigService::Poll()
{
  Handle(config::ReplicaTick{});
  const Instant now = m_node.Now();
  const bool due = !m_headKnown || now >= m_nextHead.value_or(now);
  if (!due || m_headAsked) {
    return;
  }
  ReadHead();
}

void
ConfigService::ReadHead()
{
  const bool frequent = m_roster.Rank("config-head") < kFrequentPollers;
  const Duration interval = frequent ? kFrequentPoll : kSeldomPoll;
  const Duration jitter(static_cast<Duration::rep>(
    m_node.m_random() % static_cast<std::uint64_t>(interval.count() / 4)));
  m_nextHead = m_node.Now() + interval - jitter;
  m_headAsked = true;
  m_node.m_metrics.Count("config_head_reads_total");
  m_node.m_table->Read(
    std::string(config::kHeadKey), [this](const table::ReadResult& aResult) {
      m_headAsked = false;
      if (aResult.m_status != table::ReadStatus::Ok) {
        m_node.m_metrics.Count("config_head_read_failures_total");
        return;
      }
      const auto head = config::DecodeHead(aResult.m_row.m_value);
      if (!head) {
        m_node.m_log->Write(observe::LogLevel::Error,
                            "bad-head-row",
                            { { "cause", head.error() } });
        return;
      }
      m_headKnown = true;
      Handle(config::RevisionSeen{ head->m_revision, {} });
    });
}

void
ConfigService::NotePeer(const std::string& aAddress,
                        config::Revision aRevision,
                        bool aPeerReady)
{
  m_headKnown = m_headKnown || aPeerReady;
  Handle(config::RevisionSeen{ aRevision, aAddress });
}

void
ConfigService::Handle(const config::ReplicaEvent& aEvent)
{
  if (const auto* arrived = std::get_if<config::ChangesArrived>(&aEvent)) {
    Remember(arrived->m_changes);
  }
  for (const config::ReplicaAction& action :
       m_replica.Handle(aEvent, m_node.Now())) {
    Act(action);
  }
}

void
ConfigService::Act(const config::ReplicaAction& aAction)
{
  std::visit(
    Overloaded{
      [&](const config::FetchChanges& aFetch) { Fetch(aFetch); },
      [&](const config::RevisionApplied& aApplied) {
        m_node.m_metrics.Set("config_revision",
                             static_cast<double>(aApplied.m_revision));
        m_node.m_log->Write(
          observe::LogLevel::Info,
          "revision-applied",
          { { "revision", static_cast<std::int64_t>(aApplied.m_revision) } });
        m_applied.emit();
      },
      [&](const config::ApplyFailed& aFailed) {
        const std::string fault = aFailed.m_errors.empty()
                                    ? std::string("unknown")
                                    : FormatFieldError(aFailed.m_errors[0]);
        m_node.m_log->Write(
          observe::LogLevel::Error,
          "revision-not-applicable",
          { { "revision", static_cast<std::int64_t>(aFailed.m_revision) },
            { "fault", fault } });
      } },
    aAction);
}

void
ConfigService::Remember(std::span<const config::Change> aChanges)
{
  for (const config::Change& change : aChanges) {
    const bool next =
      m_recent.empty() || change.m_revision == m_recent.back().m_revision + 1;
    if (!next && change.m_revision <= m_recent.back().m_revision) {
      continue;
    }
    if (!next) {
      m_recent.clear(); // A gap: peers must not take these for all there is.
    }
    m_recent.push_back(change);
    if (m_recent.size() > kRecentChanges) {
      m_recent.pop_front();
    }
  }
}

void
ConfigService::Fetch(const config::FetchChanges& aFetch)
{
  if (!aFetch.m_peer.empty()) {
    FetchFromPeer(aFetch);
    return;
  }
  FetchFromTable(aFetch.m_after);
}

void
ConfigService::FetchFromPeer(const config::FetchChanges& aFetch)
{
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_address = aFetch.m_peer;
  request.m_target = "/peer/changes";
  request.m_maxBody = net::kMaxStoreBody;
  request.m_timeout = kPeerTimeout;
  request.m_body = protocol::Encode(protocol::ChangesRequest{ aFetch.m_after });
  net::HttpCallbacks callbacks;
  callbacks.m_done = [this](const net::HttpResponse& aResponse) {
    const bool good = aResponse.m_end == net::HttpEnd::Complete &&
                      aResponse.m_head.m_status == kOk;
    const auto reply = good ? protocol::DecodeChangesReply(aResponse.m_body)
                            : tl::unexpected(protocol::DecodeError{});
    if (!reply) {
      Handle(config::FetchFailed{});
      return;
    }
    if (reply->m_snapshot) {
      Handle(config::SnapshotArrived{ reply->m_revision, *reply->m_snapshot });
    }
    Handle(config::ChangesArrived{ reply->m_changes });
  };
  m_node.m_http->Send(request, std::move(callbacks));
}

void
ConfigService::FetchFromTable(config::Revision aAfter)
{
  const bool farBehind = m_replica.HighestSeen() - aAfter > kSnapshotEvery;
  if (farBehind && aAfter == 0) {
    FetchSnapshot();
    return;
  }
  ScanChanges(aAfter);
}

void
ConfigService::FetchSnapshot()
{
  m_node.m_table->Read(
    std::string(config::kSnapshotKey),
    [this](const table::ReadResult& aResult) {
      const nlohmann::json pointer =
        nlohmann::json::parse(aResult.m_row.m_value, nullptr, false);
      if (aResult.m_status != table::ReadStatus::Ok || !pointer.is_object()) {
        ScanChanges(m_replica.InForce());
        return;
      }
      const auto revision = pointer.value("revision", config::Revision{ 0 });
      m_node.m_objects->Get(
        SnapshotObject(revision),
        [this, revision](const std::optional<std::string>& aText) {
          const nlohmann::json objects =
            nlohmann::json::parse(aText.value_or(""), nullptr, false);
          if (objects.is_object()) {
            config::SnapshotArrived snapshot;
            snapshot.m_revision = revision;
            for (const auto& [key, text] : objects.items()) {
              snapshot.m_objects[key] = text.get<std::string>();
            }
            Handle(snapshot);
            return;
          }
          ScanChanges(m_replica.InForce());
        });
    });
}

void
ConfigService::ScanChanges(config::Revision aAfter)
{
  m_node.m_table->Scan(
    std::string(config::kChangePrefix),
    config::ChangeKey(aAfter),
    kScanLimit,
    [this](const table::ScanResult& aResult) {
      if (aResult.m_status != table::ReadStatus::Ok) {
        Handle(config::FetchFailed{});
        return;
      }
      config::ChangesArrived arrived;
      for (const table::Row& row : aResult.m_rows) {
        auto change = config::DecodeChange(row.m_value);
        if (!change) {
          m_node.m_log->Write(
            observe::LogLevel::Error,
            "bad-change-row",
            { { "key", row.m_key }, { "cause", change.error() } });
          break;
        }
        arrived.m_changes.push_back(std::move(*change));
      }
      Handle(arrived);
    });
}

protocol::ChangesReply
ConfigService::ChangesAfter(config::Revision aAfter) const
{
  protocol::ChangesReply reply;
  reply.m_revision = m_replica.InForce();
  const bool holdsAll =
    !m_recent.empty() && m_recent.front().m_revision <= aAfter + 1;
  if (!holdsAll && reply.m_revision > aAfter) {
    reply.m_snapshot = m_replica.Catalog().Texts();
    return reply;
  }
  for (const config::Change& change : m_recent) {
    // What is remembered but not yet in force is not passed on.
    if (change.m_revision > aAfter && change.m_revision <= reply.m_revision) {
      reply.m_changes.push_back(change);
    }
  }
  return reply;
}

void
ConfigService::Submit(std::vector<declared::Edit> aEdits,
                      const std::string& aAuthor,
                      const std::string& aReason,
                      config::Revision aExpected,
                      sigc::slot<void(ChangeOutcome)> aDone)
{
  const config::Revision base = m_replica.InForce();
  if (aExpected != 0 && aExpected != base) {
    aDone({ config::SubmitResult::Stale, base, {}, {} });
    return;
  }
  declared::Catalog trial = m_replica.Catalog();
  if (auto applied = trial.Apply(aEdits); !applied) {
    aDone({ config::SubmitResult::Stale, 0, {}, applied.error() });
    return;
  }
  config::Change change;
  change.m_id = m_node.NewId();
  change.m_author = aAuthor;
  change.m_reason = aReason;
  change.m_wallMs = net::EventLoop::WallNow().time_since_epoch().count();
  change.m_edits = std::move(aEdits);
  change.m_revision = base + 1;
  auto submission = std::make_shared<Submission>(
    Submission{ config::Committer(change, base), change, std::move(aDone) });
  Drive(submission, submission->m_committer.Start());
}

void
ConfigService::Drive(const std::shared_ptr<Submission>& aSubmission,
                     const config::CommitAction& aAction)
{
  const auto read = [&](const std::string& aKey, auto aMakeEvent) {
    m_node.m_table->Read(
      aKey, [this, aSubmission, aMakeEvent](const table::ReadResult& aResult) {
        Drive(aSubmission,
              aSubmission->m_committer.Handle(aMakeEvent(aResult)));
      });
  };
  std::visit(
    Overloaded{
      [&](const config::ReadHead&) {
        read(std::string(config::kHeadKey),
             [](const table::ReadResult& aResult) {
               return config::CommitEvent(config::HeadRead{ aResult });
             });
      },
      [&](const config::WriteChange& aWrite) {
        m_node.m_table->Commit(
          aWrite.m_transaction,
          [this, aSubmission](table::CommitResult aResult) {
            Drive(aSubmission,
                  aSubmission->m_committer.Handle(
                    config::CommitAnswered{ aResult }));
          });
      },
      [&](const config::ReadChangeRow& aRead) {
        read(aRead.m_key, [](const table::ReadResult& aResult) {
          return config::CommitEvent(config::ChangeRowRead{ aResult });
        });
      },
      [&](const config::SubmitDone& aEnd) {
        ChangeOutcome outcome{
          aEnd.m_result, aEnd.m_revision, aSubmission->m_change.m_id, {}
        };
        if (aEnd.m_result == config::SubmitResult::Accepted) {
          m_node.m_log->Write(
            observe::LogLevel::Info,
            "change-accepted",
            { { "change", aSubmission->m_change.m_id },
              { "author", aSubmission->m_change.m_author },
              { "reason", aSubmission->m_change.m_reason },
              { "revision", static_cast<std::int64_t>(aEnd.m_revision) } });
          Handle(config::ChangesArrived{ { aSubmission->m_change } });
          if (aEnd.m_revision % kSnapshotEvery == 0) {
            WriteSnapshot();
          }
        }
        if (aEnd.m_result == config::SubmitResult::Stale) {
          Handle(config::RevisionSeen{ aEnd.m_revision, {} });
        }
        aSubmission->m_done(outcome);
      } },
    aAction);
}

void
ConfigService::WriteSnapshot()
{
  const config::Revision revision = m_replica.InForce();
  const nlohmann::json objects = m_replica.Catalog().Texts();
  m_node.m_objects->Put(
    SnapshotObject(revision), objects.dump(), [this, revision](bool aDone) {
      if (!aDone) {
        return; // The change rows hold everything; the next one will do.
      }
      const std::string key(config::kSnapshotKey);
      m_node.m_table->Read(
        key, [this, key, revision](const table::ReadResult& aResult) {
          const nlohmann::json known =
            nlohmann::json::parse(aResult.m_row.m_value, nullptr, false);
          const bool newer =
            known.is_object() &&
            known.value("revision", config::Revision{ 0 }) >= revision;
          if (aResult.m_status != table::ReadStatus::Ok || newer) {
            return;
          }
          table::Transaction write;
          write.m_conditions = { { key, aResult.m_row.m_version } };
          write.m_puts = {
            { key, nlohmann::json{ { "revision", revision } }.dump() }
          };
          m_node.m_table->Commit(write, [](table::CommitResult) {});
        });
    });
}

} // namespace ridgeferry::daemon
