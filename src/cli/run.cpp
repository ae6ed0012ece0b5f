#include "cli/run.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <random>
#include <stdexcept>

#include "base/clock.hpp"
#include "base/log.hpp"
#include "base/supervisor.hpp"

namespace gateway::cli {
namespace {

using base::Level;
using base::Millis;
using base::Supervisor;

pid_t Start(const std::string& command, bool with_state) {
  const std::string line = "exec " + command;
  const pid_t own = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error(std::string("can't start a process: ") + std::strerror(errno));
  if (pid > 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGTERM);  // nobody would start it again: it ends in order
  if (getppid() != own) _exit(97);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  with_state ? unsetenv("ELDERHEAD_WITHOUT_STATE") : setenv("ELDERHEAD_WITHOUT_STATE", "1", 1);
  execl("/bin/sh", "sh", "-c", line.c_str(), nullptr);
  _exit(98);
}

std::string Words(int status) {
  return WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                             : fmt::format("exit code {}", WEXITSTATUS(status));
}

int ExitCode(int status) { return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status); }

// The next of the signals, or 0 when the time is over; below 0: no end to the time.
int Await(const sigset_t& signals, Millis time) {
  for (;;) {
    const timespec span{static_cast<time_t>(time / 1000), static_cast<long>(std::fmod(time, 1000) * 1e6)};
    const int got = time < 0 ? sigwaitinfo(&signals, nullptr) : sigtimedwait(&signals, nullptr, &span);
    if (got > 0) return got;
    if (errno == EAGAIN) return 0;
  }
}

}  // namespace

int KeepRunning(const std::string& command) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGCHLD, SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2}) sigaddset(&signals, number);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  Supervisor supervisor({});
  std::mt19937_64 random(std::random_device{}());
  bool with_state = true, told = false;
  for (;;) {
    const Millis started = base::MonotonicNow();
    const pid_t child = Start(command, with_state);
    base::Log(Level::kInfo, "run", "started",
              fmt::format("run: started process {}{}", child, with_state ? "" : " without its state"),
              {{"process", child}});
    int status = 0;
    for (pid_t ended = 0; ended != child;) {
      const int signal = Await(signals, -1);
      if (signal == SIGCHLD) {
        ended = waitpid(child, &status, WNOHANG);
        continue;
      }
      told = told || signal == SIGTERM || signal == SIGINT;
      kill(child, signal);
    }
    const bool well = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    const Millis now = base::MonotonicNow();
    const auto decision = supervisor.OnProcessEnd({now, now - started, told || well, with_state},
                                                  std::uniform_real_distribution<double>()(random));
    if (decision.action == Supervisor::Action::kStop) return ExitCode(status);
    if (decision.action == Supervisor::Action::kGiveUp) {
      base::Log(Level::kError, "run", "gave_up",
                fmt::format("run: gives up: crashed again and again, the last time with {} after {:.0f} ms",
                            Words(status), now - started));
      return kGaveUp;
    }
    with_state = decision.action == Supervisor::Action::kRestart;
    base::Log(
        Level::kWarning, "run", "crashed",
        fmt::format("run: process {} ended with {} after {:.0f} ms; started again in {:.0f} ms{}", child,
                    Words(status), now - started, decision.backoff, with_state ? "" : ", without its state"),
        {{"process", child}, {"ran_ms", now - started}, {"wait_ms", decision.backoff}});
    for (const Millis until = now + decision.backoff; base::MonotonicNow() < until;) {
      const int signal = Await(signals, std::max(0.0, until - base::MonotonicNow()));
      if (signal == SIGTERM || signal == SIGINT) return 128 + signal;
    }
  }
}

}  // namespace gateway::cli
