#pragma once

namespace ridgeferry::net {

/**
 * Keeps SIGTERM, SIGINT and SIGHUP from ending the process while no `EventLoop`
 * watches for them: before its loop runs, and after its loop has ended. What
 * arrives before a loop watches for it is handed to that loop.
 *
 * Must be the first statement of `main`: a signal that arrives earlier, while
 * the system loads the program, still ends the process. Also unblocks these
 * signals, because a process inherits the signals that its parent has blocked.
 * Not thread-safe.
 */
void
CatchEarlySignals();

/**
 * Ends the effect of `CatchEarlySignals`, for a run of the program that has no
 * loop: the signals end the process again, and one that has arrived ends it
 * now. Not thread-safe.
 */
void
ReleaseEarlySignals();

/** Returns whether the signal has arrived since the last call while no loop
 * watched for it. Thread-safe. */
bool
TakeEarlySignal(int aSignal);

} // namespace ridgeferry::net
