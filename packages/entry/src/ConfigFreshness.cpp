#include "ConfigFreshness.h"

namespace ridgeferry::entry {

namespace {

/** Interval at which a peer is asked for a reading of the store's clock while
 * none is known. An instance that has just started can use no proof of its
 * peers before it has one. */
constexpr Duration kTick{ 200 };

} // namespace

ConfigFreshness::ConfigFreshness(EntryNode& aNode,
                                 const Peers& aPeers,
                                 PeerRows& aRows,
                                 StoreReader& aConfig)
  : m_node(aNode)
  , m_peers(aPeers)
  , m_rows(aRows)
  , m_config(aConfig)
{
}

void
ConfigFreshness::Start()
{
  m_config.SignalProved().connect(
    [this](const freshness::StoreMoment& aTold, Instant aAsked) {
      m_age.NoteRead(aTold, aAsked, m_node.Now());
    });
  m_rows.ServeClock([this] { return Clock().LatestReading(m_node.Now()); });
  m_rows.SignalClockRead().connect(
    [this](const freshness::StoreMoment& aTold, Instant aAsked) {
      m_age.NoteReading(aTold, aAsked, m_node.Now());
    });
  m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
}

void
ConfigFreshness::NotePeer(const membership::StoreView& aView)
{
  if (aView.m_configProof) {
    m_age.NotePeerProof(*aView.m_configProof,
                        m_config.Follower().ChangedPosition(),
                        m_node.Now());
  }
}

std::optional<freshness::TableProof>
ConfigFreshness::Proof() const
{
  return m_age.ProofFor(m_config.Follower().ChangedPosition());
}

std::optional<Duration>
ConfigFreshness::Age() const
{
  if (!m_unreadable) {
    return m_age.AgeAt(m_node.Now());
  }
  // What the store proves since then is that another one is the latest.
  const auto& until = m_unreadable->m_provenUntil;
  return until ? std::optional(m_node.Now() - *until) : std::nullopt;
}

bool
ConfigFreshness::MayBeOld() const
{
  return m_unreadable || freshness::MayBeOld({ Age(), KnownLag() });
}

bool
ConfigFreshness::HasRead(StorePosition aPosition) const
{
  return m_config.Follower().Position() >= aPosition &&
         (!m_unreadable || aPosition < m_unreadable->m_at);
}

void
ConfigFreshness::NoteUnreadable()
{
  if (!m_unreadable) {
    m_unreadable = { m_config.Follower().ChangedPosition(),
                     m_node.Now(),
                     m_age.ProvenUntil() };
  }
}

bool
ConfigFreshness::IsReplaced() const
{
  return m_unreadable && m_node.Now() - m_unreadable->m_since >=
                           m_node.m_settings.m_keys.m_configApply;
}

keys::KeyRules
ConfigFreshness::Rules() const
{
  keys::KeyRules rules = m_node.m_settings.m_keys;
  if (m_unreadable && !rules.m_revocation) {
    // Without that bound only instances that reach the store must know of keys
    // that were taken away. This one does reach it.
    rules.m_revocation = rules.m_configApply;
  }
  return rules;
}

bool
ConfigFreshness::AllowsKeys() const
{
  return keys::IsFreshForKeys(Rules(), Age());
}

keys::KeyVerdict
ConfigFreshness::CheckKey(std::string_view aKey, bool aIsPublicRoute) const
{
  return keys::CheckKey(
    m_node.m_routes->Organisations(), Rules(), { aKey, aIsPublicRoute, Age() });
}

void
ConfigFreshness::Tick()
{
  const StoreGeneration generation = m_config.Follower().Generation();
  if (!Clock().WantsReading(generation, m_node.Now())) {
    return;
  }
  const auto peer = m_peers.PickPeer([](const membership::Heartbeat& aPeer) {
    return aPeer.m_store && aPeer.m_store->m_configProof;
  });
  if (peer) {
    m_rows.AskClock(*peer, generation);
  }
}

} // namespace ridgeferry::entry
