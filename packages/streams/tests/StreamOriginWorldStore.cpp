#include "StreamOriginWorld.h"

// The part of the world that is its store: instances write what they began and
// read what all have written.

namespace ridgeferry::streams {

namespace {

constexpr Duration kReadTakes{ 10 };
constexpr Duration kReadTimeout{ 300 };
/** Least time between two reads of an instance. */
constexpr Duration kReadEvery{ 1000 };
constexpr Duration kWriteTimeout{ 1000 };

} // namespace

bool
StreamOriginWorld::IsStoreAway() const
{
  const Duration cycle = m_terms.m_storeAwayEvery;
  return cycle.count() > 0 && (m_now - m_begin) % cycle >= cycle / 2;
}

void
StreamOriginWorld::WriteOrigins(std::size_t aNode)
{
  Node& node = m_nodes[aNode];
  if (m_terms.m_allLostEvery.count() == 0) {
    return;
  }
  if (!node.m_hasReadStore) {
    (void)ReadOrigins(aNode);
    return;
  }
  const bool hasSeveral = node.m_history.HasSeveral(m_terms.m_memory, m_now);
  auto due = node.m_log.Due(m_now, { m_nodes.size(), hasSeveral });
  if (!due) {
    return;
  }
  StoreCall call{ aNode, node.m_life, std::move(due), true, true };
  const bool isLost = Draw() < m_terms.m_lostWrites;
  call.m_isDone = !IsStoreAway() && (!isLost || m_random() % 2 == 0);
  call.m_isAnswered = call.m_isDone && !isLost;
  const Duration takes(static_cast<int>(
    Draw() * static_cast<double>(m_terms.m_longestWrite.count())));
  m_storeCalls.emplace(m_now + takes, call);
  if (!call.m_isAnswered) {
    // The instance learns at its time-out that nothing is known.
    m_storeCalls.emplace(m_now + kWriteTimeout,
                         StoreCall{ aNode, node.m_life, { {} }, false, true });
  }
}

bool
StreamOriginWorld::ReadOrigins(std::size_t aNode)
{
  Node& node = m_nodes[aNode];
  const bool isEarly =
    node.m_readStoreAt && m_now - *node.m_readStoreAt < kReadEvery;
  if (isEarly || node.m_isReadingStore) {
    return node.m_isReadingStore;
  }
  node.m_readStoreAt = m_now;
  node.m_isReadingStore = true;
  const bool isAway = IsStoreAway();
  m_storeCalls.emplace(m_now + (isAway ? kReadTimeout : kReadTakes),
                       StoreCall{ aNode, node.m_life, {}, !isAway, true });
  return true;
}

void
StreamOriginWorld::AnswerStoreCalls()
{
  while (!m_storeCalls.empty() && m_storeCalls.begin()->first <= m_now) {
    const StoreCall call = std::move(m_storeCalls.begin()->second);
    m_storeCalls.erase(m_storeCalls.begin());
    if (call.m_records && call.m_isDone) {
      m_stored[call.m_node] = { *call.m_records, m_now };
    }
    Node& node = m_nodes[call.m_node];
    if (!node.m_alive || node.m_life != call.m_life) {
      continue;
    }
    if (node.m_suspendedUntil) {
      m_storeCalls.emplace(*node.m_suspendedUntil + kReadTakes, call);
      continue;
    }
    if (!call.m_records) {
      node.m_isReadingStore = false;
      if (call.m_isDone) {
        TakeStored(call.m_node);
      }
      DecideWaiting(call.m_node, !call.m_isDone);
    } else if (call.m_isAnswered) {
      node.m_log.NoteWritten(call.m_isDone, m_now);
    }
  }
}

void
StreamOriginWorld::TakeStored(std::size_t aNode)
{
  Node& node = m_nodes[aNode];
  for (const auto& [writer, row] : m_stored) {
    for (OriginRecord record : row.m_records) {
      record.m_keepFor -= m_now - row.m_at;
      if (record.m_keepFor.count() <= 0) {
        continue;
      }
      node.m_table.Put(record, m_now);
      if (writer == aNode && !node.m_hasReadStore) {
        node.m_log.NoteEarlier(record, m_now);
      }
    }
  }
  node.m_hasReadStore = true;
}

} // namespace ridgeferry::streams
