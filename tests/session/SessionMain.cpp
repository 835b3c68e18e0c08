// Plays one session and prints it; with --keep it leaves the processes running
// until Ctrl-C.

#include "Session.h"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <getopt.h>

namespace {

constexpr const char* kUsage =
  "usage: ridgeferry_session --programs BUILD --files FOLDER [--keep] FILE\n";

/** Addresses and lines to paste, for a person who tries the system out. */
void
PrintAddresses(ridgeferry::session::Cluster& aCluster)
{
  std::printf("\n%-16s %-22s %s\n", "INSTANCE", "CALLERS", "ADMINISTRATION");
  for (const std::string& name : aCluster.Instances()) {
    std::printf("%-16s %-22s %s\n",
                name.c_str(),
                aCluster.CallerAddress(name).c_str(),
                aCluster.AdminAddress(name).c_str());
  }
  std::printf("platform stand-in %s\n",
              aCluster.FakeAddress("platform").c_str());
  for (const char* kind : { "engines", "services" }) {
    for (const auto& upstream : aCluster.Plan().at(kind)) {
      const std::string id = upstream.at("id");
      std::printf("%-16s %s\n", id.c_str(), aCluster.FakeAddress(id).c_str());
    }
  }
  const std::string first = aCluster.Instances().front();
  const auto example =
    aCluster.Plan().value("example", nlohmann::json::object());
  std::printf("\nto try:\n"
              "  curl -N -H 'X-Ridgeferry-Team: %s' -d '%s' "
              "http://%s/v1/chat/completions\n"
              "  build/bin/ridgeferry status --server %s --token "
              "session-token\n"
              "  build/bin/ridgeferry audit --server %s --token "
              "session-token\n\nCtrl-C ends all of it.\n",
              example.value("team", "").c_str(),
              example.value("body", nlohmann::json::object()).dump().c_str(),
              aCluster.CallerAddress(first).c_str(),
              aCluster.AdminAddress(first).c_str(),
              aCluster.AdminAddress(first).c_str());
  std::fflush(stdout);
}

} // namespace

int
main(int aCount, char** aValues)
{
  static constexpr option kOptions[] = {
    { "programs", required_argument, nullptr, 'p' },
    { "files", required_argument, nullptr, 'f' },
    { "keep", no_argument, nullptr, 'k' },
    { nullptr, 0, nullptr, 0 },
  };
  ridgeferry::session::RunPlace place;
  bool keep = false;
  for (int found = 0;
       (found = getopt_long(aCount, aValues, "", kOptions, nullptr)) != -1;) {
    if (found == 'p') {
      place.m_programs = optarg;
    } else if (found == 'f') {
      place.m_files = optarg;
    } else if (found == 'k') {
      keep = true;
    }
  }
  if (optind + 1 != aCount || place.m_programs.empty() ||
      place.m_files.empty()) {
    std::fputs(kUsage, stderr);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::remove_all(place.m_files);
  std::filesystem::create_directories(place.m_files);
  const auto loop = ridgeferry::net::EventLoop::Make();
  ridgeferry::session::Session session(
    *loop, place, aValues[optind], [](const std::string& aLine) {
      std::puts(aLine.c_str());
      std::fflush(stdout);
    });
  const ridgeferry::session::SessionResult result = session.Play();
  if (!result.m_played) {
    std::fprintf(stderr, "failed: %s\n", result.m_failure.c_str());
    return 1;
  }
  if (keep) {
    PrintAddresses(session.Processes());
    const auto end = loop->OnSignal(SIGINT, [&] { loop->Stop(); });
    const auto terminate = loop->OnSignal(SIGTERM, [&] { loop->Stop(); });
    loop->Run();
  }
  return 0;
}
