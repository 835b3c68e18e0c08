// Measures the computation of a call's digest for several body sizes.

#include <benchmark/benchmark.h>
#include <ridgeferry/quarantine/CallDigest.h>

namespace ridgeferry::quarantine {
namespace {

void
NameCall(benchmark::State& aState)
{
  const std::string body(static_cast<std::size_t>(aState.range(0)), 'x');
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      DigestOf({ "", "POST", "h.example", "/p/x", body }));
  }
}

BENCHMARK(NameCall)->Arg(0)->Arg(1 << 10)->Arg(44 << 10)->Arg(16 << 20);

} // namespace
} // namespace ridgeferry::quarantine
