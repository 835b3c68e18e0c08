#include "FleetFixture.h"

#include <ostream>
#include <set>

namespace ridgeferry::relay {
namespace {

struct MixCase
{
  const char* m_name;
  std::vector<UpstreamRole> m_roles; ///< Of the upstreams "0", "1" and so on.
  /** Upstreams that may run the call; empty: none. */
  std::set<std::string> m_may;
  bool m_runsEngines;
};

std::ostream&
operator<<(std::ostream& aOut, const MixCase& aCase)
{
  return aOut << aCase.m_name;
}

class FleetRoleMixTest : public ::testing::TestWithParam<MixCase>
{};

// Guards against a prompt that is placed with an engine that there is not.
TEST_P(FleetRoleMixTest, AnyPromptIsPlacedOnWhatCanRunIt)
{
  Fleet fleet;
  for (std::size_t i = 0; i < GetParam().m_roles.size(); ++i) {
    fleet.Put(MakeMember(std::to_string(i), "llm", GetParam().m_roles[i]));
  }
  EXPECT_EQ(fleet.RunsEngines("llm"), GetParam().m_runsEngines);
  PlaceRequest shortRequest = LongRequest(1);
  shortRequest.m_prompt = Prompt{ 1, 80, 140, 90 };
  for (PlaceRequest request : { LongRequest(1), shortRequest }) {
    for (request.m_random = 0; request.m_random < 40; ++request.m_random) {
      const PlaceResult result = fleet.FindPlace(request, kNow);
      const auto* place = std::get_if<Place>(&result);
      ASSERT_EQ(place != nullptr, !GetParam().m_may.empty());
      if (place == nullptr) {
        continue;
      }
      EXPECT_TRUE(GetParam().m_may.contains(place->m_upstream))
        << place->m_upstream;
      if (!place->m_prefillEngine.empty()) {
        EXPECT_EQ(fleet.Find(place->m_prefillEngine)->m_role,
                  UpstreamRole::Prefill);
        EXPECT_EQ(fleet.Find(place->m_upstream)->m_role, UpstreamRole::Decode);
      }
    }
  }
}

constexpr auto kPlain = UpstreamRole::Plain;
constexpr auto kPrefill = UpstreamRole::Prefill;
constexpr auto kDecode = UpstreamRole::Decode;

INSTANTIATE_TEST_SUITE_P(
  Mixes,
  FleetRoleMixTest,
  ::testing::Values(
    MixCase{ "None", {}, {}, false },
    MixCase{ "Plain", { kPlain, kPlain }, { "0", "1" }, false },
    MixCase{ "Prefill", { kPrefill, kPrefill }, {}, true },
    MixCase{ "Decode", { kDecode }, { "0" }, true },
    MixCase{ "Both", { kPrefill, kDecode }, { "1" }, true },
    MixCase{ "PlainAndPrefill", { kPlain, kPrefill }, { "0" }, true },
    MixCase{ "PlainAndDecode", { kPlain, kDecode }, { "0", "1" }, true },
    MixCase{ "All", { kPlain, kPrefill, kDecode }, { "0", "2" }, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
