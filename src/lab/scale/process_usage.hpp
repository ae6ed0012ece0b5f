// Resource usage of a process as accounted by the kernel. Thread-safe.
#ifndef GATEWAY_LAB_SCALE_PROCESS_USAGE_HPP_
#define GATEWAY_LAB_SCALE_PROCESS_USAGE_HPP_

#include <sys/types.h>

#include "base/millis.hpp"

namespace gateway::lab {

// User and system CPU time of all threads since the start of the process, in ms. Reads the same clock that
// /proc/PID/stat shows in ticks of 10 ms, but with nanosecond resolution. Throws std::system_error if there
// is no such process.
base::Millis CpuTimeOf(pid_t pid);

// Resident memory in MB; 0 if there is no such process.
double ResidentMemoryOf(pid_t pid);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_PROCESS_USAGE_HPP_
