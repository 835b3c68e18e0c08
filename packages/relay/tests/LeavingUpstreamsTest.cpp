#include <gtest/gtest.h>
#include <ridgeferry/relay/LeavingUpstreams.h>
#include <set>
#include <vector>

namespace ridgeferry::relay {
namespace {

enum class Announcement
{
  ByList, ///< The list shows the upstream as leaving.
  /** A peer announces an upstream that is in this instance's list. */
  ByPeer,
  ByPeerWithoutBirth,
  ByPeerOfAnotherIncarnation,
  /** A peer announces an upstream that is not in this instance's list, or no
   * longer. */
  ByPeerUnlisted,
  Gone, ///< The upstream is no longer listed.
};

const UpstreamIncarnation kListed{ "engine-1", 1000 };

struct NewsCase
{
  const char* m_name;
  std::vector<Announcement> m_announcements;
  bool m_lastIsNew;        ///< The last announcement must be acted on.
  std::size_t m_announced; ///< Upstreams that this instance announces then.
};

class LeavingUpstreamsTest : public ::testing::TestWithParam<NewsCase>
{};

bool
Tell(LeavingUpstreams& aNews, Announcement aAnnouncement)
{
  switch (aAnnouncement) {
    case Announcement::ByList:
      return aNews.NoteListed(kListed);
    case Announcement::ByPeer:
      return aNews.NoteFromPeer(kListed, &kListed);
    case Announcement::ByPeerWithoutBirth:
      return aNews.NoteFromPeer({ kListed.m_id }, &kListed);
    case Announcement::ByPeerOfAnotherIncarnation:
      return aNews.NoteFromPeer({ kListed.m_id, 5 }, &kListed);
    case Announcement::ByPeerUnlisted:
      return aNews.NoteFromPeer(kListed, nullptr);
    case Announcement::Gone:
      aNews.NoteGone("engine-1");
      break;
  }
  return false;
}

TEST_P(LeavingUpstreamsTest, AnnouncedAsLongAsListed)
{
  LeavingUpstreams news;
  bool isNew = false;
  for (const Announcement said : GetParam().m_announcements) {
    isNew = Tell(news, said);
  }
  EXPECT_EQ(isNew, GetParam().m_lastIsNew);
  EXPECT_EQ(news.Size(), GetParam().m_announced);
}

INSTANTIATE_TEST_SUITE_P(
  Sayings,
  LeavingUpstreamsTest,
  ::testing::Values(
    NewsCase{ "TheListIsTold", { Announcement::ByList }, true, 1 },
    NewsCase{ "APeerIsBelieved", { Announcement::ByPeer }, true, 1 },
    NewsCase{ "NothingIsNewTwice",
              { Announcement::ByList, Announcement::ByPeer },
              false,
              1 },
    NewsCase{ "ItEndsWithTheListing",
              { Announcement::ByList, Announcement::Gone },
              false,
              0 },
    NewsCase{ "ItIsNotTakenBackFromAPeer",
              { Announcement::ByList,
                Announcement::Gone,
                Announcement::ByPeerUnlisted },
              false,
              0 },
    NewsCase{ "OneThatSaysNoBirthIsBelieved",
              { Announcement::ByPeerWithoutBirth },
              true,
              1 },
    NewsCase{ "AnotherLifeDoesNotLeave",
              { Announcement::ByPeerOfAnotherIncarnation },
              false,
              0 },
    NewsCase{ "ALatePeerIsNotBelieved",
              { Announcement::ByPeerUnlisted },
              false,
              0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Guards against heartbeats that grow with the number of leaving upstreams, and
// against upstreams that are never named in one.
TEST(LeavingUpstreamsTurnTest, EachIsAnnouncedInTurnAndNewOnesFirst)
{
  constexpr std::size_t kMany = 100;
  constexpr std::size_t kMost = 30;
  LeavingUpstreams news;
  for (std::size_t i = 0; i < kMany; ++i) {
    news.NoteListed({ "u" + std::to_string(i) });
  }
  // Every second heartbeat may go to another receiver.
  std::set<std::string> odd;
  std::set<std::string> even;
  for (int turn = 0; turn < 40; ++turn) {
    const auto next = news.TakeNext(kMost);
    ASSERT_EQ(next.size(), kMost);
    for (const UpstreamIncarnation& upstream : next) {
      (turn % 2 == 0 ? even : odd).insert(upstream.m_id);
    }
  }
  EXPECT_EQ(odd.size(), kMany);
  EXPECT_EQ(even.size(), kMany);
  news.NoteListed({ "new" });
  const auto next = news.TakeNext(kMost);
  EXPECT_EQ(next.front().m_id, "new");
}

} // namespace
} // namespace ridgeferry::relay
