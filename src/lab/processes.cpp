#include "lab/processes.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string_view>

namespace gateway::lab {
namespace {

constexpr int kNoLogExitCode = 96;
constexpr int kLabEndedExitCode = 97;
constexpr int kNoShellExitCode = 98;

void SetLimit(__rlimit_resource_t resource, std::uint64_t maximum) {
  rlimit limit{};
  if (maximum == 0 || getrlimit(resource, &limit) != 0) return;
  limit.rlim_cur = std::min<rlim_t>(maximum, limit.rlim_max);
  setrlimit(resource, &limit);
}

// Runs in the child between fork and exec, where only async-signal-safe calls are allowed.
[[noreturn]] void ExecChild(const ProcessSpec& spec, char* const* arguments, char* const* environment,
                            pid_t lab) {
  setpgid(0, 0);  // so that only the lab gets SIGINT on Ctrl-C
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != lab) _exit(kLabEndedExitCode);
  const int log = open(spec.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int null = open("/dev/null", O_RDONLY);
  if (log < 0 || null < 0) _exit(kNoLogExitCode);
  dup2(null, 0);
  dup2(log, 1);
  dup2(log, 2);
  close_range(3, ~0U, 0);
  sigset_t no_signals;
  sigemptyset(&no_signals);
  sigprocmask(SIG_SETMASK, &no_signals, nullptr);
  SetLimit(RLIMIT_NOFILE, spec.max_descriptors);
  SetLimit(RLIMIT_FSIZE, spec.max_file_bytes);
  execve("/bin/sh", arguments, environment);
  _exit(kNoShellExitCode);
}

// Returns the variables of the process and the lab's environment without the variables that configure a
// gateway.
std::vector<std::string> BuildEnvironment(const ProcessSpec& spec) {
  std::vector<std::string> variables;
  for (const auto& [name, value] : spec.variables) variables.push_back(name + "=" + value);
  for (char** inherited = environ; *inherited != nullptr; ++inherited) {
    const std::string_view variable = *inherited;
    if (variable.starts_with("NODE_") || variable.starts_with("TMPDIR=")) continue;
    variables.emplace_back(variable);
  }
  return variables;
}

}  // namespace

std::string ProcessEnd::StatusText() const {
  if (WIFSIGNALED(status)) return "signal " + std::to_string(WTERMSIG(status));
  return "exit code " + std::to_string(WEXITSTATUS(status));
}

Processes::Processes(boost::asio::io_context& io, OnEnd on_end)
    : child_signals_(io, SIGCHLD), on_end_(std::move(on_end)) {
  WaitForChildren();
}

void Processes::WaitForChildren() {
  child_signals_.async_wait([this](boost::system::error_code ec, int) {
    if (ec) return;
    Reap();
    WaitForChildren();
  });
}

pid_t Processes::Start(const ProcessSpec& spec) {
  std::string command = "exec " + spec.command;
  std::string shell = "sh";
  std::string flag = "-c";
  char* arguments[] = {shell.data(), flag.data(), command.data(), nullptr};
  std::vector<std::string> variables = BuildEnvironment(spec);
  std::vector<char*> environment;
  environment.reserve(variables.size() + 1);
  for (std::string& variable : variables) environment.push_back(variable.data());
  environment.push_back(nullptr);
  const pid_t lab = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error(std::string("can't start a process: ") + std::strerror(errno));
  if (pid == 0) ExecChild(spec, arguments, environment.data(), lab);
  running_.insert(pid);
  return pid;
}

void Processes::Signal(pid_t pid, int signal) {
  if (running_.contains(pid)) kill(pid, signal);
}

void Processes::Reap() {
  std::vector<ProcessEnd> ends;
  for (const pid_t pid : running_) {
    ProcessEnd end;
    end.pid = pid;
    if (wait4(pid, &end.status, WNOHANG, &end.usage) == pid) ends.push_back(end);
  }
  for (const ProcessEnd& end : ends) running_.erase(end.pid);
  for (const ProcessEnd& end : ends) on_end_(end);  // may start another process
}

void Processes::KillAll() {
  for (const pid_t pid : running_) kill(pid, SIGKILL);
  while (!running_.empty()) {
    ProcessEnd end;
    end.pid = *running_.begin();
    if (wait4(end.pid, &end.status, 0, &end.usage) < 0 && errno == EINTR) continue;
    running_.erase(end.pid);
    on_end_(end);
  }
}

}  // namespace gateway::lab
