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

/** The head row was read, or a peer named the revision that it holds. */
struct RevisionSeen
{
  Revision m_revision = 0;
  std::string m_peer; ///< Who holds it; empty: the table.
};

/** Rows arrived, from the table or from a peer, in any order. */
struct ChangesArrived
{
  std::vector<Change> m_changes;
};

/** A whole configuration at one revision arrived (a snapshot). */
struct SnapshotArrived
{
  Revision m_revision = 0;
  std::map<std::string, std::string, std::less<>> m_objects;
};

/** An earlier fetch brought nothing. */
struct FetchFailed
{};

struct ReplicaTick
{};

using ReplicaEvent = std::variant<RevisionSeen,
                                  ChangesArrived,
                                  SnapshotArrived,
                                  FetchFailed,
                                  ReplicaTick>;

/** Read the change rows after `m_after`, from a peer or from the table. */
struct FetchChanges
{
  Revision m_after = 0;
  std::string m_peer; ///< Empty: from the table.
};

/** A higher revision is now in force in this process. */
struct RevisionApplied
{
  Revision m_revision = 0;
};

/** A row that passed its commit cannot be applied: the process is behind. */
struct ApplyFailed
{
  Revision m_revision = 0;
  std::vector<FieldError> m_errors;
};

using ReplicaAction = std::variant<FetchChanges, RevisionApplied, ApplyFailed>;

/**
 * One process's copy of the configuration.
 *
 * Invariants: the revision in force never falls; changes are applied in the
 * order of their revisions without a gap; whatever a peer or the table names
 * is fetched until it is held. A pure state machine; not thread-safe.
 */
class Replica
{
public:
  static constexpr Duration kFetchTimeout{ 1500 };

  std::vector<ReplicaAction> Handle(const ReplicaEvent& aEvent, Instant aNow);

  Revision InForce() const { return m_revision; }
  /** The highest revision that anyone has named. */
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
  std::string m_source; ///< Who named the highest revision.
  std::map<Revision, Change> m_pending;
  std::optional<Instant> m_fetchStarted;
};

} // namespace ridgeferry::config
