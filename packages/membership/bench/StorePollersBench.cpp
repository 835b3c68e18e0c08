// Measures `StorePollers::HearsWorkingPoller`, which runs for every heartbeat
// of a peer whose reads of the store fail. Its cost must grow linearly with the
// number of peers, not with its square.

#include <algorithm>
#include <benchmark/benchmark.h>
#include <map>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/membership/StorePollers.h>

namespace ridgeferry::membership {
namespace {

constexpr Instant kNow{ Duration{ 1'000'000 } };
constexpr int kDataCentres = 5;

/**
 * Returns a roster in which only the pollers have lost the store, so that the
 * query has to examine every other peer.
 */
Roster
RosterWithPollersLost(std::int64_t aPeers)
{
  Roster roster("self");
  std::map<std::string, std::vector<std::uint64_t>> hashes;
  for (std::int64_t i = 0; i < aPeers; ++i) {
    hashes["hall-" + std::to_string(i % kDataCentres)].push_back(
      Hash64("edge-" + std::to_string(i)));
  }
  for (auto& [dataCentre, ofDataCentre] : hashes) {
    std::sort(ofDataCentre.begin(), ofDataCentre.end());
  }
  for (std::int64_t i = 0; i < aPeers; ++i) {
    Heartbeat heartbeat;
    heartbeat.m_instance = "edge-" + std::to_string(i);
    heartbeat.m_incarnation = 1;
    heartbeat.m_dataCentre = "hall-" + std::to_string(i % kDataCentres);
    const std::vector<std::uint64_t>& ofDataCentre =
      hashes[heartbeat.m_dataCentre];
    const bool lost =
      Hash64(heartbeat.m_instance) <= ofDataCentre[StorePollers::kInDataCentre];
    heartbeat.m_store = StoreView{ { 1, 1 }, { 1, 1 }, lost };
    roster.Handle(HeartbeatArrived{ heartbeat }, kNow);
  }
  return roster;
}

void
HearsWorkingPoller(benchmark::State& aState)
{
  const Roster roster = RosterWithPollersLost(aState.range(0));
  const StorePollers duty(roster, { "self", "hall-0", false });
  for (auto _ : aState) {
    benchmark::DoNotOptimize(duty.HearsWorkingPoller(kNow));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(HearsWorkingPoller)->Arg(30)->Arg(100)->Arg(300)->Complexity();

} // namespace
} // namespace ridgeferry::membership
