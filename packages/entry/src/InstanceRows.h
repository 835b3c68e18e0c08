#pragma once

#include "EntryNode.h"
#include "StoreCalls.h"

#include <ridgeferry/membership/Roster.h>
#include <sigc++/sigc++.h>
#include <string>
#include <vector>

namespace ridgeferry::entry {

/** Rows of the store by which instances find each other: each writes its own
 * address at its start and then reads those of all. Not thread-safe. */
class InstanceRows
{
public:
  /** The arguments must outlive this object. */
  InstanceRows(EntryNode& aNode,
               StoreGenerations& aGenerations,
               const membership::Roster& aRoster);

  /** Writes the own row, and reads all rows behind that. */
  void Start();
  /** Returns true once the rows have been read. */
  bool HasRead() const { return m_hasRead; }
  /** Returns IP:PORT of each other instance that has a row. */
  const std::vector<std::string>& OtherAddresses() const
  {
    return m_otherAddresses;
  }
  /** Emitted with the rows of the other instances when they have been read. */
  sigc::signal<void(const membership::InstancesListed&)>& SignalRead()
  {
    return m_read;
  }

private:
  void WriteOwnRow();
  void ReadRows();
  void TakeRows(const StorePage& aPage);
  void RetryLater(sigc::slot<void()> aWhat);
  /** Writes the rows of all live instances again after the store was restored
   * from an older copy, which may lack some of them. One instance suffices, so
   * only the first by rank writes. */
  void WriteAllRows();
  void WriteRows(const StoreCommit& aCommit);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  const membership::Roster& m_roster;
  StoreCalls m_calls;
  std::vector<std::string> m_otherAddresses;
  bool m_hasRead = false;
  net::Watch m_retry;
  net::Watch m_rewrite;
  sigc::signal<void(const membership::InstancesListed&)> m_read;
};

} // namespace ridgeferry::entry
