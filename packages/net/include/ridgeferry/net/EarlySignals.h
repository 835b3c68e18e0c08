#pragma once

namespace ridgeferry::net {

/**
 * Keeps the signals SIGTERM, SIGINT and SIGHUP from ending the process while no
 * `EventLoop` watches them: as it starts, and from the end of its loop to its
 * own. What arrives before a loop watches for it is handed to that loop.
 *
 * Must be the first statement of `main`: what arrives before it, while the
 * system loads the program, still ends the process. Also unblocks these
 * signals, as a process starts with those blocked that its parent had blocked.
 * Not thread-safe.
 */
void
CatchEarlySignals();

/** Returns whether the signal has arrived since the last call while no loop
 * watched for it. Thread-safe. */
bool
TakeEarlySignal(int aSignal);

} // namespace ridgeferry::net
