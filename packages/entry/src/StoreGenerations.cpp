#include "StoreGenerations.h"

#include <utility>

namespace ridgeferry::entry {

namespace {

/** Shortest interval between two log lines about an unreadable generation. A
 * store that sends one does so in each answer; one line a minute is enough, and
 * the metric store_generation_unreadable_total counts all of them. */
constexpr Duration kTellUnreadableEvery{ 60'000 };
/** Most bytes of an unreadable generation that are logged. */
constexpr std::size_t kMostLogged = 40;

} // namespace

StoreGenerations::StoreGenerations(EntryNode& aNode)
  : m_node(aNode)
{
}

StoreGeneration
StoreGenerations::Of(const net::HttpResponse& aAnswer)
{
  if (!net::HasAnswer(aAnswer)) {
    return m_latest;
  }
  const AnnouncedGeneration told =
    m_node.m_dialect.m_readGeneration(aAnswer.m_head);
  if (!told) {
    NoteUnreadable(told.error());
    return m_latest;
  }
  return told->value_or(m_latest);
}

void
StoreGenerations::NoteUnreadable(const std::string& aTold)
{
  m_node.m_metrics.Count("store_generation_unreadable_total");
  const Instant now = m_node.Now();
  if (m_toldUnreadableAt && now - *m_toldUnreadableAt < kTellUnreadableEvery) {
    return;
  }
  m_toldUnreadableAt = now;
  m_node.m_log->Write(observe::LogLevel::Warning,
                      "store-generation-unreadable",
                      { { "told", aTold.substr(0, kMostLogged) },
                        { "takenFor", static_cast<std::int64_t>(m_latest) } });
}

void
StoreGenerations::Note(StoreGeneration aGeneration, std::string_view aFrom)
{
  if (aGeneration <= m_latest) {
    return;
  }
  const StoreGeneration before = std::exchange(m_latest, aGeneration);
  m_node.m_log->Write(
    observe::LogLevel::Warning,
    "store-generation",
    { { "generation", static_cast<std::int64_t>(aGeneration) },
      { "before", static_cast<std::int64_t>(before) },
      { "from", std::string(aFrom) } });
  m_risen.emit(aGeneration);
}

} // namespace ridgeferry::entry
