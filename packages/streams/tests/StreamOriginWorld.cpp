#include "StreamOriginWorld.h"

#include <algorithm>
#include <ridgeferry/base/Hash.h>
#include <utility>

namespace ridgeferry::streams {

namespace {

constexpr Duration kStep{ 5 };
/** How often an instance looks at its list. */
constexpr Duration kListedEvery{ 100 };
constexpr const char* kService = "s";
constexpr int kEngines = 12;
/** From the start of one engine of a rollout to that of the next. */
constexpr Duration kNextEngine{ 400 };
/** How long an old engine of a rollout serves beside the new one. */
constexpr Duration kBeside{ 1000 };
/** From the end of an instance until the others take it for dead. */
constexpr Duration kDetection{ 500 };
constexpr Duration kRestart{ 1500 };
/** Time without trouble from which on an instance counts as in touch. */
constexpr Duration kContact{ 3000 };
constexpr int kTries = 5;
constexpr double kStepsPerSecond = 1000.0 / 5;
/** Some time before a loss: what the store's copy misses. */
constexpr Duration kCopyAge{ 1500 };
/** Until an instance notes that its reads of the store fail. */
constexpr Duration kStoreLostAfter{ 2800 };

std::string
NameOf(int aVersion)
{
  return "v" + std::to_string(aVersion);
}

} // namespace

StreamOriginWorld::StreamOriginWorld(const WorldTerms& aTerms,
                                     std::uint64_t aSeed)
  : m_terms(aTerms)
  , m_random(aSeed)
{
  for (int i = 0; i < m_terms.m_dataCentres; ++i) {
    m_dataCentres.push_back("dc" + std::to_string(i));
  }
  for (int i = 0; i < m_terms.m_instances; ++i) {
    Node& node = m_nodes.emplace_back();
    node.m_dataCentre = static_cast<std::size_t>(i % m_terms.m_dataCentres);
    node.m_address = "n" + std::to_string(i);
    node.m_changedAt = m_now - kContact;
    node.m_lag = Duration(static_cast<int>(
      Draw() * static_cast<double>(m_terms.m_listLag.count())));
    node.m_listedAsOf = m_now - node.m_lag;
    node.m_catchesUpAt = m_now;
  }
  for (int i = 0; i < kEngines; ++i) {
    m_engines.push_back({ m_latestVersion, m_now - Duration{ 10'000 }, {} });
  }
  if (m_terms.m_rolloutEvery.count() > 0) {
    m_nextChange = m_now + m_terms.m_rolloutEvery / 4;
  }
  if (m_terms.m_allLostEvery.count() > 0) {
    m_nextLoss = m_now + m_terms.m_allLostEvery;
  }
}

bool
StreamOriginWorld::Happens(double aPerSecond)
{
  return Draw() < aPerSecond / kStepsPerSecond;
}

bool
StreamOriginWorld::Runs(std::size_t aNode) const
{
  return m_nodes[aNode].m_alive && !m_nodes[aNode].m_suspendedUntil;
}

bool
StreamOriginWorld::IsCut(std::size_t aLeft, std::size_t aRight) const
{
  const bool leftIsCut = m_nodes[aLeft].m_dataCentre == 0;
  const bool rightIsCut = m_nodes[aRight].m_dataCentre == 0;
  return IsCutOn() && leftIsCut != rightIsCut;
}

bool
StreamOriginWorld::IsCutOn() const
{
  constexpr Duration kCycle{ 8000 };
  constexpr Duration kCutFor{ 4000 };
  return m_terms.m_hasCut && (m_now - m_begin) % kCycle >= kCycle - kCutFor;
}

bool
StreamOriginWorld::IsCutFromStore(std::size_t aNode) const
{
  return m_terms.m_cutsStore && m_nodes[aNode].m_dataCentre == 0 && IsCutOn();
}

bool
StreamOriginWorld::HasList(std::size_t aNode) const
{
  const auto& cutAt = m_nodes[aNode].m_cutAt;
  return !cutAt || m_now - *cutAt < kStoreLostAfter;
}

bool
StreamOriginWorld::IsListProven(std::size_t aNode) const
{
  const Instant asOf = m_nodes[aNode].m_listedAsOf;
  return !IsCutFromStore(aNode) &&
         std::none_of(
           m_engines.begin(), m_engines.end(), [&](const Engine& aEngine) {
             return aEngine.m_listedAt > asOf ||
                    (aEngine.m_goneAt && *aEngine.m_goneAt > asOf);
           });
}

void
StreamOriginWorld::MoveLists()
{
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    Node& node = m_nodes[i];
    const Duration catchUp(static_cast<int>(
      Draw() * static_cast<double>(m_terms.m_longestCatchUp.count())));
    if (IsCutFromStore(i)) {
      node.m_cutAt = node.m_cutAt.value_or(m_now);
      node.m_catchesUpAt = m_now + catchUp;
    } else if (!Runs(i)) {
      node.m_catchesUpAt = m_now + catchUp;
    } else if (m_now >= node.m_catchesUpAt) {
      node.m_cutAt.reset();
      node.m_listedAsOf = std::max(node.m_listedAsOf, m_now - node.m_lag);
    }
  }
}

bool
StreamOriginWorld::IsInTouch(std::size_t aNode) const
{
  return m_now - m_nodes[aNode].m_changedAt >= kContact;
}

bool
StreamOriginWorld::SeesLive(std::size_t aNode, std::size_t aOther) const
{
  const Node& other = m_nodes[aOther];
  const bool isDead = !other.m_alive && m_now - other.m_changedAt >= kDetection;
  return !isDead && !IsCut(aNode, aOther);
}

std::vector<Holder>
StreamOriginWorld::OthersOf(std::size_t aNode) const
{
  std::vector<Holder> out;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (i != aNode && SeesLive(aNode, i)) {
      out.push_back({ Hash64(m_nodes[i].m_address),
                      m_dataCentres[m_nodes[i].m_dataCentre],
                      m_nodes[i].m_address });
    }
  }
  return out;
}

std::vector<int>
StreamOriginWorld::Listed(std::size_t aNode) const
{
  const Instant seen = m_nodes[aNode].m_listedAsOf;
  std::vector<int> out;
  for (const Engine& engine : m_engines) {
    if (engine.m_listedAt <= seen &&
        (!engine.m_goneAt || *engine.m_goneAt > seen)) {
      out.push_back(engine.m_version);
    }
  }
  return out;
}

int
StreamOriginWorld::EnginesOf(int aVersion) const
{
  return static_cast<int>(std::count_if(
    m_engines.begin(), m_engines.end(), [&](const Engine& aEngine) {
      return aEngine.m_version == aVersion && !aEngine.m_goneAt;
    }));
}

void
StreamOriginWorld::MoveEngines()
{
  if (!m_nextChange || m_now < *m_nextChange) {
    return;
  }
  const auto old = std::find_if(
    m_engines.begin(), m_engines.end(), [&](const Engine& aEngine) {
      return aEngine.m_version < m_latestVersion && !aEngine.m_goneAt;
    });
  if (old == m_engines.end()) {
    ++m_latestVersion;
    m_nextChange = m_now + m_terms.m_rolloutEvery;
    return;
  }
  old->m_goneAt = m_now + kBeside;
  m_engines.push_back({ m_latestVersion, m_now, {} });
  m_nextChange = m_now + kNextEngine;
}

void
StreamOriginWorld::MoveNodes()
{
  if (Happens(m_terms.m_kills)) {
    EndNode(m_nodes[DrawBelow(m_nodes.size())]);
  }
  LoseAll();
  if (Happens(m_terms.m_suspensions)) {
    Node& node = m_nodes[DrawBelow(m_nodes.size())];
    node.m_suspendedUntil = m_now + Duration{ 200 + m_random() % 2000 };
  }
  for (Node& node : m_nodes) {
    if (node.m_suspendedUntil && m_now >= *node.m_suspendedUntil) {
      node.m_suspendedUntil.reset();
      node.m_changedAt = m_now;
    }
    if (node.m_startsAt && m_now >= *node.m_startsAt) {
      node.m_startsAt.reset();
      node.m_alive = true;
      node.m_changedAt = m_now;
      node.m_table = {};
      node.m_lookups = {};
      node.m_history = {};
      node.m_log = {};
      node.m_hasReadStore = false;
      node.m_readStoreAt.reset();
      node.m_isReadingStore = false;
      ++node.m_life;
    }
  }
}

void
StreamOriginWorld::EndNode(Node& aNode)
{
  aNode.m_alive = false;
  aNode.m_changedAt = m_now;
  aNode.m_startsAt = m_now + kRestart;
}

void
StreamOriginWorld::LoseAll()
{
  if (!m_nextLoss) {
    return;
  }
  if (m_now + kCopyAge == *m_nextLoss) {
    m_copy = m_stored;
  }
  if (m_now < *m_nextLoss) {
    return;
  }
  m_nextLoss = m_now + m_terms.m_allLostEvery;
  for (Node& node : m_nodes) {
    EndNode(node);
  }
  for (auto& [id, stream] : m_streams) {
    stream.m_isLostWithAll = stream.m_node.has_value();
  }
  if (m_terms.m_hasOldCopies) {
    m_stored = m_copy;
    m_storeCalls.clear();
  }
}

void
StreamOriginWorld::Begin()
{
  std::poisson_distribution<int> count(m_terms.m_streams / kStepsPerSecond);
  for (int i = count(m_random); i > 0; --i) {
    const std::size_t node = DrawBelow(m_nodes.size());
    const std::vector<int> listed = Listed(node);
    if (!Runs(node) || listed.empty()) {
      continue;
    }
    Stream stream;
    stream.m_key = { Hash64("stream" + std::to_string(++m_lastStream)) };
    stream.m_version = listed[DrawBelow(listed.size())];
    stream.m_node = node;
    stream.m_endsAt =
      m_now + Duration{ 200 + m_random() % m_terms.m_longestStream.count() };
    Tell(node, stream);
    m_streams.emplace(m_lastStream, stream);
  }
}

void
StreamOriginWorld::Tell(std::size_t aNode, const Stream& aStream)
{
  const OriginRecord record{ aStream.m_key,
                             { kService, NameOf(aStream.m_version) },
                             m_terms.m_memory };
  Node& node = m_nodes[aNode];
  node.m_table.Put(record, m_now);
  node.m_log.NoteBegan(record, m_now);
  const std::vector<Holder> others = OthersOf(aNode);
  std::vector<std::string> to;
  if (m_terms.m_telling == Telling::Holders) {
    to = HoldersToTell(aStream.m_key, m_dataCentres[node.m_dataCentre], others);
  } else if (m_terms.m_telling == Telling::All) {
    for (const Holder& other : others) {
      to.emplace_back(other.m_address);
    }
  }
  Send(aNode, { node.m_address, { record }, {}, {} }, to);
}

void
StreamOriginWorld::Send(std::size_t aFrom,
                        const OriginMessage& aMessage,
                        const std::vector<std::string>& aTo)
{
  for (const std::string& address : aTo) {
    ++m_result.m_messages;
    const auto to = static_cast<std::size_t>(std::stoi(address.substr(1)));
    if (Draw() < m_terms.m_lost || IsCut(aFrom, to)) {
      continue;
    }
    const Duration delay(static_cast<int>(
      Draw() * static_cast<double>(m_terms.m_longestDelay.count())));
    m_underWay.emplace(m_now + delay, Datagram{ to, aMessage });
  }
}

void
StreamOriginWorld::Deliver()
{
  while (!m_underWay.empty() && m_underWay.begin()->first <= m_now) {
    const Datagram datagram = std::move(m_underWay.begin()->second);
    m_underWay.erase(m_underWay.begin());
    if (Runs(datagram.m_to)) {
      Take(datagram.m_to, datagram.m_message);
    }
  }
}

void
StreamOriginWorld::Take(std::size_t aNode, const OriginMessage& aMessage)
{
  Node& node = m_nodes[aNode];
  for (const OriginRecord& record : aMessage.m_records) {
    node.m_table.Put(record, m_now);
    Do(aNode, node.m_lookups.TakeRecord(record.m_key, record.m_origin));
  }
  for (const NoRecord& answer : aMessage.m_noRecords) {
    Do(aNode, node.m_lookups.TakeNoRecord(answer, aMessage.m_from));
  }
  for (const OriginQuestion& question : aMessage.m_questions) {
    OriginMessage answer{ node.m_address, {}, {}, {} };
    if (const auto known = node.m_table.Find(question.m_key, m_now)) {
      answer.m_records.push_back(
        { question.m_key, known->m_origin, m_terms.m_memory });
    } else {
      answer.m_noRecords.push_back(
        { question.m_key,
          HasList(aNode)
            ? node.m_history.SoleVersionOf(kService, m_terms.m_memory, m_now)
            : std::nullopt });
    }
    Send(aNode, answer, { aMessage.m_from });
  }
}

void
StreamOriginWorld::Break()
{
  for (auto& [id, stream] : m_streams) {
    const bool isCutShort = stream.m_node && !m_nodes[*stream.m_node].m_alive;
    const double running = static_cast<double>(m_streams.size());
    if (stream.m_node && (isCutShort || Happens(m_terms.m_breaks / running))) {
      stream.m_node.reset();
      stream.m_nextTry = m_now + Duration{ 20 + m_random() % 300 };
    }
  }
  std::erase_if(m_streams, [&](const auto& aEntry) {
    const Stream& stream = aEntry.second;
    const bool isWhole = stream.m_node && m_now >= stream.m_endsAt;
    if (isWhole) {
      m_nodes[*stream.m_node].m_log.NoteWhole(stream.m_key);
    }
    return isWhole ||
           (!stream.m_node && stream.m_tries >= kTries && !stream.m_isWaiting);
  });
}

void
StreamOriginWorld::TryAgain()
{
  for (auto& [id, stream] : m_streams) {
    if (stream.m_isWaiting && !Runs(stream.m_askedAt)) {
      stream.m_isWaiting = false;
      stream.m_ended.reset();
      stream.m_nextTry = m_now + Duration{ 100 };
    }
    if (!stream.m_node && !stream.m_isWaiting && m_now >= stream.m_nextTry) {
      const std::size_t node = DrawBelow(m_nodes.size());
      if (Runs(node)) {
        TakeUp(stream, node);
      }
    }
  }
}

void
StreamOriginWorld::TakeUp(Stream& aStream, std::size_t aNode)
{
  ++aStream.m_tries;
  aStream.m_nextTry = m_now + Duration{ 250 };
  if (!std::exchange(aStream.m_isCounted, true)) {
    ++m_result.m_takenUp;
    aStream.m_isInTouch = IsInTouch(aNode) && EnginesOf(aStream.m_version) >= 2;
    m_result.m_takenUpInTouch += aStream.m_isInTouch ? 1 : 0;
    aStream.m_isBehindLoss = std::exchange(aStream.m_isLostWithAll, false) &&
                             EnginesOf(aStream.m_version) >= 2;
    m_result.m_takenUpBehindLoss += aStream.m_isBehindLoss ? 1 : 0;
  }
  Node& node = m_nodes[aNode];
  if (node.m_table.Find(aStream.m_key, m_now)) {
    Decide(aStream, aNode, EvidenceOf(aNode, aStream));
    return;
  }
  aStream.m_isWaiting = true;
  aStream.m_askedAt = aNode;
  const std::vector<Holder> others = OthersOf(aNode);
  Do(aNode,
     node.m_lookups.Begin(
       aStream.m_key, kService, HoldersToAsk(aStream.m_key, others), m_now));
}

OriginEvidence
StreamOriginWorld::EvidenceOf(std::size_t aNode, const Stream& aStream) const
{
  const Node& node = m_nodes[aNode];
  OriginEvidence out{ kService,       {}, false,          false,
                      node.m_history, {}, HasList(aNode), m_terms.m_memory };
  if (const auto known = node.m_table.Find(aStream.m_key, m_now)) {
    out.m_origin = known->m_origin;
    out.m_isAmbiguous = known->m_isAmbiguous;
  }
  return out;
}

void
StreamOriginWorld::Decide(Stream& aStream,
                          std::size_t aNode,
                          const OriginEvidence& aEvidence)
{
  aStream.m_isWaiting = false;
  const OriginDecision decision = DecideOrigin(aEvidence, m_now);
  const auto* goOn = std::get_if<GoOn>(&decision);
  if (goOn == nullptr) {
    return;
  }
  const std::vector<int> listed = Listed(aNode);
  const bool isListed =
    std::any_of(listed.begin(), listed.end(), [&](int aVersion) {
      return NameOf(aVersion) == goOn->m_origin.m_softwareVersion;
    });
  if (!isListed) {
    return; // Refused: no upstream of that version is left.
  }
  const bool isMixed =
    goOn->m_origin.m_softwareVersion != NameOf(aStream.m_version);
  m_result.m_mixed += isMixed ? 1 : 0;
  ++m_result.m_goOn;
  m_result.m_goOnInTouch += aStream.m_isInTouch ? 1 : 0;
  m_result.m_goOnBehindLoss +=
    std::exchange(aStream.m_isBehindLoss, false) ? 1 : 0;
  aStream.m_node = aNode;
  aStream.m_endsAt = m_now + Duration{ 500 };
  aStream.m_isCounted = false;
  aStream.m_tries = 0;
  Tell(aNode, aStream);
}

void
StreamOriginWorld::Do(std::size_t aNode,
                      const std::vector<LookupAction>& aActions)
{
  Node& node = m_nodes[aNode];
  for (const LookupAction& action : aActions) {
    if (const auto* ask = std::get_if<AskHolders>(&action)) {
      Send(aNode,
           { node.m_address, {}, { { ask->m_key, ask->m_service } }, {} },
           ask->m_addresses);
      continue;
    }
    const auto& ended = std::get<LookupEnded>(action);
    for (auto& [id, stream] : m_streams) {
      if (stream.m_isWaiting && stream.m_askedAt == aNode &&
          stream.m_key == ended.m_key) {
        stream.m_ended = ended;
      }
    }
    const bool looksIntoStore =
      m_terms.m_allLostEvery.count() > 0 && !ended.m_origin;
    if (!looksIntoStore || !ReadOrigins(aNode)) {
      DecideWaiting(aNode, looksIntoStore && !node.m_hasReadStore);
    }
  }
}

void
StreamOriginWorld::DecideWaiting(std::size_t aNode, bool aIsStoreUnread)
{
  for (auto& [id, stream] : m_streams) {
    if (!stream.m_isWaiting || stream.m_askedAt != aNode || !stream.m_ended) {
      continue;
    }
    const LookupEnded ended = *std::exchange(stream.m_ended, std::nullopt);
    OriginEvidence evidence = EvidenceOf(aNode, stream);
    if (!evidence.m_origin) {
      evidence.m_origin = ended.m_origin;
    }
    evidence.m_isUnanswered = ended.m_isUnanswered;
    evidence.m_peersSole = ended.m_sole;
    evidence.m_isStoreUnread = aIsStoreUnread;
    evidence.m_isListProven = IsListProven(aNode);
    Decide(stream, aNode, evidence);
  }
}

void
StreamOriginWorld::NoteListed(std::size_t aNode)
{
  if ((m_now - m_begin) % kListedEvery != Duration{}) {
    return;
  }
  if (!HasList(aNode)) {
    m_nodes[aNode].m_history.NoteGap();
    return;
  }
  m_nodes[aNode].m_history.NoteWatched(m_now);
  const std::vector<int> listed = Listed(aNode);
  for (const int version : std::set<int>(listed.begin(), listed.end())) {
    m_nodes[aNode].m_history.NoteListed(kService, NameOf(version), m_now);
  }
}

WorldResult
StreamOriginWorld::Play()
{
  for (const Instant end = m_now + m_terms.m_length; m_now < end;
       m_now += kStep) {
    MoveEngines();
    MoveNodes();
    MoveLists();
    Deliver();
    AnswerStoreCalls();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (Runs(i)) {
        NoteListed(i);
        WriteOrigins(i);
        Do(i, m_nodes[i].m_lookups.Tick(m_now));
      }
    }
    Begin();
    Break();
    TryAgain();
  }
  return m_result;
}

} // namespace ridgeferry::streams
