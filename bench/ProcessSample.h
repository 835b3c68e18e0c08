#pragma once

#include <cstdint>
#include <sys/types.h>

namespace ridgeferry::bench {

/** What the system accounts to a process. */
struct ProcessSample
{
  double m_cpuSeconds = 0; ///< User and system time so far.
  double m_rssMb = 0;      ///< Resident memory.
};

ProcessSample
SampleProcess(pid_t aPid);

} // namespace ridgeferry::bench
