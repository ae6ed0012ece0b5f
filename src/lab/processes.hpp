// The processes that the lab starts. They have limits of their own, and the kernel kills them when the lab
// dies.
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
  std::string command;                                         // for /bin/sh
  std::vector<std::pair<std::string, std::string>> variables;  // added to the environment of the lab
  std::string log;                    // file that standard output and error are appended to
  std::uint64_t max_descriptors = 0;  // 0: the limit of the lab
  std::uint64_t max_file_bytes = 0;   // 0: the limit of the lab
};

struct ProcessEnd {
  pid_t pid = 0;
  int status = 0;  // as of wait()
  rusage usage{};

  std::string StatusText() const;  // "exit code 1" or "signal 9"
};

// To be used in the thread of the io_context.
class Processes {
 public:
  using OnEnd = std::function<void(const ProcessEnd&)>;

  // `on_end` is called once for each process.
  Processes(boost::asio::io_context& io, OnEnd on_end);
  ~Processes() { EndAll(); }

  // Throws std::runtime_error where no process can be started.
  pid_t Start(const ProcessSpec& spec);

  // Does nothing for a process that has ended or is not of these.
  void Signal(pid_t pid, int signal);

  // Kills all processes and returns when none is left.
  void EndAll();

 private:
  void Reap();
  void WaitForChildren();

  boost::asio::signal_set child_signals_;
  const OnEnd on_end_;
  std::set<pid_t> running_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_PROCESSES_HPP_
