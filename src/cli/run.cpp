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
#include <memory>
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

constexpr int kCrashLoop = 4;             // exit code
constexpr int kSignalExitCodeBase = 128;  // exit code after signal N: 128 + N
constexpr int kParentEndedExitCode = 97;  // of the child, before it becomes the gateway
constexpr int kNoShellExitCode = 98;
constexpr double kMillisPerSecond = 1000;
constexpr double kNanosPerMilli = 1e6;

// Starts the command by /bin/sh. The child gets SIGTERM when this process ends, whatever ends it.
pid_t StartProcess(const std::string& command, bool with_saved_state) {
  const std::string line = "exec " + command;
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error(std::string("can't start a process: ") + std::strerror(errno));
  if (pid > 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGTERM);
  if (getppid() != parent) _exit(kParentEndedExitCode);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  with_saved_state ? unsetenv("ELDERHEAD_WITHOUT_STATE") : setenv("ELDERHEAD_WITHOUT_STATE", "1", 1);
  execl("/bin/sh", "sh", "-c", line.c_str(), nullptr);
  _exit(kNoShellExitCode);
}

std::string StatusText(int status) {
  return WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                             : fmt::format("exit code {}", WEXITSTATUS(status));
}

int ExitCode(int status) {
  return WIFSIGNALED(status) ? kSignalExitCodeBase + WTERMSIG(status) : WEXITSTATUS(status);
}

bool IsSuccess(int status) { return WIFEXITED(status) && WEXITSTATUS(status) == 0; }

bool AsksToEnd(int signal) { return signal == SIGTERM || signal == SIGINT; }

// The signals that the supervisor waits for, blocked so that none is missed.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGCHLD, SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2}) sigaddset(&signals, number);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int WaitForSignal(const sigset_t& signals) {
  for (;;) {
    if (const int signal = sigwaitinfo(&signals, nullptr); signal > 0) return signal;
  }
}

// Returns 0 when no signal has come within `timeout`.
int WaitForSignal(const sigset_t& signals, Millis timeout) {
  const timespec duration{static_cast<time_t>(timeout / kMillisPerSecond),
                          static_cast<long>(std::fmod(timeout, kMillisPerSecond) * kNanosPerMilli)};
  for (;;) {
    if (const int signal = sigtimedwait(&signals, nullptr, &duration); signal > 0) return signal;
    if (errno == EAGAIN) return 0;
  }
}

// How a gateway process has ended.
struct GatewayEnd {
  pid_t pid = 0;
  int status = 0;  // as of waitpid
  Millis at = 0;
  Millis ran_for = 0;
};

class GatewaySupervisor {
 public:
  explicit GatewaySupervisor(std::string command) : command_(std::move(command)) {}

  // Returns the exit code of this program.
  int Run() {
    for (;;) {
      const GatewayEnd end = RunGateway();
      const Supervisor::Decision decision = supervisor_.OnProcessExit(
          {end.at, end.ran_for, asked_to_end_ || IsSuccess(end.status), with_saved_state_},
          std::uniform_real_distribution<double>()(random_));
      if (decision.action == Supervisor::Action::kStop) return ExitCode(end.status);
      if (decision.action == Supervisor::Action::kStopCrashLoop) {
        LogCrashLoop(end);
        return kCrashLoop;
      }
      with_saved_state_ = decision.action == Supervisor::Action::kRestart;
      LogCrash(end, decision.backoff);
      if (const int signal = BackOff(end.at + decision.backoff)) return kSignalExitCodeBase + signal;
    }
  }

 private:
  // Starts a gateway, passes signals on to it, and returns when it has ended.
  GatewayEnd RunGateway() {
    const Millis started = base::MonotonicNow();
    GatewayEnd end;
    end.pid = StartProcess(command_, with_saved_state_);
    base::Log(
        Level::kInfo, "run", "started",
        fmt::format("run: started process {}{}", end.pid, with_saved_state_ ? "" : " without its state"),
        {{"process", end.pid}});
    for (bool ended = false; !ended;) {
      const int signal = WaitForSignal(signals_);
      if (signal == SIGCHLD) {
        ended = waitpid(end.pid, &end.status, WNOHANG) == end.pid;
        continue;
      }
      asked_to_end_ = asked_to_end_ || AsksToEnd(signal);
      kill(end.pid, signal);
    }
    end.at = base::MonotonicNow();
    end.ran_for = end.at - started;
    return end;
  }

  // Waits. Returns the signal that asked this program to end meanwhile, or 0.
  int BackOff(Millis until) const {
    while (base::MonotonicNow() < until) {
      const int signal = WaitForSignal(signals_, std::max(0.0, until - base::MonotonicNow()));
      if (AsksToEnd(signal)) return signal;
    }
    return 0;
  }

  static void LogCrashLoop(const GatewayEnd& end) {
    base::Log(Level::kError, "run", "gave_up",
              fmt::format("run: gives up: crashed again and again, the last time with {} after {:.0f} ms",
                          StatusText(end.status), end.ran_for));
  }

  void LogCrash(const GatewayEnd& end, Millis backoff) const {
    base::Log(Level::kWarning, "run", "crashed",
              fmt::format("run: process {} ended with {} after {:.0f} ms; started again in {:.0f} ms{}",
                          end.pid, StatusText(end.status), end.ran_for, backoff,
                          with_saved_state_ ? "" : ", without its state"),
              {{"process", end.pid}, {"ran_ms", end.ran_for}, {"wait_ms", backoff}});
  }

  const std::string command_;
  const sigset_t signals_ = BlockSignals();
  Supervisor supervisor_{{}};
  std::mt19937_64 random_{std::random_device{}()};
  bool with_saved_state_ = true;  // of the process that runs now, or of the next one
  bool asked_to_end_ = false;
};

}  // namespace

void AddRun(CLI::App& app, const ProgramPaths& programs, Command& selected) {
  const auto command = std::make_shared<std::string>(programs.gateway);
  CLI::App* const run = app.add_subcommand("run", "Keeps one gateway alive: starts it again after a crash");
  run->add_option("--command", *command, "What to start, for /bin/sh")->capture_default_str();
  run->footer(
      "Exit codes: the command's own once it ends as told or by itself with 0, 128 + N after signal N, 4 "
      "given up on a "
      "crash loop.\nExample: NODE_CONFIG=n3.json gatewayctl run");
  SelectWhenGiven(*run, selected, [command] { return GatewaySupervisor(*command).Run(); });
}

}  // namespace gateway::cli
