#include "FleetFixture.h"

#include <algorithm>
#include <ostream>

namespace ridgeferry::relay {
namespace {

Member
Versioned(std::string aId, std::string aVersion, bool aLeaving = false)
{
  Member out = MakeMember(std::move(aId), "llm", UpstreamRole::Decode);
  out.m_softwareVersion = std::move(aVersion);
  out.m_leaving = aLeaving;
  return out;
}

struct VersionCase
{
  const char* m_name;
  std::vector<Member> m_members;
  const char* m_excluded; ///< An upstream that the call must not get.
  /** Upstreams that may be chosen; empty: none. */
  std::vector<std::string> m_may;
  NoPlaceCause m_cause = NoPlaceCause::NoneSound;
};

std::ostream&
operator<<(std::ostream& aOut, const VersionCase& aCase)
{
  return aOut << aCase.m_name;
}

class FleetVersionTest : public ::testing::TestWithParam<VersionCase>
{};

// Guards against a stream that goes on at another software version than the one
// that began it.
TEST_P(FleetVersionTest, OnlyTheVersionThatBeganGoesOn)
{
  Fleet fleet;
  for (const Member& member : GetParam().m_members) {
    fleet.Put(member);
  }
  const std::vector<std::string> excluded{ GetParam().m_excluded };
  PlaceRequest request = LongRequest(1);
  request.m_softwareVersion = "v1";
  request.m_excluded = excluded;
  for (request.m_random = 0; request.m_random < 40; ++request.m_random) {
    const PlaceResult result = fleet.FindPlace(request, kNow);
    if (const auto* fault = std::get_if<PlaceFault>(&result)) {
      EXPECT_TRUE(GetParam().m_may.empty());
      EXPECT_EQ(fault->m_cause, GetParam().m_cause);
      continue;
    }
    const std::string& chosen = std::get<Place>(result).m_upstream;
    EXPECT_NE(
      std::find(GetParam().m_may.begin(), GetParam().m_may.end(), chosen),
      GetParam().m_may.end())
      << chosen;
  }
}

INSTANTIATE_TEST_SUITE_P(
  Fleets,
  FleetVersionTest,
  ::testing::Values(
    VersionCase{ "Both",
                 { Versioned("a", "v1"),
                   Versioned("b", "v2"),
                   Versioned("c", "v1"),
                   Versioned("d", "v2") },
                 "",
                 { "a", "c" } },
    VersionCase{
      "TheOtherOneLeft",
      { Versioned("a", "v1"), Versioned("b", "v2"), Versioned("c", "v1") },
      "a",
      { "c" } },
    VersionCase{ "TheLastOneFailed",
                 { Versioned("a", "v1"), Versioned("b", "v2") },
                 "a",
                 {},
                 NoPlaceCause::NoneSound },
    VersionCase{ "TheLastOneLeaves",
                 { Versioned("a", "v1", true), Versioned("b", "v2") },
                 "",
                 {},
                 NoPlaceCause::VersionGone },
    VersionCase{ "Gone",
                 { Versioned("b", "v2") },
                 "",
                 {},
                 NoPlaceCause::VersionGone },
    VersionCase{ "AlmostTheSame",
                 { Versioned("a", "v1.1"), Versioned("b", "v") },
                 "",
                 {},
                 NoPlaceCause::VersionGone }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Other calls are kept from an ejected upstream, since they have a choice.
TEST(FleetNewVersionTest, AStreamIsTriedAtAnEjectedUpstreamIfNoOtherCanGoOn)
{
  Fleet fleet;
  fleet.Put(Versioned("a", "v1"));
  fleet.Put(Versioned("b", "v2"));
  Fail(fleet, "a", Fleet::kFailuresToEject);
  PlaceRequest request = LongRequest(1);
  EXPECT_EQ(MustFind(fleet, request).m_upstream, "b");
  request.m_softwareVersion = "v1";
  EXPECT_EQ(MustFind(fleet, request).m_upstream, "a");
}

// An upstream that starts again under its id may come with other software.
TEST(FleetNewVersionTest, AnIncarnationOfAnotherVersionGoesOnWithNothing)
{
  Fleet fleet;
  Member member = Versioned("a", "v1");
  member.m_born = 1000;
  fleet.Put(member);
  member.m_softwareVersion = "v2";
  member.m_born = 2000;
  fleet.Put(member);
  PlaceRequest request = LongRequest(1);
  request.m_softwareVersion = "v1";
  const PlaceResult result = fleet.FindPlace(request, kNow);
  const auto* fault = std::get_if<PlaceFault>(&result);
  ASSERT_NE(fault, nullptr);
  EXPECT_EQ(fault->m_cause, NoPlaceCause::VersionGone);
}

struct CacheCase
{
  const char* m_name;
  bool m_isDisaggregated; ///< Prefill is kept away from decode engines.
};

std::ostream&
operator<<(std::ostream& aOut, const CacheCase& aCase)
{
  return aOut << aCase.m_name;
}

class FleetVersionCacheTest : public ::testing::TestWithParam<CacheCase>
{
protected:
  FleetVersionCacheTest()
  {
    for (const char* version : { "v1", "v2", "v3" }) {
      for (int i = 0; i < 4; ++i) {
        // The newest version only prefills as yet.
        const bool decodes = i == 0 && std::string_view(version) != "v3";
        Member member = Versioned(version + std::to_string(i), version);
        member.m_role = decodes ? UpstreamRole::Decode : UpstreamRole::Prefill;
        m_fleet.Put(member);
      }
    }
    if (GetParam().m_isDisaggregated) {
      m_fleet.RestoreDisaggregatedServices({ Fleet::ShortHash("llm") });
    }
  }

  std::string VersionOf(const std::string& aEngine) const
  {
    const Member* member = m_fleet.Find(aEngine);
    return member == nullptr ? "" : member->m_softwareVersion;
  }

  Fleet m_fleet;
};

// Guards against a KV cache that one version writes and another reads.
TEST_P(FleetVersionCacheTest, ACacheStaysAtTheVersionThatWroteIt)
{
  int apart = 0;
  int fetched = 0;
  for (std::uint64_t i = 0; i < 200; ++i) {
    PlaceRequest request = LongRequest(i % 5);
    request.m_prompt->m_prefixSegments = { { static_cast<std::uint32_t>(i % 5),
                                             6000 } };
    request.m_movedPerMs = 1000;
    request.m_random = i * 7919;
    const Place place = MustFind(m_fleet, request);
    const std::string version = VersionOf(place.m_upstream);
    EXPECT_NE(version, "v3");
    if (!place.m_prefillEngine.empty()) {
      ++apart;
      EXPECT_EQ(VersionOf(place.m_prefillEngine), version);
      m_fleet.NotePrefill(*request.m_prompt, place.m_prefillEngine, kNow);
      m_fleet.NoteSent(place.m_prefillEngine, 500, kNow);
    }
    if (!place.m_fetchFrom.empty()) {
      ++fetched;
      EXPECT_EQ(VersionOf(place.m_fetchFrom), version);
    }
  }
  EXPECT_GT(apart, 50);
  EXPECT_EQ(fetched > 0, GetParam().m_isDisaggregated);
}

INSTANTIATE_TEST_SUITE_P(Ways,
                         FleetVersionCacheTest,
                         ::testing::Values(CacheCase{ "Colocated", false },
                                           CacheCase{ "Disaggregated", true }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

} // namespace
} // namespace ridgeferry::relay
