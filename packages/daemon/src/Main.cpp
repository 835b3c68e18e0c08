#include <csignal>
#include <cstdio>
#include <getopt.h>
#include <ridgeferry/daemon/Instance.h>
#include <ridgeferry/daemon/Settings.h>
#include <ridgeferry/net/EarlySignals.h>
#include <string>

namespace {

constexpr int kExitOk = 0;
constexpr int kExitCannotStart = 1;
constexpr int kExitBadInput = 2;

constexpr const char* kUsage =
  "usage: ridgeferryd --settings FILE [--check]\n"
  "\n"
  "Serves callers, peers and operators until SIGTERM.\n"
  "\n"
  "  --settings FILE  the settings of this process (docs/SETTINGS.md)\n"
  "  --check          check the settings and exit\n"
  "  --help           print this and exit\n"
  "  --version        print the version and exit\n"
  "\n"
  "exit codes: 0 done, 1 cannot start, 2 wrong arguments or settings\n";

struct Arguments
{
  std::string m_settings;
  bool m_check = false;
  int m_exit = -1; ///< Not negative: exit with this at once.
};

Arguments
ParseArguments(int aCount, char** aValues)
{
  static constexpr option kOptions[] = {
    { "settings", required_argument, nullptr, 's' },
    { "check", no_argument, nullptr, 'c' },
    { "help", no_argument, nullptr, 'h' },
    { "version", no_argument, nullptr, 'v' },
    { nullptr, 0, nullptr, 0 },
  };
  Arguments out;
  for (;;) {
    const int found = getopt_long(aCount, aValues, "", kOptions, nullptr);
    if (found == -1) {
      break;
    }
    if (found == 's') {
      out.m_settings = optarg;
    } else if (found == 'c') {
      out.m_check = true;
    } else if (found == 'h') {
      std::fputs(kUsage, stdout);
      out.m_exit = kExitOk;
      return out;
    } else if (found == 'v') {
      std::puts("ridgeferryd " RIDGEFERRY_VERSION);
      out.m_exit = kExitOk;
      return out;
    } else {
      std::fputs(kUsage, stderr);
      out.m_exit = kExitBadInput;
      return out;
    }
  }
  if (out.m_settings.empty() || optind != aCount) {
    std::fputs(kUsage, stderr);
    out.m_exit = kExitBadInput;
  }
  return out;
}

} // namespace

int
main(int aCount, char** aValues)
{
  ridgeferry::net::CatchEarlySignals();
  const Arguments arguments = ParseArguments(aCount, aValues);
  if (arguments.m_exit >= 0) {
    return arguments.m_exit;
  }
  if (arguments.m_check) {
    ridgeferry::net::ReleaseEarlySignals();
  }
  auto settings = ridgeferry::daemon::LoadSettings(arguments.m_settings);
  if (!settings) {
    std::fputs(ridgeferry::FormatSettingsError(settings.error()).c_str(),
               stderr);
    return kExitBadInput;
  }
  if (arguments.m_check) {
    std::puts("settings are good");
    return kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  auto instance = ridgeferry::daemon::Instance::Make(std::move(*settings));
  if (!instance) {
    std::fprintf(stderr,
                 "ridgeferryd: cannot %s: %s\n",
                 instance.error().m_what.c_str(),
                 instance.error().m_cause.c_str());
    return kExitCannotStart;
  }
  (*instance)->Run();
  return kExitOk;
}
