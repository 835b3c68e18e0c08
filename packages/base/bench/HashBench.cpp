// Owner of a key among the upstreams of a hall: rendezvous hashing, as the
// choice of an upstream uses it, beside a ring of points as described in
// "Cloudflare recovers more than 100TB of RAM by optimizing consistent hashing
// in Rust" (8 bytes a point as a plain struct, 6 as packed bytes).

#include <algorithm>
#include <array>
#include <benchmark/benchmark.h>
#include <cstring>
#include <ridgeferry/base/Hash.h>
#include <vector>

namespace ridgeferry {
namespace {

constexpr std::int64_t kPointsEach = 160;

struct WidePoint
{
  std::uint32_t m_hash = 0;
  std::uint32_t m_member = 0;

  static WidePoint Make(std::uint32_t aHash, std::uint16_t aMember)
  {
    return { aHash, aMember };
  }
  std::uint32_t Hash() const { return m_hash; }
  std::uint32_t Member() const { return m_member; }
};

struct PackedPoint
{
  std::array<std::uint8_t, 6> m_bytes{};

  static PackedPoint Make(std::uint32_t aHash, std::uint16_t aMember)
  {
    PackedPoint out;
    std::memcpy(out.m_bytes.data(), &aHash, sizeof(aHash));
    std::memcpy(out.m_bytes.data() + sizeof(aHash), &aMember, sizeof(aMember));
    return out;
  }
  std::uint32_t Hash() const
  {
    std::uint32_t hash = 0;
    std::memcpy(&hash, m_bytes.data(), sizeof(hash));
    return hash;
  }
  std::uint32_t Member() const
  {
    std::uint16_t member = 0;
    std::memcpy(
      &member, m_bytes.data() + sizeof(std::uint32_t), sizeof(member));
    return member;
  }
};

void
BM_Rendezvous(benchmark::State& aState)
{
  std::vector<std::uint64_t> members;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    members.push_back(RendezvousWeight(7, static_cast<std::uint64_t>(i)));
  }
  std::uint64_t key = 1;
  for (auto _ : aState) {
    key = RendezvousWeight(key, 1);
    std::uint64_t best = 0;
    std::size_t owner = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
      const std::uint64_t weight = RendezvousWeight(key, members[i]);
      if (weight > best) {
        best = weight;
        owner = i;
      }
    }
    benchmark::DoNotOptimize(owner);
  }
  aState.counters["bytes"] =
    static_cast<double>(members.size() * sizeof(members[0]));
}

template<typename Point>
void
BM_Ring(benchmark::State& aState)
{
  std::vector<Point> ring;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    for (std::int64_t point = 0; point < kPointsEach; ++point) {
      const std::uint64_t hash =
        RendezvousWeight(static_cast<std::uint64_t>(i) + 1,
                         static_cast<std::uint64_t>(point) + 1);
      ring.push_back(Point::Make(static_cast<std::uint32_t>(hash),
                                 static_cast<std::uint16_t>(i)));
    }
  }
  std::sort(
    ring.begin(), ring.end(), [](const Point& aLeft, const Point& aRight) {
      return aLeft.Hash() < aRight.Hash();
    });
  std::uint64_t key = 1;
  for (auto _ : aState) {
    key = RendezvousWeight(key, 1);
    const auto it =
      std::lower_bound(ring.begin(),
                       ring.end(),
                       static_cast<std::uint32_t>(key),
                       [](const Point& aPoint, std::uint32_t aHash) {
                         return aPoint.Hash() < aHash;
                       });
    benchmark::DoNotOptimize((it == ring.end() ? ring.front() : *it).Member());
  }
  aState.counters["bytes"] = static_cast<double>(ring.size() * sizeof(Point));
}

BENCHMARK(BM_Rendezvous)->Arg(12)->Arg(100)->Arg(300);
BENCHMARK_TEMPLATE(BM_Ring, WidePoint)->Arg(12)->Arg(100)->Arg(300);
BENCHMARK_TEMPLATE(BM_Ring, PackedPoint)->Arg(12)->Arg(100)->Arg(300);

} // namespace
} // namespace ridgeferry
