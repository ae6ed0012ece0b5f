// The program as a process, for tests.
#ifndef GATEWAY_TESTS_PROXY_PROCESS_HPP_
#define GATEWAY_TESTS_PROXY_PROCESS_HPP_

#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "peers.hpp"

namespace gateway::proxy::testing {

// A loopback address with a port that is free now.
inline tcp::endpoint FreeAddress(asio::io_context& io) {
  tcp::acceptor probe(io, Loopback());
  return probe.local_endpoint();
}

class Process {
 public:
  // Starts the program with the variables given, and no more descriptors if that is not 0; its standard error
  // goes to a file.
  explicit Process(const std::vector<std::pair<std::string, std::string>>& variables, rlim_t descriptors = 0)
      : errors_(::testing::TempDir() + "gateway-err-" + std::to_string(getpid()) + "-" +
                std::to_string(++started_)),
        pid_(fork()) {
    if (pid_ != 0) return;
    for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
    if (descriptors > 0) {
      for (int fd = 3; fd < 1024; ++fd) close(fd);  // the test's own
      const rlimit limit{descriptors, descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    if (std::freopen(errors_.c_str(), "w", stderr) == nullptr) _exit(99);
    execl(GATEWAY_PROGRAM, GATEWAY_PROGRAM, nullptr);
    _exit(98);
  }
  ~Process() {
    if (!ended_) kill(pid_, SIGKILL);
    Wait();
    std::remove(errors_.c_str());
  }

  void Kill() { kill(pid_, SIGKILL); }
  void Hang() { kill(pid_, SIGSTOP); }
  void Terminate() { kill(pid_, SIGTERM); }
  void Reload() { kill(pid_, SIGHUP); }
  bool Ended() {
    if (!ended_) ended_ = waitpid(pid_, &status_, WNOHANG) == pid_;
    return ended_;
  }
  int Wait() {  // the exit code; -1 if it was killed
    if (!ended_) ended_ = waitpid(pid_, &status_, 0) == pid_;
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }
  std::string Errors() const {
    std::stringstream text;
    text << std::ifstream(errors_).rdbuf();
    return text.str();
  }

 private:
  inline static int started_ = 0;
  const std::string errors_;
  const pid_t pid_;
  int status_ = 0;
  bool ended_ = false;
};

struct File {
  explicit File(const std::string& text)
      : path(::testing::TempDir() + "gateway-process-" + std::to_string(getpid()) + ".json") {
    std::ofstream(path) << text;
  }
  ~File() { std::remove(path.c_str()); }
  const std::string path;
};

}  // namespace gateway::proxy::testing

#endif  // GATEWAY_TESTS_PROXY_PROCESS_HPP_
