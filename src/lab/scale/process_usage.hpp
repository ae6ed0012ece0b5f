// CPU time and memory of a process, as the kernel reports them. Thread-safe.
#ifndef GATEWAY_LAB_SCALE_PROCESS_USAGE_HPP_
#define GATEWAY_LAB_SCALE_PROCESS_USAGE_HPP_

#include <sys/types.h>

#include "base/millis.hpp"

namespace gateway::lab {

// Returns the user and system CPU time of all threads since the start of the process, in ms. The resolution
// is nanoseconds; /proc/PID/stat shows the same time in ticks of 10 ms only. Throws std::system_error if the
// process does not exist.
base::Millis CpuTimeOf(pid_t pid);

// Returns the resident memory in MB; 0 if the process does not exist.
double ResidentMemoryOf(pid_t pid);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_PROCESS_USAGE_HPP_
