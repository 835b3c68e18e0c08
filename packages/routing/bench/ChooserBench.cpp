#include <benchmark/benchmark.h>
#include <ridgeferry/base/Hash.h>
#include <ridgeferry/declared/Catalog.h>
#include <ridgeferry/routing/Chooser.h>
#include <string>

namespace ridgeferry::routing {
namespace {

constexpr Instant kNow{ Duration{ 1'000'000 } };

/** Returns a set of engines with different loads. */
UpstreamSet
Fleet(std::int64_t aEngines)
{
  UpstreamSet set;
  std::vector<ListedUpstream> listed;
  for (std::int64_t i = 0; i < aEngines; ++i) {
    ListedUpstream engine;
    engine.m_id = "engine-" + std::to_string(i);
    engine.m_labels = { { "pool", "a" } };
    listed.push_back(engine);
  }
  set.SetListed(listed);
  for (std::int64_t i = 0; i < aEngines; ++i) {
    EngineReport report;
    report.m_slots = 32;
    report.m_running = i % 24;
    set.SetReport(listed[static_cast<std::size_t>(i)].m_id, report, kNow);
  }
  return set;
}

/** Time of one choice from a pool of all engines. */
template<typename Policy>
void
BM_Choose(benchmark::State& aState)
{
  UpstreamSet set = Fleet(aState.range(0));
  PoolSpec spec;
  spec.m_key = "pool";
  const auto pool = set.Pool(spec);
  ChoiceRequest request;
  request.m_liveInstances = 8;
  std::uint64_t random = 1;
  for (auto _ : aState) {
    random = RendezvousWeight(random, 1);
    request.m_random = random;
    request.m_prefixHash = random | 1U;
    benchmark::DoNotOptimize(Choose(Policy{}, set, pool, request, kNow));
  }
}

BENCHMARK_TEMPLATE(BM_Choose, RandomChoice)->Arg(12)->Arg(100)->Arg(300);
BENCHMARK_TEMPLATE(BM_Choose, LeastReported)->Arg(12)->Arg(100)->Arg(300);
BENCHMARK_TEMPLATE(BM_Choose, LeastInFlight)->Arg(12)->Arg(100)->Arg(300);
BENCHMARK_TEMPLATE(BM_Choose, TwoChoices)->Arg(12)->Arg(100)->Arg(300);
BENCHMARK_TEMPLATE(BM_Choose, BoundedAffinity)->Arg(12)->Arg(100)->Arg(300);

/** Time to match labels against N routes, each of which requires a different
 * organisation. No route matches, so all of them are examined. */
void
BM_MatchRoute(benchmark::State& aState)
{
  declared::Catalog catalog;
  std::vector<declared::Edit> edits;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    const std::string name = "r" + std::to_string(i);
    edits.emplace_back(declared::PutObject{
      "route/" + name,
      R"({"kind":"route","name":")" + name +
        R"(","spec":{"order":1,"requests":{"matchLabels":{"team":")" + name +
        R"("}}}})" });
  }
  if (!catalog.Apply(edits)) {
    aState.SkipWithError("The catalogue refused the routes of the benchmark.");
    return;
  }
  const declared::Labels labels = { { "team", "none" },
                                    { "path", "/v1/completions" },
                                    { "model", "m" } };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(catalog.Match(labels, {}));
  }
}
BENCHMARK(BM_MatchRoute)->Arg(10)->Arg(100)->Arg(1500);

} // namespace
} // namespace ridgeferry::routing
