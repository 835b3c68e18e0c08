#pragma once

#include "EntryNode.h"
#include "PeerRows.h"
#include "StoreReader.h"

#include <ridgeferry/freshness/ProvenAge.h>
#include <ridgeferry/freshness/TableAge.h>
#include <ridgeferry/keys/KeyCheck.h>

namespace ridgeferry::entry {

/** Knows how old the configuration in force is proven to be, and decides with
 * that age whether calls may run by their keys. The proofs come from this
 * instance's reads of the store and from heartbeats of its peers. Not
 * thread-safe. */
class ConfigFreshness
{
public:
  /** The arguments must outlive this object. */
  ConfigFreshness(EntryNode& aNode,
                  const Peers& aPeers,
                  PeerRows& aRows,
                  StoreReader& aConfig);

  void Start();
  /** Handles what a peer reports of its reads of the store. */
  void NotePeer(const membership::StoreView& aView);
  /** Returns the position of the last change of the configuration here. */
  StorePosition ChangedPosition() const
  {
    return m_config.Follower().ChangedPosition();
  }
  /** Returns whether all changes up to `aPosition` are in force. */
  bool HasRead(StorePosition aPosition) const;
  /** Notes that the latest configuration could not be read, so that an older
   * one stays in force. */
  void NoteUnreadable();
  /** Notes that the latest configuration could be read. */
  void NoteReadable() { m_unreadable.reset(); }
  /** Returns whether the configuration in force is known to be an older one and
   * may decide on no call any more. */
  bool IsReplaced() const;
  /** Handles the word of another instance that it has read a change of the
   * configuration at `aPosition`. */
  void NoteTold(StorePosition aPosition) { m_config.NoteAhead(aPosition); }
  /** Returns the proof for peers; std::nullopt if there is none. */
  std::optional<freshness::TableProof> Proof() const;
  /** Returns the proven age of the configuration; std::nullopt if nothing is
   * proven. */
  std::optional<Duration> Age() const;
  /** Returns for how long another instance has been known to have read a later
   * change than this one; std::nullopt if none is known to. */
  std::optional<Duration> KnownLag() const { return m_config.KnownLag(); }
  /** Returns whether the configuration in force may be an older one (see
   * `freshness::MayBeOld`). A refusal that rests on it must then let the caller
   * come back. */
  bool MayBeOld() const;
  /** Returns whether calls may be sent to upstreams by their keys now. */
  bool AllowsKeys() const;
  /** Precondition: a configuration is in force. */
  keys::KeyVerdict CheckKey(std::string_view aKey, bool aIsPublicRoute) const;
  const freshness::StoreClock& Clock() const { return m_age.Clock(); }

private:
  /** A configuration that could not be read. */
  struct Unreadable
  {
    StorePosition m_at;
    Instant m_since;
    /** Until then the configuration in force is proven to be the latest. */
    std::optional<Instant> m_provenUntil;
  };

  void Tick();
  keys::KeyRules Rules() const;

  EntryNode& m_node;
  const Peers& m_peers;
  PeerRows& m_rows;
  StoreReader& m_config;
  freshness::ProvenAge m_age;
  /** The first configuration after the one in force that could not be read;
   * std::nullopt if the latest one is in force. */
  std::optional<Unreadable> m_unreadable;
  net::Watch m_tick;
};

} // namespace ridgeferry::entry
