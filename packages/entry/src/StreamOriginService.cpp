#include "StreamOriginService.h"

#include <algorithm>

namespace ridgeferry::entry {

namespace {

/** Least time for which the origin of a stream is remembered, far above that of
 * present outputs. */
constexpr Duration kLeastMemory{ 60'000 };
/** A stream that is taken up at the end of one call lasts for another one. */
constexpr int kCallsOfAStream = 2;
constexpr Duration kLookupTick{ 10 };
constexpr Duration kExpireEvery{ 1000 };
/** Most records in one message, at some 15 bytes each, so that its datagram
 * fits into one network packet. */
constexpr std::size_t kMostRecords = 60;

} // namespace

StreamOriginService::StreamOriginService(EntryNode& aNode,
                                         StoreGenerations& aGenerations,
                                         Peers& aPeers,
                                         PeerSocket& aSocket,
                                         StoreReader& aMembers)
  : m_node(aNode)
  , m_peers(aPeers)
  , m_socket(aSocket)
  , m_address(aNode.m_settings.m_peers.ToString())
  , m_store(aNode,
            aGenerations,
            m_history,
            [this](const streams::OriginRecord& aRecord) {
              TakeRecord(aRecord);
              Do(m_lookups.TakeRecord(aRecord.m_key, aRecord.m_origin));
            })
  , m_listCheck(aNode, aGenerations, aMembers)
  , m_memory(kLeastMemory)
{
  m_store.SetMemory(m_memory);
}

void
StreamOriginService::Start()
{
  m_socket.SignalOrigins().connect(
    [this](const streams::OriginMessage& aMessage) { TakeMessage(aMessage); });
  m_expiry = m_node.m_loop->Every(kExpireEvery, [this] {
    m_table.Expire(m_node.Now());
    m_node.m_metrics.Set("stream_origins_held",
                         static_cast<double>(m_table.Size()));
  });
  m_store.Start();
}

void
StreamOriginService::UseRoutes()
{
  m_memory = kLeastMemory;
  for (const relay::Route& route : m_node.m_routes->Config().m_routes) {
    if (route.m_stream && route.m_resumable) {
      m_memory = std::max(m_memory, kCallsOfAStream * route.m_maxDuration);
    }
  }
  m_store.SetMemory(m_memory);
}

void
StreamOriginService::NoteListed(const relay::Member& aMember)
{
  m_history.NoteListed(
    aMember.m_service, aMember.m_softwareVersion, m_node.Now());
}

void
StreamOriginService::NoteList(bool aFollows)
{
  m_hasList = aFollows;
  if (!aFollows) {
    m_history.NoteGap();
    return;
  }
  m_history.NoteWatched(m_node.Now());
  for (const relay::Member* member : m_node.m_fleet.Members()) {
    NoteListed(*member);
  }
}

std::vector<streams::Holder>
StreamOriginService::Holders() const
{
  std::vector<streams::Holder> out;
  for (const auto& [name, peer] : m_peers.Known()) {
    if (peer.m_alive) {
      out.push_back({ peer.m_hash,
                      peer.m_last.m_dataCentre,
                      peer.m_last.m_peerAddress,
                      peer.m_last.m_leaving });
    }
  }
  return out;
}

void
StreamOriginService::NoteBegan(const streams::StreamKey& aKey,
                               const streams::StreamOrigin& aOrigin)
{
  const streams::OriginRecord record{ aKey, aOrigin, m_memory };
  TakeRecord(record);
  m_store.NoteBegan(record);
  const std::vector<streams::Holder> others = Holders();
  m_socket.Send(
    { m_address, { record }, {}, {} },
    streams::HoldersToTell(aKey, m_node.m_settings.m_dataCentre, others));
}

void
StreamOriginService::TakeRecord(const streams::OriginRecord& aRecord)
{
  if (!m_table.Put(aRecord, m_node.Now())) {
    m_node.m_metrics.Count("stream_origins_dropped_total");
  }
}

std::optional<streams::SoleVersion>
StreamOriginService::SoleVersionOf(std::string_view aService) const
{
  return m_hasList ? m_history.SoleVersionOf(aService, m_memory, m_node.Now())
                   : std::nullopt;
}

streams::OriginEvidence
StreamOriginService::EvidenceFor(std::string_view aService) const
{
  return { aService, {}, false, false, m_history, {}, m_hasList, m_memory };
}

void
StreamOriginService::Find(const StreamToFind& aStream, const Decided& aDecided)
{
  const Instant now = m_node.Now();
  if (const auto known = m_table.Find(aStream.m_key, now)) {
    streams::OriginEvidence evidence = EvidenceFor(aStream.m_service);
    evidence.m_origin = known->m_origin;
    evidence.m_isAmbiguous = known->m_isAmbiguous;
    aDecided(streams::DecideOrigin(evidence, now));
    return;
  }
  m_waiting.emplace(aStream.m_key, Waiting{ aStream, aDecided });
  const std::vector<streams::Holder> others = Holders();
  m_node.m_metrics.Count("stream_lookups_total");
  // Arming a tick that runs would put it off.
  const bool ticks = !m_lookups.IsIdle();
  Do(m_lookups.Begin(aStream.m_key,
                     aStream.m_service,
                     streams::HoldersToAsk(aStream.m_key, others),
                     now));
  if (!ticks && !m_lookups.IsIdle()) {
    m_lookupTick = m_node.m_loop->Every(kLookupTick, [this] { Tick(); });
  }
}

void
StreamOriginService::Tick()
{
  Do(m_lookups.Tick(m_node.Now()));
  if (m_lookups.IsIdle()) {
    m_lookupTick = {};
  }
}

void
StreamOriginService::Do(std::span<const streams::LookupAction> aActions)
{
  for (const streams::LookupAction& action : aActions) {
    std::visit([this](const auto& aTyped) { Do(aTyped); }, action);
  }
}

void
StreamOriginService::Do(const streams::AskHolders& aAction)
{
  m_socket.Send({ m_address, {}, { { aAction.m_key, aAction.m_service } }, {} },
                aAction.m_addresses);
}

void
StreamOriginService::Do(const streams::LookupEnded& aAction)
{
  ConsiderList({ aAction });
}

streams::OriginEvidence
StreamOriginService::EvidenceFor(const Findings& aFindings,
                                 std::string_view aService) const
{
  const streams::LookupEnded& lookup = aFindings.m_lookup;
  streams::OriginEvidence out = EvidenceFor(aService);
  out.m_origin = lookup.m_origin;
  if (const auto known = m_table.Find(lookup.m_key, m_node.Now())) {
    out.m_origin = known->m_origin;
    out.m_isAmbiguous = known->m_isAmbiguous;
  }
  out.m_isUnanswered = lookup.m_isUnanswered;
  out.m_peersSole = lookup.m_sole;
  out.m_isListProven = aFindings.m_isListProven;
  out.m_isStoreUnread = aFindings.m_isStoreUnread;
  return out;
}

bool
StreamOriginService::AnyRefused(const Findings& aFindings) const
{
  const auto [begin, end] = m_waiting.equal_range(aFindings.m_lookup.m_key);
  return std::any_of(begin, end, [&](const auto& aEntry) {
    const StreamToFind& stream = aEntry.second.m_stream;
    return std::holds_alternative<streams::RefuseTakeUp>(streams::DecideOrigin(
      EvidenceFor(aFindings, stream.m_service), m_node.Now()));
  });
}

void
StreamOriginService::ConsiderList(const Findings& aFindings)
{
  Findings proven = aFindings;
  proven.m_isListProven = true;
  const bool isKnown = !AnyRefused(aFindings);
  const bool listWouldHelp = !AnyRefused(proven);
  if (isKnown || !listWouldHelp) {
    ConsiderStore(aFindings);
    return;
  }
  // Of a stream that its caller does not name there is no record that could
  // speak against it, so that the others' lists have to do.
  const streams::LookupEnded& lookup = aFindings.m_lookup;
  if (lookup.m_isVouched && !IsAnyNamed(lookup.m_key)) {
    Conclude(proven);
    return;
  }
  m_listCheck.Check([this, aFindings](bool aIsProven) {
    Findings checked = aFindings;
    checked.m_isListProven = aIsProven;
    ConsiderStore(checked);
  });
}

bool
StreamOriginService::IsAnyNamed(const streams::StreamKey& aKey) const
{
  const auto [begin, end] = m_waiting.equal_range(aKey);
  return std::any_of(begin, end, [](const auto& aEntry) {
    return aEntry.second.m_stream.m_isNamed;
  });
}

void
StreamOriginService::ConsiderStore(const Findings& aFindings)
{
  if (!IsAnyNamed(aFindings.m_lookup.m_key) || !AnyRefused(aFindings)) {
    Conclude(aFindings);
    return;
  }
  // Those that knew the stream may all be lost; the store outlasts them.
  m_store.Read([this, aFindings](bool aIsRead) {
    Findings read = aFindings;
    read.m_isStoreUnread = !aIsRead;
    Conclude(read);
  });
}

void
StreamOriginService::Conclude(const Findings& aFindings)
{
  const auto [begin, end] = m_waiting.equal_range(aFindings.m_lookup.m_key);
  std::vector<Waiting> waiting;
  for (auto item = begin; item != end; ++item) {
    waiting.push_back(std::move(item->second));
  }
  m_waiting.erase(begin, end);
  for (const Waiting& item : waiting) {
    item.m_decided(streams::DecideOrigin(
      EvidenceFor(aFindings, item.m_stream.m_service), m_node.Now()));
  }
}

void
StreamOriginService::TakeMessage(const streams::OriginMessage& aMessage)
{
  for (const streams::OriginRecord& record : aMessage.m_records) {
    TakeRecord(record);
    Do(m_lookups.TakeRecord(record.m_key, record.m_origin));
  }
  for (const streams::NoRecord& answer : aMessage.m_noRecords) {
    Do(m_lookups.TakeNoRecord(answer, aMessage.m_from));
  }
  const std::vector<std::string> sender{ aMessage.m_from };
  for (const streams::OriginQuestion& question : aMessage.m_questions) {
    m_socket.Send(AnswerTo(question), sender);
  }
}

streams::OriginMessage
StreamOriginService::AnswerTo(const streams::OriginQuestion& aQuestion)
{
  streams::OriginMessage out;
  out.m_from = m_address;
  const auto known = m_table.Find(aQuestion.m_key, m_node.Now());
  if (known && !known->m_isAmbiguous) {
    out.m_records.push_back({ aQuestion.m_key, known->m_origin, m_memory });
  } else {
    out.m_noRecords.push_back(
      { aQuestion.m_key, SoleVersionOf(aQuestion.m_service) });
  }
  return out;
}

void
StreamOriginService::HandOver()
{
  const std::vector<streams::Holder> others = Holders();
  std::map<std::string, streams::OriginMessage> messages;
  for (const streams::OriginRecord& record : m_table.Records(m_node.Now())) {
    for (const std::string& address : streams::HoldersToTell(
           record.m_key, m_node.m_settings.m_dataCentre, others)) {
      streams::OriginMessage& message = messages[address];
      message.m_from = m_address;
      message.m_records.push_back(record);
      if (message.m_records.size() == kMostRecords) {
        m_socket.Send(message, std::vector{ address });
        message.m_records.clear();
      }
    }
  }
  for (const auto& [address, message] : messages) {
    if (!message.m_records.empty()) {
      m_socket.Send(message, std::vector{ address });
    }
  }
}

} // namespace ridgeferry::entry
