#include "Session.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace ridgeferry::session {
namespace {

namespace fs = std::filesystem;

const fs::path kFolder = RIDGEFERRY_SESSION_FOLDER;
const fs::path kPrograms = RIDGEFERRY_BUILD_FOLDER;

/** Set by tools/golden: write what was printed in place of comparing. */
bool
Rewrites()
{
  return std::getenv("RIDGEFERRY_REWRITE_GOLDEN") != nullptr;
}

std::vector<std::string>
SessionNames()
{
  std::vector<std::string> out;
  for (const auto& entry : fs::directory_iterator(kFolder / "sessions")) {
    out.push_back(entry.path().stem().string());
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::string
ReadText(const fs::path& aFile)
{
  std::ifstream in(aFile);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

class SessionTest : public ::testing::TestWithParam<std::string>
{};

TEST_P(SessionTest, PrintsItsGoldenFile)
{
  std::signal(SIGPIPE, SIG_IGN);
  RunPlace place;
  place.m_programs = kPrograms;
  place.m_files = kPrograms / "sessions" / GetParam();
  fs::remove_all(place.m_files);
  fs::create_directories(place.m_files);
  const auto loop = net::EventLoop::Make();
  Session session(*loop, place, kFolder / "sessions" / (GetParam() + ".json"));
  const SessionResult result = session.Play();
  ASSERT_TRUE(result.m_played) << result.m_failure << "\n"
                               << result.m_transcript;
  const fs::path golden = kFolder / "golden" / (GetParam() + ".txt");
  if (Rewrites()) {
    std::ofstream(golden) << result.m_transcript;
    return;
  }
  EXPECT_EQ(result.m_transcript, ReadText(golden));
}

INSTANTIATE_TEST_SUITE_P(All,
                         SessionTest,
                         ::testing::ValuesIn(SessionNames()),
                         [](const auto& aInfo) {
                           std::string name = aInfo.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

} // namespace
} // namespace ridgeferry::session
