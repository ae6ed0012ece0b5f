// What a process has used, by the kernel's own accounts. Any thread.
#ifndef GATEWAY_LAB_SCALE_PROCESS_USAGE_HPP_
#define GATEWAY_LAB_SCALE_PROCESS_USAGE_HPP_

#include <sys/types.h>

#include "base/millis.hpp"

namespace gateway::lab {

// CPU time of all its threads since its start, user and system, in ms. The clock that /proc/PID/stat shows in
// ticks of 10 ms, read to the nanosecond. Throws std::system_error where there is no such process.
base::Millis CpuTimeOf(pid_t pid);

// Resident memory in MB; 0 where there is no such process.
double ResidentMemoryOf(pid_t pid);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SCALE_PROCESS_USAGE_HPP_
