#pragma once

#include "EntryNode.h"
#include "StoreCalls.h"

#include <optional>
#include <ridgeferry/streams/OriginLog.h>
#include <ridgeferry/streams/VersionHistory.h>
#include <sigc++/sigc++.h>
#include <string>
#include <vector>

namespace ridgeferry::entry {

/**
 * Keeps the origins of streams in the store: this instance writes those that
 * began here into a row of its own and reads the rows of all, so that they
 * outlast the loss of all instances. Not thread-safe.
 */
class StreamOriginStore
{
public:
  using RecordHandler = sigc::slot<void(const streams::OriginRecord&)>;
  /** Receives whether the rows were read. */
  using ReadDone = sigc::slot<void(bool)>;

  /** `aOnRecord` gets each record that is read. `aNode`, `aGenerations` and
   * `aHistory` must outlive this object. */
  StreamOriginStore(EntryNode& aNode,
                    StoreGenerations& aGenerations,
                    const streams::VersionHistory& aHistory,
                    RecordHandler aOnRecord);

  void Start();
  /** Sets the longest time for which a record that is read is kept. */
  void SetMemory(Duration aMemory) { m_memory = aMemory; }
  /** See `streams::OriginLog`. */
  void NoteBegan(const streams::OriginRecord& aRecord);
  void NoteWhole(const streams::StreamKey& aKey) { m_log.NoteWhole(aKey); }
  /**
   * Reads the rows of all instances, or joins the read that is under way.
   * Within a second of the last read they are not read again. Calls back once,
   * perhaps before it returns, and after 300 ms for each 500 instances at the
   * latest.
   */
  void Read(const ReadDone& aDone);

private:
  void Tick();
  void Write(const std::vector<streams::OriginRecord>& aRecords);
  void ReadPage(std::string aFromKey);
  void TakePage(const StoreAnswer& aAnswer);
  void TakeRow(const relay::FollowedRow& aRow);
  void EndRead(bool aIsRead);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  StoreCalls m_calls;
  const streams::VersionHistory& m_history;
  RecordHandler m_onRecord;
  streams::OriginLog m_log;
  Duration m_memory{};
  /** The rows have been read once. Before that nothing is written, as this
   * instance's row may hold what an earlier process of it wrote. */
  bool m_hasRead = false;
  bool m_isReading = false;
  bool m_isLastReadDone = false;
  std::optional<Instant> m_readAt; ///< When the last read began.
  std::size_t m_recordsRead = 0;   ///< By the read that is under way.
  /** What the read that is under way found in the own row. */
  std::vector<streams::OriginRecord> m_ownRecords;
  std::vector<ReadDone> m_waiting;
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
