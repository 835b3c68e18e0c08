#include "ridgeferry/net/EarlySignals.h"

#include <array>
#include <atomic>
#include <csignal>

namespace ridgeferry::net {

namespace {

constexpr std::array kCaught{ SIGTERM, SIGINT, SIGHUP };

std::array<std::atomic<bool>, kCaught.size()> gArrived{};
static_assert(std::atomic<bool>::is_always_lock_free,
              "a signal handler writes them");

void
NoteArrived(int aSignal)
{
  for (std::size_t i = 0; i < kCaught.size(); ++i) {
    if (kCaught[i] == aSignal) {
      gArrived[i] = true;
    }
  }
}

} // namespace

void
CatchEarlySignals()
{
  sigset_t caught;
  sigemptyset(&caught);
  for (const int signal : kCaught) {
    struct sigaction action
    {};
    action.sa_handler = &NoteArrived;
    action.sa_flags = SA_RESTART;
    // Failure leaves the default, which ends the process.
    (void)sigaction(signal, &action, nullptr);
    sigaddset(&caught, signal);
  }
  (void)sigprocmask(SIG_UNBLOCK, &caught, nullptr);
}

void
ReleaseEarlySignals()
{
  for (const int signal : kCaught) {
    std::signal(signal, SIG_DFL);
    if (TakeEarlySignal(signal)) {
      std::raise(signal);
    }
  }
}

bool
TakeEarlySignal(int aSignal)
{
  for (std::size_t i = 0; i < kCaught.size(); ++i) {
    if (kCaught[i] == aSignal) {
      return gArrived[i].exchange(false);
    }
  }
  return false;
}

} // namespace ridgeferry::net
