#include <gtest/gtest.h>
#include <ridgeferry/relay/LeavingNews.h>
#include <vector>

namespace ridgeferry::relay {
namespace {

enum class Said
{
  ByList,
  /** A peer announces an upstream that is listed here. */
  ByPeer,
  ByPeerWithoutBirth,
  ByPeerOfAnotherLife,
  /** A peer announces an upstream that is not listed here, or no longer. */
  ByPeerUnlisted,
  Gone,
};

const UpstreamLife kListed{ "engine-1", 1000 };

struct NewsCase
{
  const char* m_name;
  std::vector<Said> m_said;
  bool m_lastIsNew;
  std::size_t m_told;
};

class LeavingNewsTest : public ::testing::TestWithParam<NewsCase>
{};

bool
Tell(LeavingNews& aNews, Said aSaid)
{
  switch (aSaid) {
    case Said::ByList:
      return aNews.NoteListed(kListed);
    case Said::ByPeer:
      return aNews.NoteFromPeer(kListed, &kListed);
    case Said::ByPeerWithoutBirth:
      return aNews.NoteFromPeer({ kListed.m_id }, &kListed);
    case Said::ByPeerOfAnotherLife:
      return aNews.NoteFromPeer({ kListed.m_id, 5 }, &kListed);
    case Said::ByPeerUnlisted:
      return aNews.NoteFromPeer(kListed, nullptr);
    case Said::Gone:
      aNews.NoteGone("engine-1");
      break;
  }
  return false;
}

TEST_P(LeavingNewsTest, LivesAsLongAsTheListing)
{
  LeavingNews news;
  bool isNew = false;
  for (const Said said : GetParam().m_said) {
    isNew = Tell(news, said);
  }
  EXPECT_EQ(isNew, GetParam().m_lastIsNew);
  EXPECT_EQ(news.Told().size(), GetParam().m_told);
}

INSTANTIATE_TEST_SUITE_P(
  Sayings,
  LeavingNewsTest,
  ::testing::Values(
    NewsCase{ "TheListIsTold", { Said::ByList }, true, 1 },
    NewsCase{ "APeerIsBelieved", { Said::ByPeer }, true, 1 },
    NewsCase{ "NothingIsNewTwice", { Said::ByList, Said::ByPeer }, false, 1 },
    NewsCase{ "ItEndsWithTheListing", { Said::ByList, Said::Gone }, false, 0 },
    NewsCase{ "ItIsNotTakenBackFromAPeer",
              { Said::ByList, Said::Gone, Said::ByPeerUnlisted },
              false,
              0 },
    NewsCase{ "OneThatSaysNoBirthIsBelieved",
              { Said::ByPeerWithoutBirth },
              true,
              1 },
    NewsCase{ "AnotherLifeDoesNotLeave",
              { Said::ByPeerOfAnotherLife },
              false,
              0 },
    NewsCase{ "ALatePeerIsNotBelieved", { Said::ByPeerUnlisted }, false, 0 }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::relay
