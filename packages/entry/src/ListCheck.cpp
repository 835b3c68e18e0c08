#include "ListCheck.h"

#include <algorithm>
#include <ridgeferry/base/Overloaded.h>
#include <utility>

namespace ridgeferry::entry {

namespace {

/** The callers of streams wait for it. */
constexpr Duration kReadTimeout{ 300 };
/** Least time between two reads, which cost the store something. */
constexpr Duration kReadEvery{ 300 };

} // namespace

ListCheck::ListCheck(EntryNode& aNode,
                     StoreGenerations& aGenerations,
                     StoreReader& aMembers)
  : m_node(aNode)
  , m_members(aMembers)
  , m_calls(aNode, aGenerations, "a check of the list of upstreams")
{
}

void
ListCheck::Check(Done aDone)
{
  m_waiting.push_back(std::move(aDone));
  if (!m_isReading && m_waiting.size() == 1) {
    Plan();
  }
}

void
ListCheck::Plan()
{
  const Instant now = m_node.Now();
  const Instant due = m_readAt ? *m_readAt + kReadEvery : now;
  m_next =
    m_node.m_loop->After(std::max(Duration{}, due - now), [this] { Read(); });
}

void
ListCheck::Read()
{
  m_isReading = true;
  m_readAt = m_node.Now();
  m_underWay = std::exchange(m_waiting, {});
  m_askedAfter = m_members.Follower().Position();
  m_node.m_metrics.Count("list_checks_total");
  StoreRead read;
  read.m_after = m_askedAfter;
  Send(read);
}

void
ListCheck::Send(const StoreRead& aRead)
{
  StoreRead read = aRead;
  read.m_table = m_node.m_dialect.m_memberTable;
  m_calls.Read(
    read,
    [this](const StoreAnswer& aAnswer, StoreGeneration aGeneration) {
      TakeAnswer(aAnswer, aGeneration);
    },
    kReadTimeout);
}

void
ListCheck::ReadRows(std::string aFromKey)
{
  StoreRead read;
  read.m_fromKey = std::move(aFromKey);
  Send(read);
}

void
ListCheck::TakeAnswer(const StoreAnswer& aAnswer, StoreGeneration aGeneration)
{
  std::visit(Overloaded{
               [&](const StorePage& aPage) { TakePage(aPage, aGeneration); },
               [&](const StoreHistoryLost&) { ReadRows({}); },
               [&](const relay::ReadFailed&) { End(false, "no answer"); },
             },
             aAnswer);
}

void
ListCheck::TakePage(const StorePage& aPage, StoreGeneration aGeneration)
{
  const auto isLater = [&](const relay::FollowedRow& aRow) {
    return aRow.m_version > m_askedAfter.m_version;
  };
  if (aGeneration != m_askedAfter.m_generation) {
    End(false, "another generation");
  } else if (std::any_of(aPage.m_rows.begin(), aPage.m_rows.end(), isLater)) {
    m_members.NoteAhead({ aGeneration, aPage.m_version });
    End(false, "later rows");
  } else if (aPage.m_hasMore && !aPage.m_rows.empty()) {
    // The next page starts at the smallest key above the last one read.
    ReadRows(aPage.m_rows.back().m_key + '\0');
  } else {
    End(true, {});
  }
}

void
ListCheck::End(bool aIsProven, std::string_view aFound)
{
  m_isReading = false;
  if (!aIsProven) {
    m_node.m_metrics.Count("list_checks_failed_total");
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "list-not-proven",
      { { "found", std::string(aFound) },
        { "version", static_cast<std::int64_t>(m_askedAfter.m_version) },
        { "tookMs", (m_node.Now() - *m_readAt).count() } });
  }
  for (const Done& done : std::exchange(m_underWay, {})) {
    done(aIsProven);
  }
  if (!m_waiting.empty()) {
    Plan();
  }
}

} // namespace ridgeferry::entry
