#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <ridgeferry/relay/EventSplitter.h>

namespace ridgeferry::relay {
namespace {

/** The bytes of a stream and what the splitter makes of them. */
struct SplitCase
{
  const char* m_name;
  const char* m_bytes;
  const char* m_whole;  ///< The complete events among the bytes.
  const char* m_lastId; ///< Expected `LastId`.
};

class EventSplitterTest : public ::testing::TestWithParam<SplitCase>
{};

TEST_P(EventSplitterTest, GivesWholeEventsOnly)
{
  EventSplitter splitter;
  EXPECT_EQ(splitter.Add(GetParam().m_bytes), GetParam().m_whole);
  EXPECT_EQ(splitter.LastId(), GetParam().m_lastId);
}

INSTANTIATE_TEST_SUITE_P(
  Streams,
  EventSplitterTest,
  ::testing::Values(
    SplitCase{ "Nothing", "", "", "" },
    SplitCase{ "Whole", "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", "1" },
    SplitCase{ "Cut", "id: 1\ndata: a\n", "", "" },
    SplitCase{ "CutInTheSecond",
               "id: 1\ndata: a\n\nid: 2\nda",
               "id: 1\ndata: a\n\n",
               "1" },
    SplitCase{ "CarriageReturns",
               "id:7\r\ndata: a\r\n\r\n",
               "id:7\r\ndata: a\r\n\r\n",
               "7" },
    SplitCase{ "WithoutId", "data: a\n\n", "data: a\n\n", "" },
    SplitCase{ "KeepsTheEarlierId",
               "id: 3\n\ndata: a\n\n",
               "id: 3\n\ndata: a\n\n",
               "3" },
    SplitCase{ "BlankLines", "\n\n", "\n\n", "" }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// A network may deliver a stream in pieces of any size. The events and the last
// id must not depend on where the pieces are cut.
TEST(EventSplitterPropertyTest, BytesAreNeitherLostNorChangedHoweverTheyCome)
{
  EXPECT_TRUE(rc::check("any cuts of the stream", [] {
    const auto bytes = *rc::gen::container<std::string>(
      rc::gen::element('i', 'd', ':', ' ', '1', '\n', '\r', 'x'));
    EventSplitter splitter;
    std::string out;
    std::size_t at = 0;
    while (at < bytes.size()) {
      const std::size_t piece =
        *rc::gen::inRange<std::size_t>(1, bytes.size() - at + 1);
      out += splitter.Add(std::string_view(bytes).substr(at, piece));
      at += piece;
    }
    EventSplitter whole;
    RC_ASSERT(out == whole.Add(bytes));
    RC_ASSERT(splitter.LastId() == whole.LastId());
    RC_ASSERT(out + splitter.TakeRest() == bytes);
  }));
}

} // namespace
} // namespace ridgeferry::relay
