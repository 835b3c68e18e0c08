#pragma once

#include "EntryNode.h"
#include "StoreGenerations.h"

#include <functional>
#include <ridgeferry/membership/Roster.h>
#include <ridgeferry/membership/StoreDuty.h>
#include <ridgeferry/net/UdpSocket.h>
#include <ridgeferry/relay/HallLoads.h>
#include <ridgeferry/relay/LeavingNews.h>
#include <set>
#include <sigc++/sigc++.h>
#include <span>

namespace ridgeferry::entry {

/**
 * Talk between the instances of a deployment: each tells the others several
 * times a second what it has under way and which upstreams leave. Instances
 * find one another by rows of the store, written before they are read, and by
 * the seeds; once found, they need neither. Not thread-safe.
 */
class Peers
{
public:
  /** A followed table of the store. */
  enum class Table : std::uint8_t
  {
    Config,
    Members,
  };

  /** Precondition: both outlive it. */
  Peers(EntryNode& aNode, StoreGenerations& aGenerations);

  tl::expected<void, net::NetError> Start();
  /** This instance learned that an upstream leaves: tell the others. */
  void NoteLeaving(const UpstreamLife& aUpstream);
  /** It has gone from the list: there is nothing left to tell. */
  void NoteGone(const std::string& aUpstream);
  void SetState(bool aReady, bool aLeaving);
  /** What this instance knows of engines' parts ahead of the list: told at once
   * and with each talk. */
  void SetPartNews(std::vector<relay::PartNews> aNews);
  /** What this instance saw lately of calls that end upstreams, and the calls
   * that it holds: told with each talk. */
  void SetEndings(std::vector<membership::EndingDigest> aEndings,
                  std::optional<std::uint64_t> aHeldCalls);
  /** How long news are told, so that each peer of the own hall hears them some
   * times. */
  Duration NewsFor() const;
  /** Tells all live instances at once what this one says of itself. */
  void TellAll();
  /** IP:PORT of a live instance that holds other calls than those named;
   * nothing: none does. */
  std::optional<std::string> PickHoldingOther(std::uint64_t aHeldCalls) const;
  /** The same of one that has learned which calls are held. */
  std::optional<std::string> PickHoldingAny() const;
  /** Place of this instance among the live ones in an order for a topic. */
  std::size_t Rank(std::string_view aTopic) const
  {
    return m_roster.Rank(aTopic);
  }

  /** How far this instance has read the store, for the others. */
  void SetStoreView(const membership::StoreView& aView) { m_storeView = aView; }
  /**
   * Whether this instance is one of the few of its hall that keep an eye on
   * the store; always so if it hears of none whose reads succeed.
   */
  bool IsOnDuty() const;
  /** The same by its place alone. */
  bool IsOnDutyByPlace() const;
  /** See `membership::StoreDuty::ReadsSince`. */
  std::optional<Instant> HallReadsSince(std::string_view aHall,
                                        StoreGeneration aGeneration) const;
  /** Halls of which some instance was heard. */
  std::set<std::string> Halls() const;
  /** Tells the live instances of this hall at once what this one says of
   * itself. */
  void TellHall();
  /** IP:PORT of an instance that has read changes of a table after a position:
   * one of this hall, if there is any. Before any was heard, one of those that
   * the store lists. */
  std::optional<std::string> PickAhead(Table aTable,
                                       StorePosition aAfter) const;
  /** The store's rows of instances were read. */
  bool HasListed() const { return m_hasListed; }
  /** The same, when it happens; whether there are others. */
  sigc::signal<void(bool)>& SignalListed() { return m_listed; }

  /** How far another instance has read the store; lost: for all that is heard,
   * the store is away. */
  sigc::signal<void(const membership::StoreView&)>& SignalStoreView()
  {
    return m_storeViews;
  }
  /** Another instance has seen upstreams end under calls. */
  sigc::signal<void(std::span<const membership::EndingDigest>)>& SignalEndings()
  {
    return m_endingsTold;
  }
  /** Another instance says that an upstream leaves. */
  sigc::signal<void(const UpstreamLife&)>& SignalLeaving() { return m_leaves; }

private:
  membership::StoreDuty Duty() const;
  void TellStoreView(membership::StoreView aView);
  void Handle(const membership::RosterEvent& aEvent);
  void OnDatagram(std::string_view aBytes);
  /** Of the live instances of which `aIs` holds, one that is drawn. */
  std::optional<std::string> PickPeer(
    const std::function<bool(const membership::Heartbeat&)>& aIs) const;
  void SendTo(const std::set<std::string>& aAddresses);
  /** What this instance says of itself, without loads. */
  membership::Heartbeat Own() const;
  membership::Heartbeat WithLoads(
    std::span<const relay::OtherLoad> aLoads) const;
  void Send(const membership::Heartbeat& aHeartbeat,
            const std::set<std::string>& aAddresses);
  void SendHallLoads(const std::set<std::string>& aAddresses);
  void TakeLoads(const membership::Heartbeat& aHeartbeat);
  void ForgetHalls();
  void ForgetDead();
  void WriteOwnRow();
  void ReadRows();
  void TakeRows(const StorePage& aPage);
  /** Another instance says so. */
  void TakeLeaving(const UpstreamLife& aUpstream);
  void RetryLater(sigc::slot<void()> aWhat);
  void NoteGeneration();

  /** The rows of all instances that are heard, where one suffices to write
   * them: behind a copy of the store that lacks some. */
  void WriteAllRows();
  void WriteRows(const StoreCommit& aCommit);

  EntryNode& m_node;
  StoreGenerations& m_generations;
  membership::Roster m_roster;
  std::uint64_t m_incarnation;
  bool m_ready = false;
  bool m_leaving = false;
  relay::LeavingNews m_news;
  membership::StoreView m_storeView;
  std::vector<relay::PartNews> m_partNews;
  std::vector<membership::EndingDigest> m_endings;
  std::optional<std::uint64_t> m_heldCalls;
  std::set<std::string> m_counted; ///< Instances whose loads are counted.
  relay::HallLoads m_hallLoads;    ///< Of this hall.
  /** Other halls whose sums are counted, and when they came last. */
  std::map<std::string, Instant> m_countedHalls;
  std::unique_ptr<net::UdpSocket> m_socket;
  net::Watch m_tick;
  net::Watch m_retry;
  net::Watch m_rewrite;
  std::vector<std::string> m_listedAddresses;
  bool m_hasListed = false;
  sigc::signal<void(bool)> m_listed;
  sigc::signal<void(const UpstreamLife&)> m_leaves;
  sigc::signal<void(std::span<const membership::EndingDigest>)> m_endingsTold;
  sigc::signal<void(const membership::StoreView&)> m_storeViews;
};

} // namespace ridgeferry::entry
