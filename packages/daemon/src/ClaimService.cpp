#include "ClaimService.h"

#include <ridgeferry/base/Overloaded.h>
#include <set>

namespace ridgeferry::daemon {

namespace {

/** How long a claim waits for others to share its transaction. */
constexpr Duration kGather{ 3 };
constexpr std::size_t kMostShared = 64;

} // namespace

/** Owns itself while an answer of the table is open. */
class ClaimService::Running final
  : public ClaimHandle
  , public std::enable_shared_from_this<ClaimService::Running>
{
public:
  Running(ClaimService& aService,
          std::string aId,
          claims::Claim aClaim,
          sigc::slot<bool(const claims::ClaimAction&)> aDone)
    : m_service(aService)
    , m_id(std::move(aId))
    , m_claim(std::move(aClaim))
    , m_done(std::move(aDone))
    , m_open(aService.m_open)
  {
    ++*m_open;
  }
  ~Running() override { --*m_open; }
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;

  void Start() { Act(m_claim.Start()); }

  void Close(const claims::CallEnded& aEnded) override
  {
    Act(m_claim.Handle(aEnded));
  }

private:
  void Act(const claims::ClaimAction& aAction)
  {
    const auto self = shared_from_this();
    if (const auto* read = std::get_if<claims::ReadClaim>(&aAction)) {
      m_service.m_node.m_table->Read(
        read->m_key, [self](const table::ReadResult& aResult) {
          self->Act(self->m_claim.Handle(claims::ClaimRead{ aResult }));
        });
      return;
    }
    if (const auto* write = std::get_if<claims::WriteClaim>(&aAction)) {
      m_service.Write(
        write->m_transaction, [self](table::CommitResult aResult) {
          self->Act(self->m_claim.Handle(claims::ClaimWritten{ aResult }));
        });
      return;
    }
    if (std::holds_alternative<claims::NoClaimAction>(aAction)) {
      return;
    }
    if (const auto* later = std::get_if<claims::RecordLater>(&aAction)) {
      WaitToRecord(*later);
      return;
    }
    if (std::exchange(m_waited, false)) {
      Log("claim-recorded", {});
    }
    const bool taken = m_done(aAction);
    if (!taken && std::holds_alternative<claims::RunCall>(aAction)) {
      Close({ Outcome::NotRun, {} });
    }
  }

  void WaitToRecord(const claims::RecordLater& aLater)
  {
    if (!std::exchange(m_waited, true)) {
      Log("claim-not-recorded-yet", aLater.m_wait);
      m_done(claims::ClaimSettled{ aLater.m_outcome });
    }
    m_service.m_waiting.insert(shared_from_this());
    const std::weak_ptr<Running> weak = weak_from_this();
    m_timer = m_service.m_node.m_loop->After(aLater.m_wait, [weak] {
      const auto self = weak.lock();
      if (self) {
        self->m_service.m_waiting.erase(self);
        self->Act(self->m_claim.Handle(claims::RecordDue{}));
      }
    });
  }

  void Log(std::string_view aEvent, Duration aWait) const
  {
    m_service.m_node.m_log->Write(
      observe::LogLevel::Warning,
      aEvent,
      { { "claim", m_id }, { "waitMs", aWait.count() } });
  }

  ClaimService& m_service;
  std::string m_id;
  claims::Claim m_claim;
  net::Watch m_timer;
  bool m_waited = false; ///< Its end could not be recorded at once.
  sigc::slot<bool(const claims::ClaimAction&)> m_done;
  std::shared_ptr<std::size_t> m_open;
};

ClaimService::ClaimService(Node& aNode)
  : m_node(aNode)
{
}

ClaimService::~ClaimService() = default;

std::shared_ptr<ClaimHandle>
ClaimService::Begin(const std::string& aOrganisation,
                    const std::string& aKey,
                    std::uint64_t aFingerprint,
                    sigc::slot<bool(const claims::ClaimAction&)> aDone)
{
  const std::string id = m_node.NewId();
  auto running = std::make_shared<Running>(
    *this,
    id,
    claims::Claim(aOrganisation, aKey, id, aFingerprint),
    std::move(aDone));
  running->Start();
  return running;
}

void
ClaimService::Write(const table::Transaction& aTransaction,
                    sigc::slot<void(table::CommitResult)> aDone)
{
  m_queue.push_back({ aTransaction, std::move(aDone) });
  if (m_queue.size() >= kMostShared) {
    Flush();
    return;
  }
  if (!m_flushPlanned) {
    m_flushPlanned = true;
    m_flushTimer = m_node.m_loop->After(kGather, [this] { Flush(); });
  }
}

void
ClaimService::CommitAlone(const QueuedWrite& aWrite)
{
  m_node.m_metrics.Count("claim_transactions_total");
  m_node.m_table->Commit(aWrite.m_transaction, aWrite.m_done);
}

void
ClaimService::Flush()
{
  m_flushPlanned = false;
  std::vector<QueuedWrite> queue;
  queue.swap(m_queue);
  // Two claims of one key cannot share: only one of them may commit.
  std::set<std::string> keys;
  table::Transaction shared;
  std::vector<QueuedWrite> members;
  for (QueuedWrite& write : queue) {
    const std::string& key = write.m_transaction.m_puts.front().m_key;
    if (!keys.insert(key).second) {
      CommitAlone(write);
      continue;
    }
    for (const table::Condition& item : write.m_transaction.m_conditions) {
      shared.m_conditions.push_back(item);
    }
    for (const table::Put& item : write.m_transaction.m_puts) {
      shared.m_puts.push_back(item);
    }
    members.push_back(std::move(write));
  }
  if (members.size() == 1) {
    CommitAlone(members.front());
    return;
  }
  m_node.m_metrics.Count("claim_transactions_total");
  m_node.m_table->Commit(
    shared, [this, members = std::move(members)](table::CommitResult aResult) {
      for (const QueuedWrite& write : members) {
        if (aResult == table::CommitResult::Conflict) {
          // One of them failed all: nothing was written, each tries alone.
          CommitAlone(write);
        } else {
          write.m_done(aResult);
        }
      }
    });
}

} // namespace ridgeferry::daemon
