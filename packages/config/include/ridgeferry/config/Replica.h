#pragma once

#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/config/Change.h>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace ridgeferry::config {

/** The head row was read, or a peer announced the revision that it holds. */
struct RevisionSeen
{
  Revision m_revision = 0;
  /** Peer that holds the revision; empty if it was read from the table. */
  std::string m_peer;
};

/** Change rows arrived from the table or from a peer, in any order. */
struct ChangesArrived
{
  std::vector<Change> m_changes;
};

/** A snapshot arrived: the whole configuration at one revision. */
struct SnapshotArrived
{
  Revision m_revision = 0;
  std::map<std::string, std::string, std::less<>> m_objects;
};

/** A fetch that `FetchChanges` started has failed. */
struct FetchFailed
{};

struct ReplicaTick
{};

using ReplicaEvent = std::variant<RevisionSeen,
                                  ChangesArrived,
                                  SnapshotArrived,
                                  FetchFailed,
                                  ReplicaTick>;

/** Requests the change rows after `m_after` from a peer or from the table. */
struct FetchChanges
{
  Revision m_after = 0;
  std::string m_peer; ///< Peer to read from; empty for the table.
};

/** A higher revision is now in force in this process. */
struct RevisionApplied
{
  Revision m_revision = 0;
};

/** A committed change cannot be applied, so this process stays at an older
 * revision. */
struct ApplyFailed
{
  Revision m_revision = 0;
  std::vector<FieldError> m_errors;
};

using ReplicaAction = std::variant<FetchChanges, RevisionApplied, ApplyFailed>;

/**
 * One process's copy of the configuration.
 *
 * Invariants: the revision in force never decreases. Changes are applied in the
 * order of their revisions without a gap. If the table or a peer announces a
 * revision higher than the one in force, changes are fetched repeatedly until
 * that revision is in force. A pure state machine; not thread-safe.
 */
class Replica
{
public:
  /** Time after which a fetch that was not answered is repeated. */
  static constexpr Duration kFetchTimeout{ 1500 };

  std::vector<ReplicaAction> Handle(const ReplicaEvent& aEvent, Instant aNow);

  Revision InForce() const { return m_revision; }
  /** Returns the highest revision that the table or a peer has announced. */
  Revision HighestSeen() const { return m_highestSeen; }
  const declared::Catalog& Catalog() const { return m_catalog; }

private:
  using Actions = std::vector<ReplicaAction>;

  void OnRevisionSeen(const RevisionSeen& aSeen);
  void OnChanges(const ChangesArrived& aArrived, Actions& aActions);
  void OnSnapshot(const SnapshotArrived& aSnapshot, Actions& aActions);
  void ApplyPending(Actions& aActions);
  void FetchIfBehind(Instant aNow, Actions& aActions);

  declared::Catalog m_catalog;
  Revision m_revision = 0;
  Revision m_highestSeen = 0;
  /** Peer that announced the highest revision; empty for the table. */
  std::string m_source;
  std::map<Revision, Change> m_pending;
  std::optional<Instant> m_fetchStarted;
};

} // namespace ridgeferry::config
