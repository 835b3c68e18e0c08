// Members that were sent something and say nothing.

#include "FleetFixture.h"

namespace ridgeferry::relay {
namespace {

/** What was seen of a member that was sent something, until a later choice. */
struct SilenceCase
{
  const char* m_name;
  Duration m_since;     ///< From the send to the choice.
  bool m_heard;         ///< Some bytes came from it meanwhile.
  bool m_otherIsSilent; ///< The other member is in the same case.
  bool m_mayBeChosen;
};

class FleetSilenceTest
  : public FleetTest
  , public ::testing::WithParamInterface<SilenceCase>
{};

TEST_P(FleetSilenceTest, NothingMoreGoesThereWhileOthersAreSound)
{
  m_fleet.NoteSent("a", 0, kNow);
  if (GetParam().m_heard) {
    m_fleet.NoteHeard("a");
  }
  if (GetParam().m_otherIsSilent) {
    m_fleet.NoteSent("b", 0, kNow);
  }
  // So many calls at the other one that `a` is the better place.
  for (int i = 0; i < 5; ++i) {
    m_fleet.NoteSent("b", 0, kNow);
    if (!GetParam().m_otherIsSilent) {
      m_fleet.NoteHeard("b");
    }
  }
  const PlaceResult result =
    m_fleet.FindPlace(PlainRequest(), kNow + GetParam().m_since);
  const auto* place = std::get_if<Place>(&result);
  ASSERT_NE(place, nullptr);
  EXPECT_EQ(place->m_upstream == "a", GetParam().m_mayBeChosen);
}

INSTANTIATE_TEST_SUITE_P(
  Cases,
  FleetSilenceTest,
  ::testing::Values(
    SilenceCase{ "JustSent", Duration{ 10 }, false, false, true },
    SilenceCase{ "Silent", Fleet::kSilence, false, false, false },
    SilenceCase{ "Heard", Fleet::kSilence, true, false, true },
    SilenceCase{ "BothSilent", Fleet::kSilence, false, true, true }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

/** How an attempt ended that its member had not said a word to. */
class FleetSilentEndTest
  : public FleetTest
  , public ::testing::WithParamInterface<AttemptEnd>
{
protected:
  bool IsChosen(Instant aNow)
  {
    for (std::uint64_t draw = 0; draw < 10; ++draw) {
      PlaceRequest request = PlainRequest();
      request.m_random = draw;
      const PlaceResult result = m_fleet.FindPlace(request, aNow);
      if (std::get<Place>(result).m_upstream == "a") {
        return true;
      }
    }
    return false;
  }
};

TEST_P(FleetSilentEndTest, RestsAtOnceAndIsThenAskedByOneCall)
{
  // So many calls at the other one that `a` is the better place.
  for (int i = 0; i < 5; ++i) {
    m_fleet.NoteSent("b", 0, kNow);
    m_fleet.NoteHeard("b");
  }
  m_fleet.NoteSent("a", 0, kNow);
  const Instant later = kNow + Fleet::kSilence;
  m_fleet.NoteEnded("a", 0, GetParam(), Fleet::kSilence, later);
  EXPECT_FALSE(m_fleet.IsSilent("a", later)); // Nothing is awaited from it.
  EXPECT_FALSE(IsChosen(later));
  const Instant rested = later + Fleet::kRest;
  EXPECT_TRUE(IsChosen(rested));
  EXPECT_TRUE(m_fleet.NeedsOwnConnection("a", rested));
  m_fleet.NoteSent("a", 0, rested);
  EXPECT_FALSE(IsChosen(rested));
  m_fleet.NoteHeard("a");
  m_fleet.NoteEnded("a", 0, AttemptEnd::Served, Duration{ 5 }, rested);
  m_fleet.NoteSent("a", 0, rested);
  EXPECT_TRUE(IsChosen(rested)); // Not one call at a time any more.
  EXPECT_FALSE(m_fleet.NeedsOwnConnection("a", rested));
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         FleetSilentEndTest,
                         ::testing::Values(AttemptEnd::Failed,
                                           AttemptEnd::Abandoned));

TEST_F(FleetTest, AMemberOutOfReachRestsAtOnce)
{
  m_fleet.NoteSent("a", 0, kNow);
  m_fleet.NoteOutOfReach("a", kNow);
  m_fleet.NoteEnded("a", 0, AttemptEnd::Failed, Duration{ 5 }, kNow);
  for (std::uint64_t draw = 0; draw < 10; ++draw) {
    PlaceRequest request = PlainRequest();
    request.m_random = draw;
    EXPECT_EQ(MustFind(m_fleet, request).m_upstream, "b");
  }
}

// One that only reads says nothing before it has read all that waits there.
TEST_F(FleetTest, AnEngineMayBeSilentWhileItReads)
{
  constexpr Duration kReading{ 800 };
  m_fleet.NotePace({ "p0", 60'000, Duration{ 1015 }, true });
  m_fleet.NoteSent("p0", 48'000, kNow);
  EXPECT_FALSE(m_fleet.IsSilent("p0", kNow + kReading));
  EXPECT_TRUE(m_fleet.IsSilent("p0", kNow + Fleet::kMostSilence));
  m_fleet.NoteSent("p1", 0, kNow);
  EXPECT_TRUE(m_fleet.IsSilent("p1", kNow + Fleet::kSilence));
}

// Those behind a cut must not cost each caller of this side a try.
TEST_F(FleetTest, RestsDoubleUntilTheMemberIsHeard)
{
  Instant now = kNow;
  const auto restOf = [&] {
    m_fleet.NoteSent("a", 0, now);
    m_fleet.NoteOutOfReach("a", now);
    m_fleet.NoteEnded("a", 0, AttemptEnd::Abandoned, Duration{ 5 }, now);
    const Instant began = now;
    PlaceRequest request = PlainRequest();
    const std::vector<std::string> others{ "b" };
    request.m_excluded = others;
    while (!std::holds_alternative<Place>(m_fleet.FindPlace(request, now))) {
      now += Duration{ 100 };
    }
    return now - began;
  };
  EXPECT_EQ(restOf(), Fleet::kRest);
  EXPECT_EQ(restOf(), Fleet::kRest);
  EXPECT_EQ(restOf(), Fleet::kRest * 2);
  EXPECT_EQ(restOf(), Fleet::kLongestRest);
  EXPECT_EQ(restOf(), Fleet::kLongestRest);
  m_fleet.NoteHeard("a");
  EXPECT_EQ(restOf(), Fleet::kRest);
}

// An engine between two parts refuses at once, looks idle and would be given
// everything.
TEST_F(FleetTest, AMemberThatRefusesInARowRests)
{
  for (int i = 0; i < 5; ++i) {
    m_fleet.NoteSent("b", 0, kNow); // `a` is the better place.
  }
  const auto refuse = [&] {
    m_fleet.NoteSent("a", 0, kNow);
    m_fleet.NoteHeard("a");
    m_fleet.NoteEnded("a", 0, AttemptEnd::Declined, Duration{ 5 }, kNow);
  };
  refuse();
  EXPECT_EQ(MustFind(m_fleet, PlainRequest()).m_upstream, "a");
  refuse();
  EXPECT_EQ(MustFind(m_fleet, PlainRequest()).m_upstream, "b");
  const PlaceResult later =
    m_fleet.FindPlace(PlainRequest(), kNow + Fleet::kDeclinedRest);
  EXPECT_EQ(std::get<Place>(later).m_upstream, "a");
}

} // namespace
} // namespace ridgeferry::relay
