// Processes of the program under test: started, signalled, limited, and all ended with the lab, however it
// ends.
#ifndef GATEWAY_LAB_PROCESSES_HPP_
#define GATEWAY_LAB_PROCESSES_HPP_

#include <sys/resource.h>
#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/millis.hpp"

namespace gateway::lab {

using base::Millis;

struct ProcessSpec {
  std::string command;  // for /bin/sh, as in the deploy file
  std::vector<std::pair<std::string, std::string>> variables;
  std::string log;                // file for its standard output and error, appended to
  std::uint64_t descriptors = 0;  // 0: no limit but the system's
  std::uint64_t file_bytes = 0;
};

struct ProcessEnd {
  pid_t pid = 0;
  int status = 0;  // as of wait()
  rusage usage{};
  std::string Words() const;  // "exit code 1", "signal 9"
};

class Processes {
 public:
  using Ended = std::function<void(const ProcessEnd&)>;
  Processes(boost::asio::io_context& io, Ended ended);
  ~Processes();  // kills and reaps all that are left

  // Throws std::runtime_error if it can't be started. The process is killed by the kernel if the lab dies.
  pid_t Start(const ProcessSpec& spec);
  void Signal(pid_t pid, int signal);
  // Kills all; what they used is still told. Returns when none is left.
  void EndAll();

 private:
  void Reap();
  void Await();

  boost::asio::signal_set children_;
  const Ended ended_;
  std::map<pid_t, bool> running_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_PROCESSES_HPP_
