// Plays seeds of the fault soak and prints a line for each.

#include "Soak.h"

#include <charconv>
#include <csignal>
#include <cstdio>
#include <getopt.h>
#include <string_view>

namespace {

constexpr const char* kUsage =
  "usage: ridgeferry_soak --program FILE --files FOLDER [--seed N] [--count "
  "N]\n"
  "                       [--seconds N] [--instances N] [--verbose]\n"
  "                       [--services N] [--readers N] [--generators N]\n"
  "                       [--rate CALLS_A_SECOND]\n"
  "Plays --count seeds from --seed on; each has a folder of its own for the\n"
  "settings and logs of its instances. Exits 0 if no promise was broken.\n";

/** One call each millisecond. */
constexpr std::size_t kMostCallsPerSecond = 1000;

struct Options
{
  std::string m_program;
  std::string m_files;
  std::uint64_t m_seed = 1;
  std::uint64_t m_count = 1;
  std::uint64_t m_seconds = 12;
  ridgeferry::soak::SoakSize m_size;
  bool m_verbose = false;
};

bool
ReadNumber(std::string_view aText, std::uint64_t& aOut)
{
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, aOut);
  return read.ec == std::errc{} && read.ptr == end;
}

bool
ReadSize(std::size_t& aOut)
{
  std::uint64_t read = 0;
  const bool good = ReadNumber(optarg, read);
  aOut = read;
  return good;
}

bool
ReadRate(int& aOut)
{
  std::size_t read = 0;
  const bool good = ReadSize(read) && read <= kMostCallsPerSecond;
  aOut = good ? static_cast<int>(read) : 0;
  return good;
}

/** Reads the value of one option. False: it is off, or there is no such option.
 */
bool
ReadOption(int aFound, Options& aOut)
{
  switch (aFound) {
    case 'p':
      aOut.m_program = optarg;
      return true;
    case 'f':
      aOut.m_files = optarg;
      return true;
    case 's':
      return ReadNumber(optarg, aOut.m_seed);
    case 'c':
      return ReadNumber(optarg, aOut.m_count);
    case 't':
      return ReadNumber(optarg, aOut.m_seconds);
    case 'i':
      return ReadSize(aOut.m_size.m_instances);
    case 'd':
      return ReadSize(aOut.m_size.m_services);
    case 'r':
      return ReadSize(aOut.m_size.m_readers);
    case 'g':
      return ReadSize(aOut.m_size.m_generators);
    case 'n':
      return ReadRate(aOut.m_size.m_callsPerSecond);
    case 'v':
      aOut.m_verbose = true;
      return true;
    default:
      return false;
  }
}

/** False: the words of the call are off. */
bool
ReadOptions(int aCount, char** aValues, Options& aOut)
{
  static constexpr option kOptions[] = {
    { "program", required_argument, nullptr, 'p' },
    { "files", required_argument, nullptr, 'f' },
    { "seed", required_argument, nullptr, 's' },
    { "count", required_argument, nullptr, 'c' },
    { "seconds", required_argument, nullptr, 't' },
    { "instances", required_argument, nullptr, 'i' },
    { "services", required_argument, nullptr, 'd' },
    { "readers", required_argument, nullptr, 'r' },
    { "generators", required_argument, nullptr, 'g' },
    { "rate", required_argument, nullptr, 'n' },
    { "verbose", no_argument, nullptr, 'v' },
    { nullptr, 0, nullptr, 0 },
  };
  bool good = true;
  for (int found = 0;
       (found = getopt_long(aCount, aValues, "", kOptions, nullptr)) != -1;) {
    good = ReadOption(found, aOut) && good;
  }
  return good && optind == aCount && !aOut.m_program.empty() &&
         !aOut.m_files.empty();
}

/** True: no promise was broken. */
bool
PlaySeed(const Options& aOptions, std::uint64_t aSeed)
{
  using namespace ridgeferry;
  const std::filesystem::path files =
    std::filesystem::path(aOptions.m_files) / std::to_string(aSeed);
  std::filesystem::remove_all(files);
  std::filesystem::create_directories(files);
  soak::SoakSize size = aOptions.m_size;
  size.m_length = std::chrono::seconds(aOptions.m_seconds);
  const soak::SoakResult result = soak::PlaySoak(
    { aOptions.m_program, files }, size, aSeed, [&](const std::string& aFault) {
      if (aOptions.m_verbose) {
        std::printf("  %s\n", aFault.c_str());
      }
    });
  std::printf("seed %llu: %zu faults, %zu calls, %zu served, %zu runs: %s\n",
              static_cast<unsigned long long>(aSeed),
              result.m_faults,
              result.m_calls,
              result.m_served,
              result.m_runs,
              result.m_wrong.empty() ? "kept" : "BROKEN");
  for (const std::string& wrong : result.m_wrong) {
    std::printf("  %s\n", wrong.c_str());
  }
  std::fflush(stdout);
  return result.m_wrong.empty();
}

} // namespace

int
main(int aCount, char** aValues)
{
  Options options;
  if (!ReadOptions(aCount, aValues, options)) {
    std::fputs(kUsage, stderr);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  bool kept = true;
  for (std::uint64_t i = 0; i < options.m_count; ++i) {
    kept = PlaySeed(options, options.m_seed + i) && kept;
  }
  return kept ? 0 : 1;
}
