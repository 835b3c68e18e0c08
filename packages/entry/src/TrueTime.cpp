#include "TrueTime.h"

#include <algorithm>
#include <vector>

namespace ridgeferry::entry {

namespace {

constexpr Duration kTick{ 100 };
/** Smaller differences come from the way in which the store's clock is read, so
 * that this machine's time of day is the better one. */
constexpr Duration kLeastStep{ 100 };

} // namespace

TrueTime::TrueTime(EntryNode& aNode,
                   const Peers& aPeers,
                   const ConfigFreshness& aFreshness)
  : m_node(aNode)
  , m_peers(aPeers)
  , m_freshness(aFreshness)
{
}

void
TrueTime::Start()
{
  m_tick = m_node.m_loop->Every(kTick, [this] { Tick(); });
}

WallTime
TrueTime::Now() const
{
  return net::EventLoop::WallNow() + m_correction;
}

std::optional<freshness::WallOffset>
TrueTime::OwnOffset() const
{
  const auto reading = m_freshness.Clock().LatestReading(m_node.Now());
  if (!reading) {
    return std::nullopt;
  }
  return freshness::WallOffset{ reading->m_generation,
                                net::EventLoop::WallNow().time_since_epoch() -
                                  reading->m_clock };
}

void
TrueTime::Tick()
{
  const auto own = OwnOffset();
  if (!own) {
    return;
  }
  std::vector<Duration> offsets{ own->m_offset };
  for (const auto& [name, peer] : m_peers.Known()) {
    const auto& store = peer.m_last.m_store;
    if (peer.m_alive && store && store->m_wallOffset &&
        store->m_wallOffset->m_generation == own->m_generation) {
      offsets.push_back(store->m_wallOffset->m_offset);
    }
  }
  const auto middle =
    offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  const Duration correction = *middle - own->m_offset;
  const Duration next =
    std::chrono::abs(correction) < kLeastStep ? Duration{} : correction;
  if (std::chrono::abs(next - m_correction) >= kLeastStep) {
    m_node.m_log->Write(observe::LogLevel::Warning,
                        "time-of-day-corrected",
                        { { "byMs", next.count() } });
  }
  m_correction = next;
}

} // namespace ridgeferry::entry
