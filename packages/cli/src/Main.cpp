#include <csignal>
#include <cstdio>
#include <ridgeferry/cli/Run.h>
#include <string>
#include <vector>

int
main(int aCount, char** aValues)
{
  std::signal(SIGPIPE, SIG_IGN);
  const auto invocation = ridgeferry::cli::ParseInvocation(
    std::vector<std::string>(aValues, aValues + aCount));
  if (!invocation) {
    std::fprintf(
      stderr, "ridgeferry: %s\n", invocation.error().m_message.c_str());
    return static_cast<int>(ridgeferry::cli::ExitCode::Usage);
  }
  return static_cast<int>(ridgeferry::cli::Run(*invocation));
}
