#pragma once

#include "EntryNode.h"
#include "PeerRows.h"
#include "Peers.h"
#include "StoreCalls.h"

#include <deque>
#include <ridgeferry/quarantine/Quarantine.h>
#include <span>

namespace ridgeferry::entry {

/**
 * Makes all instances quarantine the same suspects. Announces the crash records
 * of this instance to its peers, requests those of peers whose quarantined
 * suspects differ, and saves the records in the store for a time when no peer
 * is left to ask. Not thread-safe.
 */
class QuarantineShare
{
public:
  /** The source that is named for a crash record received with a heartbeat. */
  static constexpr std::string_view kFromPeer = "a peer";

  /** Receives a crash record from a peer or the store, its greatest possible
   * age, and the source for the log. */
  using RecordHandler = sigc::slot<
    void(const quarantine::CrashRecord&, Duration, std::string_view)>;

  /** Precondition: all arguments outlive this object. */
  QuarantineShare(EntryNode& aNode,
                  StoreGenerations& aGenerations,
                  Peers& aPeers,
                  PeerRows& aPeerRows,
                  const quarantine::Quarantine& aQuarantine,
                  RecordHandler aOnRecord);

  void Start();
  /** Returns whether this instance has received the quarantined calls from a
   * peer or the store. */
  bool IsKnown() const { return m_known; }
  /** When peers learn of crash records. */
  enum class When
  {
    AtOnce,
    WithNextHeartbeat,
  };

  /** Announces crash records that this instance has observed to all live peers,
   * with several heartbeats. A record may also say that its suspect was cleared
   * of the suspicion. */
  void Announce(std::span<const quarantine::ReportedCrash> aEndings,
                When aWhen);
  /** Must be called several times a second. */
  void Tick();

private:
  /** A crash record of this instance that is still announced. */
  struct AnnouncedRecord
  {
    Instant m_at;
    Instant m_crashedAt;
    quarantine::CrashRecord m_record;
    bool m_endsQuarantine = false;
  };

  /** Sets the records that the heartbeats contain, without those that have been
   * announced for long enough. */
  void UpdateHeartbeat();
  /** Returns how urgently peers need the record; higher is more urgent. */
  std::size_t UrgencyOf(const AnnouncedRecord& aRecord) const;
  void AddReportedRecords(std::span<const membership::CrashDigest> aEndings);
  void AddRecordsFromText(const std::string& aText, std::string_view aFrom);
  void NoteKnown(std::string_view aFrom);
  /** Requests the records of a peer whose quarantined calls differ, or reads
   * the store if this instance knows nothing and no peer does. */
  void AskPeers();
  void AskPeer(const std::string& aAddress);
  void ReadStore();
  /** Writes the records to the store if they have changed and this instance is
   * the first in the ranking of the live instances. */
  void WriteStore();
  /** Returns at most `aMost` crash records as JSON. */
  std::string Text(std::size_t aMost) const;
  /** Returns the answer to a peer that requests the records. */
  relay::TableSlice Slice() const;

  EntryNode& m_node;
  StoreGenerations& m_generations;
  StoreCalls m_calls;
  Peers& m_peers;
  PeerRows& m_peerRows;
  const quarantine::Quarantine& m_quarantine;
  RecordHandler m_onRecord;
  std::deque<AnnouncedRecord>
    m_announcedRecords; ///< Records of this instance, the oldest first.
  bool m_known = false;
  /** The list of instances is known, and with it whether there are peers. */
  bool m_listed = false;
  bool m_hasOthers = false; ///< The list contains other instances.
  bool m_asking = false;    ///< A read of a peer or of the store is under way.
  bool m_writing = false;
  /** Fingerprint of the quarantined calls that the store has. */
  std::uint64_t m_written = 0;
  /** At the last tick a peer had other quarantined calls. A peer is asked only
   * if that lasts for two ticks, as a difference that has just arisen often
   * disappears with the next heartbeat. */
  bool m_differed = false;
  /** After a failed request to the store: when the next one may be sent. */
  Instant m_storeAgainAt;
  Instant m_began;
};

} // namespace ridgeferry::entry
