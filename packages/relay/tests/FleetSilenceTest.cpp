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

} // namespace
} // namespace ridgeferry::relay
