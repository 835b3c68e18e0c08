// Tests placement with disaggregated prefill. The load has a hundred shared
// prefixes of 13,300 tokens, each followed by some thousand tokens of the
// prompt's own, on engines that prefill 60 tokens per ms. It also has short
// prompts of 1,500 tokens with a tighter first-token target.

#include "FleetFixture.h"

#include <rapidcheck/gtest.h>
#include <set>

namespace ridgeferry::relay {
namespace {

/** Length of a shared prefix, in tokens. */
constexpr std::int64_t kShared = 13'300;
/** Number of tokens of a long prompt after its shared prefix. */
constexpr std::int64_t kOwn = 3'700;
constexpr double kPace = 60;

class FleetDisaggregatedTest : public ::testing::Test
{
protected:
  FleetDisaggregatedTest()
  {
    for (const char* hall : { "a", "b" }) {
      for (int i = 0; i < 3; ++i) {
        Put(std::string(hall) + "r" + std::to_string(i),
            hall,
            UpstreamRole::Prefill);
      }
      Put(std::string(hall) + "g", hall, UpstreamRole::Decode);
    }
    m_fleet.RestoreDisaggregatedServices({ Fleet::ShortHash("llm") });
    // One clean sample of each role tells the throughput. A sample is clean if
    // nothing was queued ahead of its call.
    m_fleet.NoteThroughput({ "ar0", 60'000, Duration{ 1015 }, true });
    m_fleet.NoteThroughput({ "ag", 30'000, Duration{ 1015 }, true });
  }

  void Put(const std::string& aId,
           const std::string& aDataCentre,
           UpstreamRole aPart)
  {
    Member member = MakeMember(aId, "llm", aPart);
    member.m_dataCentre = aDataCentre;
    member.m_slots = 64;
    m_fleet.Put(member);
  }

  /**
   * Returns a request for a prompt with the shared prefix `aPart` and the time
   * limits of the load above.
   */
  static PlaceRequest Long(std::uint32_t aPart)
  {
    PlaceRequest out;
    out.m_service = "llm";
    out.m_dataCentre = "a";
    Prompt prompt{ aPart, kShared, kOwn, 120 };
    prompt.m_prefixSegments = { { aPart, kShared } };
    out.m_prompt = prompt;
    out.m_admissionBound = Duration{ 420 };
    out.m_pause = Duration{ 200 };
    out.m_shortestAim = Duration{ 300 };
    out.m_movedPerMs = 1200;
    out.m_left = Duration{ 2400 };
    return out;
  }
  static PlaceRequest Short()
  {
    PlaceRequest out = Long(1);
    out.m_prompt = Prompt{ 2, 350, 1'100, 170 };
    out.m_admissionBound = Duration{ 210 };
    out.m_left = Duration{ 2000 };
    return out;
  }
  PlaceResult Find(const PlaceRequest& aRequest) const
  {
    return m_fleet.FindPlace(aRequest, kNow);
  }
  Place Must(const PlaceRequest& aRequest) const
  {
    return MustFind(m_fleet, aRequest);
  }
  /**
   * Queues `aWork` units of prefill work at every prefill engine and makes
   * every decode engine busy.
   */
  void LoadAll(std::int64_t aWork)
  {
    for (const char* hall : { "a", "b" }) {
      for (int i = 0; i < 3; ++i) {
        m_fleet.NoteSent(
          std::string(hall) + "r" + std::to_string(i), aWork, kNow);
      }
    }
    Occupy();
  }
  /** Starts a decoding call at each decode engine. */
  void Occupy()
  {
    m_fleet.NoteSent("ag", 0, kNow);
    m_fleet.NoteSent("bg", 0, kNow);
  }

  Fleet m_fleet;
};

TEST_F(FleetDisaggregatedTest, LongPromptsArePrefilledAndDecodedInOneDataCentre)
{
  Occupy();
  for (std::uint32_t part = 1; part <= 50; ++part) {
    const Place place = Must(Long(part));
    ASSERT_FALSE(place.m_prefillEngine.empty());
    // The first letter of an id is the engine's data centre.
    EXPECT_EQ(place.m_prefillEngine[0], place.m_upstream[0]);
  }
}

TEST_F(FleetDisaggregatedTest,
       AnUnknownPrefixHasOneAffinityTargetAndTargetsAreSpread)
{
  Occupy();
  std::set<std::string> used;
  for (std::uint32_t part = 1; part <= 60; ++part) {
    std::set<std::string> readers;
    PlaceRequest request = Long(part);
    for (request.m_random = 0; request.m_random < 20; ++request.m_random) {
      readers.insert(Must(request).m_prefillEngine);
    }
    // Instances agree on the engine without communication.
    EXPECT_EQ(readers.size(), 1U);
    used.insert(readers.begin(), readers.end());
  }
  EXPECT_EQ(used.size(), 6U);
}

TEST_F(FleetDisaggregatedTest, APrefixIsPrefilledWhereAnyInstanceHadItCached)
{
  Occupy();
  const std::string home = Must(Long(5)).m_prefillEngine;
  const std::string other = home == "br2" ? "br1" : "br2";
  m_fleet.NoteCached({ 5, Fleet::ShortHash(other) }, kNow);
  const Place place = Must(Long(5));
  EXPECT_EQ(place.m_prefillEngine, other);
  EXPECT_EQ(place.m_work, Fleet::WorkOf(*Long(5).m_prompt, kOwn));
}

TEST_F(FleetDisaggregatedTest, APrefixIsFetchedFromABusyEngineThatCachesIt)
{
  Occupy();
  m_fleet.NoteCached({ 5, Fleet::ShortHash("ar1") }, kNow);
  m_fleet.NoteSent("ar1", 12'000, kNow); // Prefilling this takes 200 ms.
  const Place place = Must(Long(5));
  EXPECT_NE(place.m_prefillEngine, "ar1");
  EXPECT_EQ(place.m_fetchFrom, "ar1");
  EXPECT_EQ(place.m_work, Fleet::WorkOf(*Long(5).m_prompt, kOwn));
}

TEST_F(FleetDisaggregatedTest,
       WithoutTransfersAPromptWaitsForTheEngineThatCachesItsPrefix)
{
  Occupy();
  m_fleet.NoteCached({ 5, Fleet::ShortHash("ar1") }, kNow);
  m_fleet.NoteSent("ar1", 12'000, kNow);
  PlaceRequest request = Long(5);
  request.m_movedPerMs = 0;
  // The long first-token target lets the prompt queue at `ar1`.
  request.m_shortestAim = Duration{ 2000 };
  const Place place = Must(request);
  // Prefilling the prefix again elsewhere would take 350 ms.
  EXPECT_EQ(place.m_prefillEngine, "ar1");
  EXPECT_TRUE(place.m_fetchFrom.empty());
}

/**
 * The work that is queued at each prefill engine, and what happens to a prompt.
 */
struct QueueCase
{
  const char* m_name;
  std::int64_t m_work;
  bool m_short;
  Duration m_left; ///< Time until the caller gives up.
  const char* m_outcome;
};

class QueueTest
  : public FleetDisaggregatedTest
  , public ::testing::WithParamInterface<QueueCase>
{
protected:
  static std::string NameOf(const PlaceResult& aResult)
  {
    if (const auto* place = std::get_if<Place>(&aResult)) {
      return place->m_late ? "late" : "placed";
    }
    return std::holds_alternative<PlaceLater>(aResult) ? "waits" : "refused";
  }
};

TEST_P(QueueTest, ShortPromptsGoFirstAndLateOnesWaitForRoom)
{
  LoadAll(GetParam().m_work);
  // Keeps the decode engines too busy for a short prompt, so that only prefill
  // engines remain.
  m_fleet.NoteSent("ag", 4'000, kNow);
  m_fleet.NoteSent("bg", 4'000, kNow);
  PlaceRequest request = GetParam().m_short ? Short() : Long(5);
  m_fleet.NoteCached({ 5, Fleet::ShortHash("ar1") }, kNow);
  request.m_left = GetParam().m_left;
  EXPECT_EQ(NameOf(Find(request)), GetParam().m_outcome);
}

INSTANTIATE_TEST_SUITE_P(
  Queues,
  QueueTest,
  ::testing::Values(
    QueueCase{ "Idle", 0, false, Duration{ 2400 }, "placed" },
    QueueCase{ "ShortBefore100Ms", 6'000, true, Duration{ 2000 }, "placed" },
    QueueCase{ "LongBefore100Ms", 6'000, false, Duration{ 2400 }, "placed" },
    QueueCase{ "ShortBefore150Ms", 9'000, true, Duration{ 2000 }, "placed" },
    QueueCase{ "LongBefore150Ms", 9'000, false, Duration{ 2400 }, "waits" },
    QueueCase{ "ShortTooLate", 15'000, true, Duration{ 2000 }, "waits" },
    QueueCase{ "LongTooLate", 30'000, false, Duration{ 2400 }, "waits" },
    QueueCase{ "LongWithoutTime", 30'000, false, Duration{ 500 }, "refused" },
    QueueCase{ "ShortWithoutTime", 30'000, true, Duration{ 300 }, "refused" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

TEST_F(FleetDisaggregatedTest, ALatePromptGoesWhereNothingWaits)
{
  Occupy();
  PlaceRequest request = Long(5);
  // The caller is retrying, and its target has passed already.
  request.m_admissionBound = Duration{ -500 };
  const Place place = Must(request);
  EXPECT_TRUE(place.m_late);
}

TEST_F(FleetDisaggregatedTest, ARefusalTellsWhenThereMayBeRoom)
{
  LoadAll(60'000);
  m_fleet.NoteSent("ag", 4'000, kNow);
  m_fleet.NoteSent("bg", 4'000, kNow);
  PlaceRequest request = Long(5);
  request.m_left = Duration{ 600 };
  const PlaceResult result = Find(request);
  const auto* fault = std::get_if<PlaceFault>(&result);
  ASSERT_NE(fault, nullptr);
  EXPECT_EQ(fault->m_cause, NoPlaceCause::Full);
  EXPECT_GT(fault->m_roomIn, Duration{ 400 });
}

TEST_F(FleetDisaggregatedTest,
       ShortPromptsArePrefilledOnDecodeEnginesOneAtATime)
{
  LoadAll(6'000);
  const Place first = Must(Short());
  // Its prefill takes 50 ms, and the callers allow pauses of 200 ms in the
  // streams that the decode engine produces meanwhile.
  EXPECT_TRUE(first.m_prefillEngine.empty());
  m_fleet.NoteSent("ag", 1'500, kNow);
  m_fleet.NoteSent("bg", 1'500, kNow);
  EXPECT_FALSE(Must(Short()).m_prefillEngine.empty());
}

TEST_F(FleetDisaggregatedTest, LongPromptsArePrefilledOnIdleDecodeEnginesOnly)
{
  LoadAll(60'000);
  EXPECT_TRUE(std::holds_alternative<PlaceLater>(Find(Long(5))));
  Fleet idle = m_fleet;
  idle.NoteEnded("ag", 0, AttemptEnd::Served, Duration{ 5 }, kNow);
  const PlaceResult result = idle.FindPlace(Long(5), kNow);
  const auto* place = std::get_if<Place>(&result);
  ASSERT_NE(place, nullptr);
  // The engine `ag` decodes no other call, so the prefill delays no output.
  EXPECT_EQ(place->m_upstream, "ag");
  EXPECT_TRUE(place->m_prefillEngine.empty());
}

TEST_F(FleetDisaggregatedTest, RoleUpdatesTakePrecedenceOverTheList)
{
  m_fleet.SetRoleUpdates("peer",
                         { { Fleet::ShortHash("ar0"), std::nullopt },
                           { Fleet::ShortHash("ar1"), UpstreamRole::Decode } });
  Occupy();
  for (std::uint32_t part = 1; part <= 40; ++part) {
    const Place place = Must(Long(part));
    // The engine `ar0` is changing roles and accepts no calls.
    EXPECT_NE(place.m_prefillEngine, "ar0");
    EXPECT_NE(place.m_prefillEngine, "ar1");
  }
  m_fleet.SetRoleUpdates("peer", {});
  std::set<std::string> used;
  for (std::uint32_t part = 1; part <= 40; ++part) {
    used.insert(Must(Long(part)).m_prefillEngine);
  }
  EXPECT_TRUE(used.contains("ar0"));
  EXPECT_TRUE(used.contains("ar1"));
}

TEST_F(FleetDisaggregatedTest, TwoPeersMustReportThatColocatedPrefillFails)
{
  Fleet fleet;
  fleet.SetDisaggregatedServices("one", { Fleet::ShortHash("llm") });
  EXPECT_TRUE(fleet.AllowsColocatedPrefill("llm"));
  fleet.SetDisaggregatedServices("two", { Fleet::ShortHash("llm") });
  EXPECT_FALSE(fleet.AllowsColocatedPrefill("llm"));
  EXPECT_TRUE(fleet.AllowsColocatedPrefill("desk"));
  // `OwnDisaggregatedServices` contains only what this instance has found
  // itself.
  EXPECT_TRUE(fleet.OwnDisaggregatedServices().empty());
  fleet.SetDisaggregatedServices("two", {});
  EXPECT_TRUE(fleet.AllowsColocatedPrefill("llm"));
}

TEST_F(FleetDisaggregatedTest, AnUncleanSampleDoesNotChangeTheThroughput)
{
  Occupy();
  const double before = Must(Long(5)).m_expectedMs;
  for (int i = 0; i < 20; ++i) {
    m_fleet.NoteThroughput({ "ar0", 60'000, Duration{ 9'000 }, false });
    m_fleet.NoteThroughput({ "ar1", 60'000, Duration{ 9'000 }, false });
  }
  EXPECT_EQ(Must(Long(5)).m_expectedMs, before);
}

TEST_F(FleetDisaggregatedTest, TheOutputNeedsDecodeEnginesBySlotsAndByCache)
{
  EngineTraits traits;
  traits.m_slots = 64;
  for (int i = 0; i < 96; ++i) {
    m_fleet.NoteSent("ag", 0, kNow);
  }
  EXPECT_NEAR(m_fleet.DecodeEnginesNeeded("llm", traits), 2, 0.01);
  for (int i = 0; i < 200; ++i) {
    m_fleet.NotePrompt("llm", *Long(1).m_prompt, Duration{ 200 });
  }
  traits.m_cacheTokens = 470'000;
  EXPECT_NEAR(m_fleet.DecodeEnginesNeeded("llm", traits), 4.7, 0.1);
}

TEST_F(FleetDisaggregatedTest,
       APlaceHasASoundPrefillEngineAndASoundDecodeEngine)
{
  EXPECT_TRUE(rc::check("any load of the engines", [this] {
    Fleet fleet = m_fleet;
    for (const char* id : { "ar0", "ar1", "ar2", "br0", "ag", "bg" }) {
      fleet.NoteSent(id, *rc::gen::inRange<std::int64_t>(0, 90'000), kNow);
    }
    fleet.MarkLeaving({ "br1" });
    fleet.SetRoleUpdates("peer", { { Fleet::ShortHash("br2"), std::nullopt } });
    PlaceRequest request = *rc::gen::arbitrary<bool>() ? Short() : Long(3);
    request.m_random = *rc::gen::arbitrary<std::uint64_t>();
    const PlaceResult result = fleet.FindPlace(request, kNow);
    if (const auto* place = std::get_if<Place>(&result)) {
      RC_ASSERT(place->m_upstream == "ag" || place->m_upstream == "bg");
      RC_ASSERT(place->m_prefillEngine != "br1");
      RC_ASSERT(place->m_prefillEngine != "br2");
      RC_ASSERT(place->m_work > 0);
    }
  }));
}

} // namespace
} // namespace ridgeferry::relay
