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
  "Plays --count seeds from --seed on; each has a folder of its own for the\n"
  "settings and logs of its instances. Exits 0 if no promise was broken.\n";

struct Options
{
  std::string m_program;
  std::string m_files;
  std::uint64_t m_seed = 1;
  std::uint64_t m_count = 1;
  std::uint64_t m_seconds = 12;
  std::uint64_t m_instances = 3;
  bool m_verbose = false;
};

bool
ReadNumber(std::string_view aText, std::uint64_t& aOut)
{
  const char* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, aOut);
  return read.ec == std::errc{} && read.ptr == end;
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
    { "verbose", no_argument, nullptr, 'v' },
    { nullptr, 0, nullptr, 0 },
  };
  bool good = true;
  for (int found = 0;
       (found = getopt_long(aCount, aValues, "", kOptions, nullptr)) != -1;) {
    if (found == 'p') {
      aOut.m_program = optarg;
    } else if (found == 'f') {
      aOut.m_files = optarg;
    } else if (found == 's') {
      good = good && ReadNumber(optarg, aOut.m_seed);
    } else if (found == 'c') {
      good = good && ReadNumber(optarg, aOut.m_count);
    } else if (found == 't') {
      good = good && ReadNumber(optarg, aOut.m_seconds);
    } else if (found == 'i') {
      good = good && ReadNumber(optarg, aOut.m_instances);
    } else if (found == 'v') {
      aOut.m_verbose = true;
    } else {
      good = false;
    }
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
  soak::SoakSize size;
  size.m_instances = aOptions.m_instances;
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
