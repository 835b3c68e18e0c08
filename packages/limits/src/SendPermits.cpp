#include "ridgeferry/limits/SendPermits.h"

#include <cmath>
#include <limits>

namespace ridgeferry::limits {

namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kNever = std::numeric_limits<double>::infinity();

double
ToMs(Instant aAt)
{
  return static_cast<double>(aAt.time_since_epoch().count());
}

double
ToMs(Duration aTime)
{
  return static_cast<double>(aTime.count());
}

} // namespace

SendPermits::SendPermits(double aPhase)
  : m_phase(aPhase)
  , m_intervalMs(kNever)
  , m_nextMs(kNever)
{
}

void
SendPermits::SetRate(double aPerSecond, Instant aNow)
{
  const double interval = aPerSecond > 0 ? kMsPerSecond / aPerSecond : kNever;
  const double now = ToMs(aNow);
  if (interval == kNever) {
    m_nextMs = kNever;
  } else if (m_intervalMs == kNever) {
    m_nextMs = now + m_phase * interval;
  } else {
    // As many permits are unused, or used ahead of their time, as before.
    m_nextMs = now + (m_nextMs - now) * (interval / m_intervalMs);
  }
  m_intervalMs = interval;
}

double
SendPermits::Oldest(Instant aNow) const
{
  const double least = ToMs(aNow) - ToMs(kLifetime);
  if (m_nextMs >= least) {
    return m_nextMs;
  }
  return m_nextMs + std::ceil((least - m_nextMs) / m_intervalMs) * m_intervalMs;
}

bool
SendPermits::MaySend(bool aYields, Instant aNow) const
{
  return RoomIn(aYields, aNow).count() == 0;
}

void
SendPermits::Take(Instant aNow)
{
  m_nextMs = Oldest(aNow) + m_intervalMs;
}

Duration
SendPermits::RoomIn(bool aYields, Instant aNow) const
{
  const double from = Oldest(aNow) + (aYields ? ToMs(kYieldTime) : 0);
  if (from == kNever) {
    return Duration::max();
  }
  return Duration(std::llround(std::ceil(std::max(0.0, from - ToMs(aNow)))));
}

} // namespace ridgeferry::limits
