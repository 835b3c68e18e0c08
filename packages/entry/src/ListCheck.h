#pragma once

#include "EntryNode.h"
#include "StoreCalls.h"
#include "StoreReader.h"

#include <optional>
#include <sigc++/sigc++.h>
#include <vector>

namespace ridgeferry::entry {

/**
 * Finds out whether the list of upstreams that this instance holds is up to
 * date, by a read of the store that begins after the question. Not thread-safe.
 */
class ListCheck
{
public:
  /** Receives whether the list held all that the store had acknowledged when
   * the question was put. False if the store did not answer. */
  using Done = sigc::slot<void(bool)>;

  /** `aNode`, `aGenerations` and `aMembers` must outlive this object. */
  ListCheck(EntryNode& aNode,
            StoreGenerations& aGenerations,
            StoreReader& aMembers);

  /**
   * Calls `aDone` once, never before it returns. While the store answers, that
   * takes a call to it, and up to 300 ms more if another check has just been
   * made: checks that wait share a read. Each page of a read that the store
   * does not answer ends after 600 ms at the latest.
   */
  void Check(Done aDone);

private:
  /** Plans the next read, no earlier than the last one allows. */
  void Plan();
  void Read();
  void Send(const StoreRead& aRead);
  void TakeAnswer(const StoreAnswer& aAnswer, StoreGeneration aGeneration);
  /** Reads the rows themselves, where the store no longer knows what has
   * changed: instances on standby may have read last long ago. */
  void ReadRows(std::string aFromKey);
  void TakePage(const StorePage& aPage, StoreGeneration aGeneration);
  void End(bool aIsProven, std::string_view aFound);

  EntryNode& m_node;
  StoreReader& m_members;
  StoreCalls m_calls;
  StorePosition m_askedAfter; ///< What the list held as the read began.
  bool m_isReading = false;
  std::optional<Instant> m_readAt; ///< When the last read began.
  std::vector<Done> m_underWay;    ///< Wait for the read that is under way.
  std::vector<Done> m_waiting;     ///< Wait for the next one.
  net::Watch m_next;
};

} // namespace ridgeferry::entry
