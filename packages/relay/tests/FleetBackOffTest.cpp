// Guards against requests to an upstream that asked this instance for a pause,
// and against an upstream that is shut out by an odd or old request for one.

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/Fleet.h>

namespace ridgeferry::relay {
namespace {

constexpr Instant kNow{ Duration{ 10'000 } };
constexpr Duration kPause{ 3000 };

Member
MakeMember(const std::string& aId, std::int64_t aBorn = 1)
{
  Member out;
  out.m_id = aId;
  out.m_service = "s";
  out.m_address = "127.0.0.1:1";
  out.m_born = aBorn;
  return out;
}

PlaceRequest
MakeRequest(std::uint64_t aRandom = 0)
{
  PlaceRequest out;
  out.m_service = "s";
  out.m_random = aRandom;
  return out;
}

bool
MayBeSent(const Fleet& aFleet, std::string_view aId, Instant aNow)
{
  return aFleet.TargetFor(aId, RequestPurpose::Work, aNow).has_value() &&
         aFleet.TargetFor(aId, RequestPurpose::Upkeep, aNow).has_value();
}

class FleetBackOffTest : public ::testing::Test
{
protected:
  FleetBackOffTest() { m_fleet.Put(MakeMember("a")); }

  Fleet m_fleet;
};

TEST_F(FleetBackOffTest, GetsNothingUntilTheLatestEndThatItNamed)
{
  EXPECT_TRUE(m_fleet.NoteBackOff({ "a", 1 }, kPause, kNow));
  EXPECT_FALSE(m_fleet.NoteBackOff({ "a", 1 }, Duration{ 100 }, kNow));
  EXPECT_FALSE(MayBeSent(m_fleet, "a", kNow + kPause - Duration{ 1 }));
  EXPECT_TRUE(MayBeSent(m_fleet, "a", kNow + kPause));
}

TEST_F(FleetBackOffTest, HoldsThoughTheRowExpiresAndComesBack)
{
  m_fleet.NoteBackOff({ "a", 1 }, kPause, kNow);
  m_fleet.Drop("a", std::nullopt);
  m_fleet.Put(MakeMember("a"));
  EXPECT_FALSE(MayBeSent(m_fleet, "a", kNow));
}

TEST_F(FleetBackOffTest, ALaterIncarnationHasNone)
{
  m_fleet.NoteBackOff({ "a", 1 }, kPause, kNow);
  m_fleet.Put(MakeMember("a", 2));
  EXPECT_TRUE(MayBeSent(m_fleet, "a", kNow));
  m_fleet.NoteBackOff({ "a", 1 }, kPause, kNow);
  EXPECT_TRUE(MayBeSent(m_fleet, "a", kNow));
}

TEST_F(FleetBackOffTest, AnAnswerToAnEarlierRequestDoesNotEndIt)
{
  m_fleet.NoteBackOff({ "a", 1 }, kPause, kNow);
  m_fleet.NoteAccepted("a", kNow + Duration{ 10 });
  EXPECT_FALSE(MayBeSent(m_fleet, "a", kNow + Duration{ 10 }));
}

TEST_F(FleetBackOffTest, IsBoundedWhateverIsNamed)
{
  m_fleet.NoteBackOff({ "a", 1 }, Duration{ 86'400'000 }, kNow);
  EXPECT_TRUE(MayBeSent(m_fleet, "a", kNow + UpstreamNotices::kMaxBackOff));
}

TEST_F(FleetBackOffTest, IsNoEjectionAndNoLackOfReach)
{
  m_fleet.NoteSent("a", 0, kNow);
  m_fleet.NoteBackOff({ "a", 1 }, kPause, kNow);
  for (int i = 0; i < 2 * Fleet::kDeclinesToEject; ++i) {
    EXPECT_FALSE(
      m_fleet.NoteEnded("a", 0, AttemptEnd::Declined, Duration{ 1 }, kNow));
  }
  EXPECT_TRUE(m_fleet.IsAnyResponsive("s", kNow));
}

TEST_F(FleetBackOffTest, WhereAllBackOffTheFirstEndIsTold)
{
  m_fleet.Put(MakeMember("b"));
  m_fleet.NoteBackOff({ "a", 1 }, kPause, kNow);
  EXPECT_FALSE(m_fleet.BackOffOf("s", kNow).has_value());
  m_fleet.NoteBackOff({ "b", 1 }, kPause * 2, kNow);
  EXPECT_EQ(m_fleet.BackOffOf("s", kNow), kPause);
  const PlaceResult result = m_fleet.FindPlace(MakeRequest(), kNow);
  const auto* fault = std::get_if<PlaceFault>(&result);
  ASSERT_NE(fault, nullptr);
  EXPECT_EQ(fault->m_cause, NoPlaceCause::BackingOff);
  EXPECT_EQ(fault->m_roomIn, kPause);
}

TEST_F(FleetBackOffTest, BehindItsEndOneCallAtATimeUntilOneIsRun)
{
  m_fleet.Put(MakeMember("b"));
  m_fleet.NoteBackOff({ "a", 1 }, kPause, kNow);
  m_fleet.NoteBackOff({ "b", 1 }, kPause * 2, kNow);
  const Instant behind = kNow + kPause;
  const auto findsA = [&] {
    const PlaceResult result = m_fleet.FindPlace(MakeRequest(), behind);
    const auto* place = std::get_if<Place>(&result);
    return place != nullptr && place->m_upstream == "a";
  };
  EXPECT_TRUE(findsA());
  m_fleet.NoteSent("a", 0, behind);
  EXPECT_FALSE(findsA());
  m_fleet.NoteEnded("a", 0, AttemptEnd::Declined, Duration{ 1 }, behind);
  EXPECT_TRUE(findsA());
  m_fleet.NoteSent("a", 0, behind);
  m_fleet.NoteAccepted("a", behind);
  EXPECT_TRUE(findsA());
}

TEST(FleetBackOffWorldTest, NothingIsPlacedWhereNothingMayBeSent)
{
  EXPECT_TRUE(rc::check("any pauses and rows", [] {
    constexpr std::uint32_t kMembers = 4;
    Fleet fleet;
    std::map<std::string, std::int64_t> spoken; ///< Latest incarnation by id.
    Instant now = kNow;
    const auto idOf = [](std::uint32_t aDraw) {
      return std::string(1, static_cast<char>('a' + aDraw % kMembers));
    };
    const int steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
      const auto draw = *rc::gen::arbitrary<std::uint32_t>();
      const std::string id = idOf(draw);
      now += Duration(*rc::gen::inRange(0, 2000));
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          fleet.Put(MakeMember(id, 1 + draw / kMembers % 2));
          break;
        case 1:
          fleet.Drop(id, std::nullopt);
          break;
        case 2: {
          const std::int64_t born = 1 + draw / kMembers % 2;
          fleet.NoteBackOff({ id, born }, Duration(draw % 5000), now);
          spoken[id] = std::max(spoken[id], born);
          break;
        }
        case 3:
          fleet.NoteSent(id, 0, now);
          break;
        default:
          fleet.NoteEnded(id, 0, AttemptEnd::Declined, Duration{ 1 }, now);
          break;
      }
      const PlaceResult result = fleet.FindPlace(MakeRequest(draw), now);
      if (const auto* place = std::get_if<Place>(&result)) {
        RC_ASSERT(MayBeSent(fleet, place->m_upstream, now));
      }
      // Long behind all of them, everybody that is listed may be sent to, but
      // for whom a later incarnation has spoken.
      const Instant later = now + UpstreamNotices::kMaxBackOff;
      for (std::uint32_t m = 0; m < kMembers; ++m) {
        const Member* listed = fleet.Find(idOf(m));
        if (listed == nullptr) {
          RC_ASSERT(!MayBeSent(fleet, idOf(m), later));
        } else if (spoken[idOf(m)] <= *listed->m_born) {
          RC_ASSERT(MayBeSent(fleet, idOf(m), later));
        }
      }
    }
  }));
}

} // namespace
} // namespace ridgeferry::relay
