// Guards against herding: many instances decide from the same, slightly
// outdated loads, and if all chose the engine that looks idle, it would be
// overloaded at once. In a burst each engine should get about the same number
// of calls.
//
// The numbers of engines, slots and instances are those of a deployment with
// five data centres. There, an instance places some ten calls a second and
// learns the loads that other instances report a quarter of a second late, so
// all instances together place some 600 calls by the same, outdated loads.

#include "FleetFixture.h"

#include <algorithm>
#include <map>

namespace ridgeferry::relay {
namespace {

constexpr int kEngines = 100;
/** Number of calls that are placed by the same loads. */
constexpr int kCallsOfOneView = 600;

/**
 * A kind of call, and by which factor the busiest engine may exceed the mean
 * number of calls of the engines that were used.
 */
struct HerdCase
{
  const char* m_name;
  Prompt m_prompt;
  bool m_otherChains; ///< Whether each call has a shared prefix of its own.
  double m_mostOverMean;
};

class FleetHerdTest : public ::testing::TestWithParam<HerdCase>
{
protected:
  FleetHerdTest()
  {
    for (int i = 0; i < kEngines; ++i) {
      const bool reads = i % 3 == 0;
      Member member =
        MakeMember("e" + std::to_string(i),
                   "llm",
                   reads ? UpstreamRole::Prefill : UpstreamRole::Decode);
      member.m_slots = 12;
      member.m_dataCentre = "hall" + std::to_string(i % 5);
      m_fleet.Put(member);
    }
    // Engine e0 looks idle to all instances; the others have a little load.
    for (int i = 1; i < kEngines; ++i) {
      m_loads.push_back(
        { Fleet::ShortHash("e" + std::to_string(i)), 1, 1000 + i % 7 });
    }
    m_fleet.SetPeerLoads("others", m_loads);
  }

  Fleet m_fleet;
  std::vector<PeerLoad> m_loads;
};

TEST_P(FleetHerdTest, NoEngineGetsMuchMoreThanTheOthers)
{
  std::map<std::string, int> outputs;
  std::uint64_t random = 1;
  for (int i = 0; i < kCallsOfOneView; ++i) {
    random = random * 6364136223846793005U + 1442695040888963407U;
    PlaceRequest request = LongRequest(0);
    request.m_prompt = GetParam().m_prompt;
    request.m_random = random >> 16U;
    if (GetParam().m_otherChains) {
      request.m_prompt->m_sharedKey = random;
    }
    ++outputs[MustFind(m_fleet, request).m_upstream];
  }
  int most = 0;
  for (const auto& [engine, count] : outputs) {
    most = std::max(most, count);
  }
  const double mean =
    static_cast<double>(kCallsOfOneView) / static_cast<double>(outputs.size());
  EXPECT_GE(outputs.size(), 8U);
  EXPECT_LE(most, GetParam().m_mostOverMean * mean);
}

INSTANTIATE_TEST_SUITE_P(
  Calls,
  FleetHerdTest,
  ::testing::Values(
    HerdCase{ "ShortPrompts", Prompt{ 0, 80, 140, 45 }, false, 4 },
    HerdCase{ "OutputsOfLongPrompts", Prompt{ 0, 6000, 3000, 2 }, true, 4 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
