#include "lab/scale/process_usage.hpp"

#include <fmt/format.h>
#include <time.h>

#include <cerrno>
#include <fstream>
#include <string>
#include <system_error>

namespace gateway::lab {

base::Millis CpuTimeOf(pid_t pid) {
  clockid_t clock{};
  const int wrong = clock_getcpuclockid(pid, &clock);
  timespec used{};
  if (wrong != 0 || clock_gettime(clock, &used) != 0) {
    throw std::system_error(wrong != 0 ? wrong : errno, std::generic_category(),
                            fmt::format("no CPU time of process {}", pid));
  }
  return 1000 * static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e6;
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
