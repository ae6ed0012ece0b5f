#include "lab/scale/process_usage.hpp"

#include <fmt/format.h>
#include <time.h>

#include <cerrno>
#include <fstream>
#include <string>
#include <system_error>

namespace gateway::lab {

base::Millis CpuTimeOf(pid_t pid) {
  clockid_t clock_id{};
  const int clock_error = clock_getcpuclockid(pid, &clock_id);
  timespec cpu_time{};
  if (clock_error != 0 || clock_gettime(clock_id, &cpu_time) != 0) {
    throw std::system_error(clock_error != 0 ? clock_error : errno, std::generic_category(),
                            fmt::format("can't read the CPU time of process {}", pid));
  }
  return 1000 * static_cast<double>(cpu_time.tv_sec) + static_cast<double>(cpu_time.tv_nsec) / 1e6;
}

double ResidentMemoryOf(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  for (std::string word; status >> word;) {
    if (word != "VmRSS:") continue;
    double kilobytes = 0;
    status >> kilobytes;
    return kilobytes / 1024;
  }
  return 0;
}

}  // namespace gateway::lab
