// Guards against an upstream that said that it leaves getting work again
// because its row expired, came back older, was read again, or was announced
// late.

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/Fleet.h>
#include <set>

namespace ridgeferry::relay {
namespace {

constexpr int kMostInstances = 4;
constexpr int kUpstreams = 3;
constexpr int kSteps = 60;
constexpr Instant kNow{ Duration{ 1000 } };

enum class Step : std::uint8_t
{
  Leave, ///< The upstream begins to leave; its row still says "ready".
  BornAgain,
  Answer,   ///< It answers an instance, and says what it knows of itself.
  Announce, ///< One instance tells another whom it knows to be leaving.
  Row,      ///< An instance reads its row, of whatever age.
  Lapse,    ///< An instance reads that its row is gone.
  Count,
};

struct Upstream
{
  std::string m_id;
  std::int64_t m_born = 1;
  bool m_leaves = false;
};

struct Instance
{
  Fleet m_fleet;
  /** Incarnations of which this instance has heard that they leave. */
  std::set<std::pair<std::string, std::int64_t>> m_told;
};

/** Instances that hear of upstreams by answers, rows and each other. */
class World
{
public:
  explicit World(int aInstances)
    : m_instances(static_cast<std::size_t>(aInstances))
  {
    for (int i = 0; i < kUpstreams; ++i) {
      m_upstreams.push_back({ "u" + std::to_string(i) });
    }
    for (Instance& instance : m_instances) {
      for (const Upstream& upstream : m_upstreams) {
        ReadRow(instance, upstream, upstream.m_born, false);
      }
    }
  }

  void Do(Step aStep, std::uint32_t aDraw)
  {
    Upstream& upstream = m_upstreams[aDraw % m_upstreams.size()];
    Instance& instance = m_instances[aDraw / 7 % m_instances.size()];
    switch (aStep) {
      case Step::Leave:
        upstream.m_leaves = true;
        break;
      case Step::BornAgain:
        ++upstream.m_born;
        upstream.m_leaves = false;
        break;
      case Step::Answer:
        if (upstream.m_leaves) {
          Tell(instance, { upstream.m_id, upstream.m_born });
        }
        break;
      case Step::Announce:
        for (const auto& [id, born] : instance.m_told) {
          Tell(m_instances[aDraw / 31 % m_instances.size()], { id, born });
        }
        break;
      case Step::Row:
        ReadRow(instance,
                upstream,
                aDraw % 5 == 0 ? upstream.m_born - 1 : upstream.m_born,
                upstream.m_leaves && aDraw % 3 == 0);
        break;
      case Step::Lapse:
        instance.m_fleet.Drop(upstream.m_id, std::nullopt);
        break;
      case Step::Count:
        break;
    }
  }

  void Check(std::uint64_t aRandom) const
  {
    for (const Instance& instance : m_instances) {
      for (const Upstream& upstream : m_upstreams) {
        CheckTarget(instance, upstream);
      }
      CheckPlace(instance, aRandom);
    }
  }

private:
  static void Tell(Instance& aInstance, const UpstreamIncarnation& aUpstream)
  {
    aInstance.m_told.insert({ aUpstream.m_id, *aUpstream.m_born });
    aInstance.m_fleet.MarkLeaving(aUpstream);
  }

  static void ReadRow(Instance& aInstance,
                      const Upstream& aUpstream,
                      std::int64_t aBorn,
                      bool aLeaving)
  {
    Member row;
    row.m_id = aUpstream.m_id;
    row.m_service = "s";
    row.m_address = "127.0.0.1:1";
    row.m_born = aBorn;
    row.m_leaving = aLeaving;
    aInstance.m_fleet.Put(row);
    if (aLeaving) {
      aInstance.m_told.insert({ aUpstream.m_id, aBorn });
    }
  }

  static void CheckTarget(const Instance& aInstance, const Upstream& aUpstream)
  {
    const Member* listed = aInstance.m_fleet.Find(aUpstream.m_id);
    const auto target =
      aInstance.m_fleet.TargetFor(aUpstream.m_id, RequestPurpose::Work, kNow);
    if (listed == nullptr) {
      RC_ASSERT(!target.has_value());
      return;
    }
    const bool isTold = std::any_of(
      aInstance.m_told.begin(), aInstance.m_told.end(), [&](const auto& aTold) {
        return aTold.first == listed->m_id && aTold.second >= *listed->m_born;
      });
    RC_ASSERT(target.has_value() != isTold);
  }

  static void CheckPlace(const Instance& aInstance, std::uint64_t aRandom)
  {
    PlaceRequest request;
    request.m_service = "s";
    request.m_random = aRandom;
    const PlaceResult result = aInstance.m_fleet.FindPlace(request, kNow);
    if (const auto* place = std::get_if<Place>(&result)) {
      RC_ASSERT(aInstance.m_fleet
                  .TargetFor(place->m_upstream, RequestPurpose::Work, kNow)
                  .has_value());
    }
  }

  std::vector<Instance> m_instances;
  std::vector<Upstream> m_upstreams;
};

TEST(UpstreamNoticesWorldTest, WhoSaidThatItLeavesGetsNoWorkForGood)
{
  EXPECT_TRUE(rc::check("any order of news", [] {
    World world(*rc::gen::inRange(1, kMostInstances + 1));
    for (int step = 0; step < kSteps; ++step) {
      const auto kind =
        static_cast<Step>(*rc::gen::inRange(0, static_cast<int>(Step::Count)));
      world.Do(kind, *rc::gen::arbitrary<std::uint32_t>());
      world.Check(*rc::gen::arbitrary<std::uint64_t>());
    }
  }));
}

TEST(UpstreamNoticesTest, AnEarlierIncarnationSaysNothingOfALaterOne)
{
  UpstreamNotices notices;
  EXPECT_TRUE(notices.NoteLeaving({ "a", 2 }));
  EXPECT_FALSE(notices.NoteLeaving({ "a", 2 }));
  EXPECT_FALSE(notices.NoteLeaving({ "a", 1 }));
  EXPECT_TRUE(notices.IsLeaving({ "a", 1 })); // It has ended.
  EXPECT_TRUE(notices.IsLeaving({ "a", 2 }));
  EXPECT_FALSE(notices.IsLeaving({ "a", 3 }));
  EXPECT_TRUE(notices.NoteLeaving({ "a", 3 }));
  EXPECT_TRUE(notices.IsLeaving({ "a", 2 }));
}

TEST(UpstreamNoticesTest, ThoseHeardOfLongestAgoGiveWay)
{
  UpstreamNotices notices;
  notices.NoteLeaving({ "first" });
  for (std::size_t i = 1; i < UpstreamNotices::kMostUpstreams; ++i) {
    notices.NoteLeaving({ "u" + std::to_string(i) });
  }
  notices.NoteLeaving({ "first" });
  notices.NoteLeaving({ "last" });
  EXPECT_TRUE(notices.IsLeaving({ "first" }));
  EXPECT_FALSE(notices.IsLeaving({ "u1" }));
  EXPECT_TRUE(notices.IsLeaving({ "u2" }));
  EXPECT_TRUE(notices.IsLeaving({ "last" }));
}

} // namespace
} // namespace ridgeferry::relay
