#pragma once

#include "EntryNode.h"
#include "StoreGenerations.h"

#include <sigc++/sigc++.h>
#include <string>

namespace ridgeferry::entry {

/** Makes calls to the tables that ridgeferry keeps in the store for itself, for
 * one component. Tables that are followed have a `StoreReader`. Not
 * thread-safe. */
class StoreCalls
{
public:
  /** Longest silence of the store in one call: many times what it takes. */
  static constexpr Duration kTimeout{ 1000 };

  using Committed = sigc::slot<void(table::CommitResult)>;
  /** Receives the answer, which is a failure if none came, and the generation
   * of the store that it belongs to. */
  using Answered = sigc::slot<void(const StoreAnswer&, StoreGeneration)>;

  /** `aPurpose` says in the log what the calls are for. `aNode` and
   * `aGenerations` must outlive this object, which must outlive its calls. */
  StoreCalls(EntryNode& aNode,
             StoreGenerations& aGenerations,
             std::string aPurpose);

  /** Calls `aCommitted` once. A generation that the answer names has been noted
   * by then. */
  void Commit(const StoreCommit& aCommit, Committed aCommitted);
  /** Reads one page of rows. Calls `aAnswered` once. A generation that the
   * answer names has been noted by then. */
  void Read(const StoreRead& aRead,
            Answered aAnswered,
            Duration aTimeout = kTimeout);

private:
  void Send(net::HttpRequest aRequest,
            Duration aTimeout,
            sigc::slot<void(const net::HttpResponse&, StoreGeneration)> aDone);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  std::string m_purpose;
  /** True if the last call got no answer: other idle connections may be
   * unresponsive too, so the next call uses a fresh one. */
  bool m_needsFreshConnection = false;
};

} // namespace ridgeferry::entry
