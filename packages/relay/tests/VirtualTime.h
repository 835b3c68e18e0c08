#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <ridgeferry/base/Time.h>
#include <utility>

namespace ridgeferry::relay {

/** Runs functions in the order of their times, without waiting. */
class VirtualTime
{
public:
  Instant Now() const { return m_now; }
  void After(Duration aDelay, std::function<void()> aDo)
  {
    m_due.emplace(m_now + aDelay, std::move(aDo));
  }
  void RunUntil(Instant aEnd)
  {
    while (!m_due.empty() && m_due.begin()->first <= aEnd) {
      auto next = m_due.extract(m_due.begin());
      m_now = next.key();
      next.mapped()();
    }
  }

private:
  Instant m_now{ Duration{ 1'000'000 } };
  std::multimap<Instant, std::function<void()>> m_due;
};

/** Draws for a world of which one seed names all. */
class Draws
{
public:
  explicit Draws(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  /** Draws a whole number, both ends included. */
  int Int(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>(aLeast, aMost)(m_random);
  }
  Duration Ms(int aLeast, int aMost) { return Duration{ Int(aLeast, aMost) }; }
  /** Draws whether one of `aOf` equal chances comes true. */
  bool OneOf(int aOf) { return Int(1, aOf) == 1; }

private:
  std::mt19937_64 m_random;
};

} // namespace ridgeferry::relay
