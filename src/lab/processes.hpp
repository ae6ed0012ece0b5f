// Starts and reaps the child processes of the lab. A child process can have resource limits of its own. The
// kernel kills the child processes if the lab dies.
#ifndef GATEWAY_LAB_PROCESSES_HPP_
#define GATEWAY_LAB_PROCESSES_HPP_

#include <sys/resource.h>
#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/millis.hpp"

namespace gateway::lab {

using base::Millis;

struct ProcessSpec {
  std::string command;                                         // run by /bin/sh
  std::vector<std::pair<std::string, std::string>> variables;  // added to the lab's environment
  std::string log;                    // file to which standard output and error are appended
  std::uint64_t max_descriptors = 0;  // limit on open file descriptors; 0: same limit as the lab
  std::uint64_t max_file_bytes = 0;  // size limit of a file that the process writes; 0: same limit as the lab
};

struct ProcessEnd {
  pid_t pid = 0;
  int status = 0;  // as returned by wait()
  rusage usage{};

  std::string StatusText() const;  // such as "exit code 1" or "signal 9"
};

// Must be used in the thread of the io_context.
class Processes {
 public:
  using OnEnd = std::function<void(const ProcessEnd&)>;

  // Calls `on_end` once for each process that has ended.
  Processes(boost::asio::io_context& io, OnEnd on_end);
  ~Processes() { KillAll(); }

  // Throws std::runtime_error if the process can't be started.
  pid_t Start(const ProcessSpec& spec);

  // Does nothing if the process has ended or was not started by this object.
  void Signal(pid_t pid, int signal);

  // Kills all processes and waits until they have ended.
  void KillAll();

 private:
  void Reap();
  void WaitForChildren();

  boost::asio::signal_set child_signals_;
  const OnEnd on_end_;
  std::set<pid_t> running_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_PROCESSES_HPP_
