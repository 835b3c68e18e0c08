#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <ridgeferry/observe/Log.h>
#include <string>
#include <unistd.h>

namespace ridgeferry::observe {
namespace {

/** Standard output goes to a file meanwhile. Not thread-safe. */
class OutputToFile
{
public:
  OutputToFile()
    : m_saved(dup(STDOUT_FILENO))
  {
    const int file = mkstemp(m_name.data());
    dup2(file, STDOUT_FILENO);
    close(file);
  }
  ~OutputToFile()
  {
    dup2(m_saved, STDOUT_FILENO);
    close(m_saved);
    unlink(m_name.c_str());
  }
  OutputToFile(const OutputToFile&) = delete;
  OutputToFile& operator=(const OutputToFile&) = delete;

  std::string Text() const
  {
    std::ifstream file(m_name);
    return { std::istreambuf_iterator<char>(file), {} };
  }

private:
  std::string m_name = "/tmp/log-test-XXXXXX";
  int m_saved;
};

std::size_t
CountOf(const std::string& aText, const std::string& aPiece)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPiece); at != std::string::npos;
       at = aText.find(aPiece, at + aPiece.size())) {
    ++count;
  }
  return count;
}

// Guards against losing the lines of a call that was sent again among many
// others.
TEST(LogTest, KeptLinesHaveABoundOfTheirOwn)
{
  constexpr int kMany = 3 * Log::kMaxLinesPerSecond;
  std::string text;
  std::uint64_t dropped = 0;
  {
    const OutputToFile output;
    LogOptions options;
    options.m_target = LogTarget::Output;
    const auto log = Log::Make(options, {});
    ASSERT_TRUE(log.has_value());
    for (int i = 0; i < kMany; ++i) {
      (*log)->Write(LogLevel::Info, "common");
    }
    for (int i = 0; i < kMany; ++i) {
      (*log)->Write(LogLevel::Info, "kept", {}, LogBound::Kept);
    }
    text = output.Text();
    dropped = (*log)->Dropped();
  }
  // A new second may begin in between.
  const std::size_t kept = CountOf(text, "\"kept\"");
  EXPECT_GE(kept, std::size_t{ Log::kMaxKeptLinesPerSecond });
  EXPECT_LT(kept, std::size_t{ kMany });
  EXPECT_GE(CountOf(text, "\"common\""),
            std::size_t{ Log::kMaxLinesPerSecond });
  EXPECT_EQ(dropped,
            2 * std::size_t{ kMany } - kept - CountOf(text, "\"common\""));
}

} // namespace
} // namespace ridgeferry::observe
