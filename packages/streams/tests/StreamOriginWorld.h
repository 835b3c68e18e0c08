#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <ridgeferry/streams/OriginDecision.h>
#include <ridgeferry/streams/OriginHolders.h>
#include <ridgeferry/streams/OriginLog.h>
#include <ridgeferry/streams/OriginLookup.h>
#include <ridgeferry/streams/OriginMessage.h>
#include <ridgeferry/streams/OriginTable.h>
#include <ridgeferry/streams/VersionHistory.h>
#include <set>
#include <string>
#include <vector>

namespace ridgeferry::streams {

/** Whom an instance tells of a stream that begins. */
enum class Telling : std::uint8_t
{
  Holders, ///< Those that rank first for the stream.
  All,     ///< Every live instance.
  Nobody,
};

/** What is played. Rates are per second, for all instances together. */
struct WorldTerms
{
  int m_instances = 7;
  int m_dataCentres = 3;
  Telling m_telling = Telling::Holders;
  double m_streams = 40;
  double m_kills = 0;
  double m_suspensions = 0;
  /** Streams that break although their instance lives. */
  double m_breaks = 2;
  double m_lost = 0.01; ///< Share of datagrams that are lost.
  Duration m_longestDelay{ 10 };
  /** How far the lists of two instances may lag. */
  Duration m_listLag{ 400 };
  /** How often the engines of the oldest version give way to a new one, one
   * after the other; 0: never. */
  Duration m_rolloutEvery{};
  /** A data centre is cut off from the others for part of the time. */
  bool m_hasCut = false;
  /** And from the store. */
  bool m_cutsStore = false;
  /** Longest time until an instance has read the list again behind a suspension
   * or a cut from the store. */
  Duration m_longestCatchUp{};
  /** Longest time from the beginning of a stream to a try that takes it up. One
   * version alone must have served for as long to prove an origin. */
  Duration m_memory{ 60'000 };
  /** How often all instances are lost at once; 0: never. */
  Duration m_allLostEvery{};
  /** Share of the writes to the store that are not answered. Each second one of
   * them is done all the same, up to `m_longestWrite` later. */
  double m_lostWrites = 0;
  Duration m_longestWrite{ 60 };
  /** The store is away for the second half of each so long; 0: never. */
  Duration m_storeAwayEvery{};
  /** With each loss of all instances the store comes back from a copy of before
   * the loss. */
  bool m_hasOldCopies = false;
  Duration m_longestStream{ 2000 };
  Duration m_length{ 12'000 };
};

struct WorldResult
{
  int m_takenUp = 0;
  int m_goOn = 0;
  /** Of those whose instance and version were there all the while. */
  int m_takenUpInTouch = 0;
  int m_goOnInTouch = 0;
  /** Of those that broke off with all instances, and whose version was there
   * when their callers came back. */
  int m_takenUpBehindLoss = 0;
  int m_goOnBehindLoss = 0;
  int m_mixed = 0; ///< Streams that two versions wrote.
  std::uint64_t m_messages = 0;
};

/** Instances that begin streams, lose them and take them up again, in virtual
 * time, with the decisions of this package. Not thread-safe. */
class StreamOriginWorld
{
public:
  StreamOriginWorld(const WorldTerms& aTerms, std::uint64_t aSeed);

  WorldResult Play();

private:
  struct Engine
  {
    int m_version = 0;
    Instant m_listedAt;
    std::optional<Instant> m_goneAt;
  };
  struct Node
  {
    std::size_t m_dataCentre = 0;
    std::string m_address;
    bool m_alive = true;
    Instant m_changedAt; ///< Of its last start, end, suspension or return.
    std::optional<Instant> m_suspendedUntil;
    std::optional<Instant> m_startsAt;
    Duration m_lag{};
    Instant m_listedAsOf; ///< What moment of the store its list shows.
    Instant m_catchesUpAt;
    /** Since when its reads of the store fail. */
    std::optional<Instant> m_cutAt;
    OriginTable m_table;
    OriginLookups m_lookups;
    VersionHistory m_history;
    OriginLog m_log;
    bool m_hasReadStore = false;
    std::optional<Instant> m_readStoreAt; ///< When a read began.
    bool m_isReadingStore = false;
    std::uint64_t m_life = 0;
  };
  struct Stream
  {
    StreamKey m_key;
    int m_version = 0;
    std::optional<std::size_t> m_node; ///< Where it runs.
    Instant m_endsAt;
    Instant m_nextTry;
    int m_tries = 0;
    bool m_isWaiting = false;           ///< For the end of a lookup.
    std::optional<LookupEnded> m_ended; ///< While the store is read.
    std::size_t m_askedAt = 0;
    bool m_isCounted = false; ///< As taken up.
    bool m_isInTouch = false; ///< When it was taken up.
    bool m_isLostWithAll = false;
    bool m_isBehindLoss = false; ///< Counted as taken up behind a loss.
  };
  /** An instance's row of the store. */
  struct StoredRow
  {
    std::vector<OriginRecord> m_records;
    Instant m_at;
  };
  using StoredRows = std::map<std::size_t, StoredRow>; ///< By instance.
  struct StoreCall
  {
    std::size_t m_node = 0;
    std::uint64_t m_life = 0; ///< Of the instance that made it.
    /** What is written; std::nullopt in a read. */
    std::optional<std::vector<OriginRecord>> m_records;
    bool m_isDone = true;
    bool m_isAnswered = true;
  };
  struct Datagram
  {
    std::size_t m_to = 0;
    OriginMessage m_message;
  };

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  std::size_t DrawBelow(std::size_t aBound) { return m_random() % aBound; }
  /** Whether something that happens so often does in this step. */
  bool Happens(double aPerSecond);
  bool Runs(std::size_t aNode) const;
  bool IsCutOn() const;
  bool IsCut(std::size_t aLeft, std::size_t aRight) const;
  bool IsCutFromStore(std::size_t aNode) const;
  /** Whether an instance takes itself to follow the list. */
  bool HasList(std::size_t aNode) const;
  /** Whether a read of the store shows that an instance's list is the present
   * one. */
  bool IsListProven(std::size_t aNode) const;
  void MoveLists();
  bool IsInTouch(std::size_t aNode) const;
  /** Whether one instance takes the other for live. */
  bool SeesLive(std::size_t aNode, std::size_t aOther) const;
  std::vector<Holder> OthersOf(std::size_t aNode) const;
  /** Versions of the engines that an instance sees in its list. */
  std::vector<int> Listed(std::size_t aNode) const;
  int EnginesOf(int aVersion) const;
  /** An instance takes note of the versions in its list. */
  void NoteListed(std::size_t aNode);

  void MoveEngines();
  void MoveNodes();
  void Begin();
  void Break();
  void TryAgain();
  void TakeUp(Stream& aStream, std::size_t aNode);
  void Decide(Stream& aStream,
              std::size_t aNode,
              const OriginEvidence& aEvidence);
  void Tell(std::size_t aNode, const Stream& aStream);
  void Send(std::size_t aFrom,
            const OriginMessage& aMessage,
            const std::vector<std::string>& aTo);
  void Deliver();
  void Take(std::size_t aNode, const OriginMessage& aMessage);
  void Do(std::size_t aNode, const std::vector<LookupAction>& aActions);
  /** What an instance knows of a stream. */
  OriginEvidence EvidenceOf(std::size_t aNode, const Stream& aStream) const;
  /** Decides on the streams at an instance whose lookups have ended. */
  void DecideWaiting(std::size_t aNode, bool aIsStoreUnread);
  void EndNode(Node& aNode);
  void LoseAll();

  // ---- the store ----
  bool IsStoreAway() const;
  void WriteOrigins(std::size_t aNode);
  /** Returns whether a read is under way behind the call. */
  bool ReadOrigins(std::size_t aNode);
  void AnswerStoreCalls();
  void TakeStored(std::size_t aNode);

  WorldTerms m_terms;
  std::mt19937_64 m_random;
  Instant m_now{ Duration{ 1'000'000 } };
  Instant m_begin = m_now;
  std::vector<Node> m_nodes;
  std::vector<std::string> m_dataCentres;
  std::vector<Engine> m_engines;
  int m_latestVersion = 1;
  std::optional<Instant> m_nextChange;
  std::map<std::uint64_t, Stream> m_streams;
  std::uint64_t m_lastStream = 0;
  std::multimap<Instant, Datagram> m_underWay;
  StoredRows m_stored;
  StoredRows m_copy;
  std::multimap<Instant, StoreCall> m_storeCalls;
  std::optional<Instant> m_nextLoss;
  WorldResult m_result;
};

} // namespace ridgeferry::streams
