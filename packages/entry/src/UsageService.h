#pragma once

#include "EntryNode.h"
#include "OrderLease.h"
#include "PeerRows.h"
#include "StoreCalls.h"
#include "TrueTime.h"

#include <ridgeferry/usage/UsageCollector.h>
#include <ridgeferry/usage/UsageReporter.h>
#include <set>

namespace ridgeferry::entry {

/** Counts the calls of each organisation that upstreams begin to run, and has
 * the holder of the lease report the counts of all instances to the platform.
 * Not thread-safe. */
class UsageService
{
public:
  /** The arguments must outlive this object. */
  UsageService(EntryNode& aNode,
               StoreGenerations& aGenerations,
               const Peers& aPeers,
               PeerRows& aRows,
               const TrueTime& aTime,
               OrderLease& aLease);

  /** Does nothing where no reports are due. */
  void Start();
  /** Counts a call that an upstream began to run `aAgo` before now. */
  void NoteBegan(const std::string& aOrganisation, Duration aAgo = {});

private:
  bool IsEnabled() const;
  Duration Window() const;
  void Tick();
  /** Asks live peers for their counts of windows that have ended. */
  void Collect(WallTime aNow);
  void AskPeer(const usage::ProcessId& aProcess, const std::string& aAddress);
  /** Returns whether all live instances reported after the window's end. */
  bool HasAll(usage::WindowIndex aWindow) const;
  relay::TableSlice OwnRows() const;
  void Handle(const usage::ReportEvent& aEvent);
  void Do(const usage::ReadReportRow& aAction);
  void Do(const usage::WriteReportRow& aAction);
  void Do(const usage::SendReport& aAction);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  StoreCalls m_calls;
  const Peers& m_peers;
  PeerRows& m_rows;
  const TrueTime& m_time;
  OrderLease& m_lease;
  usage::CountsByWindow m_own;
  usage::UsageCollector m_collector;
  usage::UsageReporter m_reporter;
  std::set<usage::ProcessId> m_asked; ///< Peers whose answer is awaited.
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
