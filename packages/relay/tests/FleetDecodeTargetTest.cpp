// Guards against sending the decode of a call with disaggregated prefill to a
// decode engine that is busy with prefills of its own. In a load peak, the
// first event of the output of such a call took 6 ms on engines that were not
// prefilling, and 60 ms (170 ms for one in ten) on engines with colocated
// prefill. Engines of data centres where every decode engine prefilled got
// twice as many outputs. The call must be decoded by an engine that is not
// prefilling, even if only another data centre has one.

#include "FleetFixture.h"

#include <map>

namespace ridgeferry::relay {
namespace {

/** Two data centres with two prefill engines and three decode engines each. */
class FleetDecodeTargetTest : public ::testing::Test
{
protected:
  FleetDecodeTargetTest()
  {
    for (const char* hall : { "a", "b" }) {
      for (int i = 0; i < 2; ++i) {
        Put(std::string(hall) + "p" + std::to_string(i),
            hall,
            UpstreamRole::Prefill);
      }
      for (int i = 0; i < 3; ++i) {
        Put(std::string(hall) + "g" + std::to_string(i),
            hall,
            UpstreamRole::Decode);
      }
    }
  }

  void Put(const std::string& aId,
           const std::string& aDataCentre,
           UpstreamRole aPart)
  {
    Member member = MakeMember(aId, "llm", aPart);
    member.m_dataCentre = aDataCentre;
    member.m_slots = 48;
    m_fleet.Put(member);
  }

  /**
   * Places `aCalls` calls. Returns, for each decode engine, how many of those
   * calls it gets whose prompt a prefill engine processes.
   */
  std::map<std::string, int> DecodeTargetsOf(int aCalls)
  {
    std::map<std::string, int> out;
    std::uint64_t random = 1;
    for (int i = 0; i < aCalls; ++i) {
      random = random * 6364136223846793005U + 1442695040888963407U;
      PlaceRequest request = LongRequest(random);
      request.m_random = random >> 16U;
      const Place place = MustFind(m_fleet, request);
      if (!place.m_prefillEngine.empty()) {
        ++out[place.m_upstream];
      }
    }
    return out;
  }

  Fleet m_fleet;
};

TEST_F(FleetDecodeTargetTest, OutputsGoToEnginesWithoutPrefill)
{
  for (const char* busy : { "ag0", "ag1", "ag2", "bg0" }) {
    m_fleet.NoteSent(busy, 10'000, kNow);
  }
  int others = 0;
  for (const auto& [engine, count] : DecodeTargetsOf(400)) {
    others += engine == "bg1" || engine == "bg2" ? 0 : count;
  }
  EXPECT_EQ(others, 0);
}

TEST_F(FleetDecodeTargetTest, OutputsAreSpreadOverEquallyLoadedEngines)
{
  const std::map<std::string, int> takers = DecodeTargetsOf(600);
  EXPECT_EQ(takers.size(), 6U);
  for (const auto& [engine, count] : takers) {
    EXPECT_LT(count, 200) << engine;
  }
}

} // namespace
} // namespace ridgeferry::relay
