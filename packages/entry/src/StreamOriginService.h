#pragma once

#include "EntryNode.h"
#include "ListCheck.h"
#include "PeerSocket.h"
#include "Peers.h"
#include "StreamOriginStore.h"

#include <map>
#include <ridgeferry/streams/OriginDecision.h>
#include <ridgeferry/streams/OriginHolders.h>
#include <ridgeferry/streams/OriginLookup.h>
#include <ridgeferry/streams/OriginTable.h>
#include <ridgeferry/streams/VersionHistory.h>
#include <sigc++/sigc++.h>
#include <span>

namespace ridgeferry::entry {

/** A stream that a caller takes up. */
struct StreamToFind
{
  streams::StreamKey m_key;
  /** The caller names the attempt that began it, so that there may be a record
   * of it. */
  bool m_isNamed = false;
  /** Service to which the call would go if nothing else were known. */
  std::string m_service;
};

/**
 * Tells other instances which software version began each stream that can be
 * resumed, and finds out which one began a stream that a caller takes up. Not
 * thread-safe.
 */
class StreamOriginService
{
public:
  using Decided = sigc::slot<void(const streams::OriginDecision&)>;

  /** The arguments must outlive this object. */
  StreamOriginService(EntryNode& aNode,
                      StoreGenerations& aGenerations,
                      Peers& aPeers,
                      PeerSocket& aSocket,
                      StoreReader& aMembers);

  void Start();
  /** Must be called when a configuration comes into force. */
  void UseRoutes();
  /** Records that the list of upstreams shows a member. */
  void NoteListed(const relay::Member& aMember);
  /** Must be called several times a second. `aFollows` tells whether this
   * instance reads the list of upstreams. */
  void NoteList(bool aFollows);
  /** Records that a stream began, and tells the instances that hold its record.
   * Must be called before its first event goes to the caller. */
  void NoteBegan(const streams::StreamKey& aKey,
                 const streams::StreamOrigin& aOrigin);
  /** Records that the caller of a stream has all of it. */
  void NoteWhole(const streams::StreamKey& aKey) { m_store.NoteWhole(aKey); }
  /**
   * Decides whether a stream that a caller takes up may go on. Calls back once,
   * perhaps before it returns: after 150 ms at the latest if an instance knows
   * the origin, else once the store has been asked about the list of upstreams
   * and about origins; see `ListCheck` and `StreamOriginStore` for how long
   * that takes.
   */
  void Find(const StreamToFind& aStream, const Decided& aDecided);
  /** Passes all records on, as this instance stops. */
  void HandOver();

private:
  /** A call that waits for the origin of its stream. */
  struct Waiting
  {
    StreamToFind m_stream;
    Decided m_decided;
  };

  void TakeMessage(const streams::OriginMessage& aMessage);
  void TakeRecord(const streams::OriginRecord& aRecord);
  /** What was found out so far about a stream that a caller takes up. */
  struct Findings
  {
    streams::LookupEnded m_lookup;
    bool m_isListProven = false; ///< See `streams::OriginEvidence`.
    bool m_isStoreUnread = false;
  };

  /** What is known of a stream once its lookup has ended. */
  streams::OriginEvidence EvidenceFor(const Findings& aFindings,
                                      std::string_view aService) const;
  /** Returns whether a call waits for the stream that could not go on by these
   * findings. */
  bool AnyRefused(const Findings& aFindings) const;
  /** Returns whether a caller who waits for the stream names it. */
  bool IsAnyNamed(const streams::StreamKey& aKey) const;
  /** Goes on by the list of upstreams, if that may prove that one version alone
   * has served. */
  void ConsiderList(const Findings& aFindings);
  /** Goes on by the origins in the store, if a record there would help. */
  void ConsiderStore(const Findings& aFindings);
  /** Decides on all calls that wait for the stream. */
  void Conclude(const Findings& aFindings);
  /** Returns the answer to one question, in a message of its own. */
  streams::OriginMessage AnswerTo(const streams::OriginQuestion& aQuestion);
  std::optional<streams::SoleVersion> SoleVersionOf(
    std::string_view aService) const;
  streams::OriginEvidence EvidenceFor(std::string_view aService) const;
  std::vector<streams::Holder> Holders() const;
  void Do(std::span<const streams::LookupAction> aActions);
  void Do(const streams::AskHolders& aAction);
  void Do(const streams::LookupEnded& aAction);
  void Tick();

  EntryNode& m_node;
  Peers& m_peers;
  PeerSocket& m_socket;
  std::string m_address; ///< IP:PORT for answers.
  streams::OriginTable m_table;
  streams::OriginLookups m_lookups;
  streams::VersionHistory m_history;
  StreamOriginStore m_store;
  ListCheck m_listCheck;
  std::multimap<streams::StreamKey, Waiting> m_waiting;
  bool m_hasList = false;
  Duration m_memory;
  net::Watch m_lookupTick; ///< Runs while a lookup is under way.
  net::Watch m_expiry;
};

} // namespace ridgeferry::entry
