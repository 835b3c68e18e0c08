#include <gtest/gtest.h>
#include <ridgeferry/cli/Story.h>
#include <sstream>

namespace ridgeferry::cli {
namespace {

constexpr const char* kLog =
  R"(noise that is no JSON
 3.1 node-2 {"time":"T3","event":"attempt-sent","instance":"b","id":"x","upstream":"u1"}
{"time":"T4","event":"attempt-ended","instance":"b","id":"x","upstream":"u1","how":"failed"}
{"time":"T1","event":"upstream-listed","instance":"b","upstream":"u1","leaving":false}
{"time":"T2","event":"upstream-listed","instance":"b","upstream":"u2","leaving":false}
{"time":"T3","event":"attempt-sent","instance":"b","id":"y","upstream":"u1"}
{"time":"T5","event":"call-ended","instance":"b","id":"x","outcome":"answer-lost","status":502}
{"time":"T6","event":"upstream-gone","instance":"b","upstream":"u1"}
{"time":"T1","event":"call-quarantined","instance":"c","call":"d1","ends":3}
{"time":"T1","event":"call-quarantined","instance":"c","call":"d2","ends":3}
{"time":"T2","event":"call-held","instance":"b","id":"h","call":"d1"}
{"time":"T1","event":"segment-quarantined","instance":"c","segment":"s1","ends":3}
{"time":"T1","event":"segment-quarantined","instance":"c","segment":"s2","ends":3}
{"time":"T1","event":"send-broke","instance":"c","id":"g","upstream":"u9","call":"d9","segments":"s0,s1"}
{"time":"T2","event":"call-held","instance":"b","id":"k","call":"d3","segment":"s1"}
{"time":"T1","event":"service-unreachable","instance":"b","service":"s"}
{"time":"T1","event":"service-unreachable","instance":"c","service":"s"}
{"time":"T1","event":"upstream-listed","instance":"b","upstream":"u3","service":"s"}
{"time":"T2","event":"call-forwarded","instance":"b","id":"f","service":"s","to":"instance/c"}
{"time":"T7"
)";

struct StoryCase
{
  const char* m_name;
  const char* m_id;
  std::vector<std::string> m_lines;
};

class StoryTest : public ::testing::TestWithParam<StoryCase>
{};

TEST_P(StoryTest, HoldsWhatConcernsTheRequestInOrder)
{
  std::istringstream log(kLog);
  std::vector<std::string> lines;
  for (const StoryLine& line : ReadStory(log, GetParam().m_id)) {
    lines.push_back(line.m_time + " " + line.m_text);
  }
  EXPECT_EQ(lines, GetParam().m_lines);
}

INSTANTIATE_TEST_SUITE_P(
  Requests,
  StoryTest,
  ::testing::Values(
    StoryCase{ "Failed",
               "x",
               { "T1 b upstream-listed upstream=u1 leaving=false",
                 "T3 b attempt-sent id=x upstream=u1",
                 "T4 b attempt-ended id=x upstream=u1 how=failed",
                 "T5 b call-ended id=x outcome=answer-lost status=502" } },
    StoryCase{ "AnotherOne",
               "y",
               { "T1 b upstream-listed upstream=u1 leaving=false",
                 "T3 b attempt-sent id=y upstream=u1" } },
    StoryCase{ "Held",
               "h",
               { "T1 c call-quarantined call=d1 ends=3",
                 "T2 b call-held id=h call=d1" } },
    StoryCase{ "HeldForASegment",
               "k",
               { "T1 c segment-quarantined segment=s1 ends=3",
                 "T2 b call-held id=k call=d3 segment=s1" } },
    StoryCase{ "PassedOn",
               "f",
               { "T1 b service-unreachable service=s",
                 "T2 b call-forwarded id=f service=s to=instance/c" } },
    StoryCase{ "Unknown", "z", {} }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

} // namespace
} // namespace ridgeferry::cli
