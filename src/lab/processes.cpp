#include "lab/processes.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace gateway::lab {
namespace {

// Between fork and exec: only calls that are safe there.
[[noreturn]] void Become(const ProcessSpec& spec, char* const* arguments, char* const* environment,
                         pid_t lab) {
  setpgid(0, 0);  // a Ctrl-C is the lab's alone
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != lab) _exit(97);
  const int log = open(spec.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int null = open("/dev/null", O_RDONLY);
  if (log < 0 || null < 0) _exit(96);
  dup2(null, 0);
  dup2(log, 1);
  dup2(log, 2);
  close_range(3, ~0U, 0);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  const auto limit = [](auto what, std::uint64_t most) {
    rlimit both{};
    if (most == 0 || getrlimit(what, &both) != 0) return;
    both.rlim_cur = std::min<rlim_t>(most, both.rlim_max);
    setrlimit(what, &both);
  };
  limit(RLIMIT_NOFILE, spec.descriptors);
  limit(RLIMIT_FSIZE, spec.file_bytes);
  execve("/bin/sh", arguments, environment);
  _exit(98);
}

}  // namespace

std::string ProcessEnd::Words() const {
  if (WIFSIGNALED(status)) return "signal " + std::to_string(WTERMSIG(status));
  return "exit code " + std::to_string(WEXITSTATUS(status));
}

Processes::Processes(boost::asio::io_context& io, Ended ended)
    : children_(io, SIGCHLD), ended_(std::move(ended)) {
  Await();
}

Processes::~Processes() { EndAll(); }

void Processes::Await() {
  children_.async_wait([this](boost::system::error_code ec, int) {
    if (ec) return;
    Reap();
    Await();
  });
}

pid_t Processes::Start(const ProcessSpec& spec) {
  std::string command = "exec " + spec.command;
  std::string shell = "sh", flag = "-c";
  char* arguments[] = {shell.data(), flag.data(), command.data(), nullptr};
  std::vector<std::string> texts;
  for (const auto& [name, value] : spec.variables) texts.push_back(name + "=" + value);
  for (char** at = environ; *at != nullptr; ++at) {
    const std::string text = *at;
    if (text.rfind("NODE_", 0) != 0 && text.rfind("TMPDIR=", 0) != 0) texts.push_back(text);
  }
  std::vector<char*> environment;
  environment.reserve(texts.size() + 1);
  for (std::string& text : texts) environment.push_back(text.data());
  environment.push_back(nullptr);
  const pid_t lab = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error(std::string("can't start a process: ") + std::strerror(errno));
  if (pid == 0) Become(spec, arguments, environment.data(), lab);
  running_[pid] = true;
  return pid;
}

void Processes::Signal(pid_t pid, int signal) {
  if (running_.contains(pid)) kill(pid, signal);
}

void Processes::Reap() {
  std::vector<ProcessEnd> ends;
  for (auto at = running_.begin(); at != running_.end();) {
    ProcessEnd end;
    end.pid = at->first;
    if (wait4(end.pid, &end.status, WNOHANG, &end.usage) == end.pid) {
      at = running_.erase(at);
      ends.push_back(end);
    } else {
      ++at;
    }
  }
  for (const ProcessEnd& end : ends) ended_(end);
}

void Processes::EndAll() {
  for (const auto& [pid, on] : running_) kill(pid, SIGKILL);
  while (!running_.empty()) {
    ProcessEnd end;
    end.pid = running_.begin()->first;
    if (wait4(end.pid, &end.status, 0, &end.usage) < 0 && errno == EINTR) continue;
    running_.erase(end.pid);
    ended_(end);
  }
}

}  // namespace gateway::lab
