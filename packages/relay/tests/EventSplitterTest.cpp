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
  bool m_isInsideEvent = false;
  std::uint64_t m_events = 0;
};

class EventSplitterTest : public ::testing::TestWithParam<SplitCase>
{};

TEST_P(EventSplitterTest, GivesWholeEventsOnly)
{
  EventSplitter splitter;
  EXPECT_EQ(splitter.Add(GetParam().m_bytes), GetParam().m_whole);
  EXPECT_EQ(splitter.LastId(), GetParam().m_lastId);
  EXPECT_EQ(splitter.IsInsideEvent(), GetParam().m_isInsideEvent);
  EXPECT_EQ(splitter.Events(), GetParam().m_events);
}

INSTANTIATE_TEST_SUITE_P(
  Streams,
  EventSplitterTest,
  ::testing::Values(
    SplitCase{ "Nothing", "", "", "" },
    SplitCase{ "Whole",
               "id: 1\ndata: a\n\n",
               "id: 1\ndata: a\n\n",
               "1",
               false,
               1 },
    SplitCase{ "Cut", "id: 1\ndata: a\n", "", "", true },
    SplitCase{ "CutInTheSecond",
               "id: 1\ndata: a\n\nid: 2\nda",
               "id: 1\ndata: a\n\n",
               "1",
               true,
               1 },
    SplitCase{ "CrLf",
               "id:7\r\ndata: a\r\n\r\n",
               "id:7\r\ndata: a\r\n\r\n",
               "7",
               false,
               1 },
    SplitCase{ "CutInTheLastCrLf", "id:7\r\ndata: a\r\n\r", "", "", true },
    SplitCase{ "CrAlone",
               "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
               "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
               "2",
               false,
               2 },
    SplitCase{ "CutInCrAlone",
               "id: 1\rdata: a\r\rid: 2\r",
               "id: 1\rdata: a\r\r",
               "1",
               true,
               1 },
    SplitCase{ "MixedLineEnds",
               "id: 1\ndata: a\r\n\rid: 2\r\n\n",
               "id: 1\ndata: a\r\n\rid: 2\r\n\n",
               "2",
               false,
               2 },
    SplitCase{ "AnLfBehindAnEventInCr",
               "id: 1\r\r\n",
               "id: 1\r\r",
               "1",
               false,
               1 },
    SplitCase{ "WithoutId", "data: a\n\n", "data: a\n\n", "", false, 1 },
    SplitCase{ "KeepsTheEarlierId",
               "id: 3\n\ndata: a\n\n",
               "id: 3\n\ndata: a\n\n",
               "3",
               false,
               2 },
    SplitCase{ "Comments", ": a\n\n: b\n", ": a\n\n", "" },
    SplitCase{ "CutInAComment", ": a\n\n: b", ": a\n\n", "", true },
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
