#pragma once

#include "Node.h"

#include <cstdint>
#include <memory>
#include <ridgeferry/claims/Claim.h>
#include <set>
#include <sigc++/sigc++.h>
#include <string>
#include <vector>

namespace ridgeferry::daemon {

/** One attempt at a call that may not be repeated; see claims::Claim. */
class ClaimHandle
{
public:
  virtual ~ClaimHandle() = default;
  /** The call ended. `ClaimSettled` follows, unless nobody listens. */
  virtual void Close(const claims::CallEnded& aEnded) = 0;
};

/**
 * Runs claims against the table. Claims of one loop turn share a transaction:
 * the table takes a few hundred writes a second.
 */
class ClaimService
{
public:
  explicit ClaimService(Node& aNode);
  ~ClaimService();
  ClaimService(const ClaimService&) = delete;
  ClaimService& operator=(const ClaimService&) = delete;

  /**
   * Claims a key. `aDone` gets every decision of the claim, in order, and
   * returns whether it took it. A claim that is won when nobody waits for it
   * any more is given back as "not run", so that a retry may run. The handle
   * may be dropped: a claim that was closed still records its end.
   */
  std::shared_ptr<ClaimHandle> Begin(
    const std::string& aOrganisation,
    const std::string& aKey,
    std::uint64_t aFingerprint,
    sigc::slot<bool(const claims::ClaimAction&)> aDone);
  /** Claims whose end is not recorded yet. */
  std::size_t Open() const { return *m_open; }

private:
  class Running;

  struct QueuedWrite
  {
    table::Transaction m_transaction;
    sigc::slot<void(table::CommitResult)> m_done;
  };

  void Write(const table::Transaction& aTransaction,
             sigc::slot<void(table::CommitResult)> aDone);
  void Flush();
  void CommitAlone(const QueuedWrite& aWrite);

  Node& m_node;
  std::vector<QueuedWrite> m_queue;
  net::Watch m_flushTimer;
  /** Ended, and waiting for the table to record it. */
  std::set<std::shared_ptr<Running>> m_waiting;
  bool m_flushPlanned = false;
  /** Shared with the claims, which may outlive the service. */
  std::shared_ptr<std::size_t> m_open = std::make_shared<std::size_t>(0);
};

} // namespace ridgeferry::daemon
