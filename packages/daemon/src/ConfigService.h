#pragma once

#include "Node.h"

#include <deque>
#include <ridgeferry/config/Committer.h>
#include <ridgeferry/config/Replica.h>
#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/protocol/Messages.h>
#include <sigc++/sigc++.h>
#include <span>
#include <string>
#include <vector>

namespace ridgeferry::daemon {

/** How an operator's change ended. */
struct ChangeOutcome
{
  config::SubmitResult m_result = config::SubmitResult::Unknown;
  config::Revision m_revision = 0;
  std::string m_changeId;
  std::vector<FieldError> m_faults; ///< Not empty: refused, nothing written.
};

/**
 * The configuration of this process: polls the head, fetches what is missing
 * from a peer or the table, and brings operators' changes into the table.
 */
class ConfigService
{
public:
  ConfigService(Node& aNode, const membership::Roster& aRoster);

  void Start();

  const declared::Catalog& Catalog() const { return m_replica.Catalog(); }
  config::Revision InForce() const { return m_replica.InForce(); }
  /**
   * Whether this process may serve: it has learned the highest revision that
   * it can learn of, from the table or from a ready peer, and holds it.
   */
  bool IsCurrent() const;

  /** A heartbeat named a revision. */
  void NotePeer(const std::string& aAddress,
                config::Revision aRevision,
                bool aPeerReady);
  protocol::ChangesReply ChangesAfter(config::Revision aAfter) const;

  /**
   * Checks and submits a change. `aExpected` 0 means: on top of whatever is in
   * force; else the change is refused as stale if that is not the revision in
   * force.
   */
  void Submit(std::vector<declared::Edit> aEdits,
              const std::string& aAuthor,
              const std::string& aReason,
              config::Revision aExpected,
              sigc::slot<void(ChangeOutcome)> aDone);

  sigc::signal<void()>& SignalApplied() { return m_applied; }

private:
  struct Submission;

  void Handle(const config::ReplicaEvent& aEvent);
  void Act(const config::ReplicaAction& aAction);
  void Poll();
  void ReadHead();
  void Fetch(const config::FetchChanges& aFetch);
  void FetchFromPeer(const config::FetchChanges& aFetch);
  void FetchFromTable(config::Revision aAfter);
  void FetchSnapshot();
  void ScanChanges(config::Revision aAfter);
  void Remember(std::span<const config::Change> aChanges);
  void Drive(const std::shared_ptr<Submission>& aSubmission,
             const config::CommitAction& aAction);
  void WriteSnapshot();

  Node& m_node;
  const membership::Roster& m_roster;
  config::Replica m_replica;
  /** The latest changes in force, for peers that are behind. */
  std::deque<config::Change> m_recent;
  bool m_headKnown = false; ///< Read once, or named by a ready peer.
  std::optional<Instant> m_nextHead;
  bool m_headAsked = false;
  net::Watch m_timer;
  sigc::signal<void()> m_applied;
};

} // namespace ridgeferry::daemon
